import {expect} from 'chai';
import {RunTally} from '../../index.js';
import {
	isFastEnough,
	isTooSlow,
	runTimeChange,
	runTimeRatio,
	type WorkerRuns,
} from '../../rollout/run-time-test.js';

/** Returns runs of a worker that vary by a fifth around `ranMs`. */
function runsOf(ranMs: number, count = 100): WorkerRuns {
	const tally = new RunTally();
	for (let run = 0; run < count; run++) {
		tally.record({group: '/a', ranMs: ranMs * (0.8 + 0.1 * (run % 5)), isFailure: false});
	}

	return tally;
}

const isAny = () => true;
const old = [0.7, 0.8, 0.9, 1, 1.1, 1.2, 1.3, 1.4].map((speed) => runsOf(20 / speed));

describe('runTimeRatio', () => {
	it('does not take one slow host for a slow version, however many runs it has', () => {
		const ratio = runTimeRatio([runsOf(20 * 1.7, 5000)], old, isAny);
		expect(ratio && isTooSlow(ratio)).to.be.false;
	});

	it('finds a version slow that is 5 times slower on a few hosts', () => {
		const ratio = runTimeRatio([runsOf(100, 20), runsOf(90, 20), runsOf(110, 20)], old, isAny);
		expect(ratio && isTooSlow(ratio)).to.be.true;
		expect(ratio && isFastEnough(ratio)).to.be.false;
	});

	it('weighs workers, so that one with most of the runs does not decide', () => {
		const others = [18, 20, 22, 19].map((ranMs) => runsOf(ranMs, 50));
		const ratio = runTimeRatio([runsOf(100, 5000), ...others], old, isAny);
		expect(ratio?.log).to.be.below(Math.log(1.6));
	});

	it('estimates nothing from a few runs', () => {
		expect(runTimeRatio([runsOf(100, 3)], old, isAny)).to.be.undefined;
	});
});

describe('runTimeChange', () => {
	it('finds a version that turned slow on hosts that are fast', () => {
		const workers = [0.6, 0.7].map((slowness) => ({
			before: runsOf(20 * slowness),
			after: runsOf(80 * slowness, 20),
		}));
		const change = runTimeChange(workers, old);
		expect(change?.log).to.be.closeTo(Math.log(4), 0.01);
		expect(change && isTooSlow(change)).to.be.true;
	});

	it('finds no change on a host that was slow all the time', () => {
		const change = runTimeChange([{before: runsOf(60), after: runsOf(60)}], old);
		expect(change?.log).to.be.closeTo(0, 0.01);
	});
});

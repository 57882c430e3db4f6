import {expect} from 'chai';
import {LoadSimulation, overloadPlan, type LoadOutcome} from 'redwingmill-bench';
import {Random} from 'redwingmill-shared';

const fromMs = 2000;
const toMs = 8000;
const settleMs = 2000;
const endMs = 12_000;
/** Multiples of the load of a calm day; the first takes nearly all slots. */
const loads = [1.2, 1.8, 2.4, 3.5, 5, 10] as const;
/** Shares of what the best lower load earns: while the load has just risen, and after that. */
const shareKept = {atOnce: 0.8, later: 0.95} as const;
/** Share of the worth of the calm time before that is earned once the load has fallen again. */
const shareRecovered = 0.95;
const testSeed = 55;
const seedCount = 1000;
const timeoutMs = 300_000;

function outcomeUnder(load: number, seed: number): LoadOutcome {
	const changes = [{fromMs, toMs, factor: load}];
	return new LoadSimulation(overloadPlan(changes, changes, {durationMs: endMs, seed})).run();
}

/** Returns the worth earned by the calls that arrived from one time on until another. */
function earnedBetween({windows}: LoadOutcome, beginMs: number, untilMs: number): number {
	return windows
		.filter((window) => window.fromMs >= beginMs && window.fromMs < untilMs)
		.reduce((sum, {earned}) => sum + earned, 0);
}

/** Returns the worth of the calls that arrived in the two seconds from a time on, as a share. */
function worthFrom({windows}: LoadOutcome, beginMs: number): number {
	return windows.find((window) => window.fromMs === beginMs)!.worth;
}

function describeGoodput(seed: number): void {
	describe(`with seed ${seed}`, () => {
		const outcomes = new Map<number, LoadOutcome>();
		before(function () {
			this.timeout(timeoutMs);
			for (const load of loads) {
				outcomes.set(load, outcomeUnder(load, seed));
			}
		});

		/** Returns the most that any lower load earned between two times. */
		function mostBelow(load: number, beginMs: number, untilMs: number): number {
			const lower = loads.filter((each) => each < load).map((each) => outcomes.get(each)!);
			return Math.max(...lower.map((outcome) => earnedBetween(outcome, beginMs, untilMs)));
		}

		for (const load of loads.slice(1)) {
			describe(`under ${load} times the load of a calm day`, () => {
				it('earn nearly as much in the first two seconds as under any lower load', () => {
					const earned = earnedBetween(outcomes.get(load)!, fromMs, fromMs + settleMs);
					const most = mostBelow(load, fromMs, fromMs + settleMs);
					expect(earned).to.be.at.least(shareKept.atOnce * most);
				});

				it('earn as much after two seconds as under any lower load', () => {
					const earned = earnedBetween(outcomes.get(load)!, fromMs + settleMs, toMs);
					const most = mostBelow(load, fromMs + settleMs, toMs);
					expect(earned).to.be.at.least(shareKept.later * most);
				});

				it('are served as before from two seconds after its end', () => {
					const outcome = outcomes.get(load)!;
					const calm = worthFrom(outcome, 0);
					expect(worthFrom(outcome, toMs + settleMs)).to.be.at.least(shareRecovered * calm);
				});
			});
		}
	});
}

describe('all callers of nodes with a quarter of a core', () => {
	describeGoodput(new Random(testSeed).below(seedCount));
});

import {expect} from 'chai';
import fc from 'fast-check';
import {LimitedWorkerPlay, type LimitStep} from '../support/limited-worker-play.js';

const seed = 30;
const numberOfRuns = 100;

const wait = fc.record({
	type: fc.constant('wait' as const),
	ms: fc.oneof(fc.integer({min: 0, max: 300}), fc.integer({min: 500, max: 5000})),
});
const fault: fc.Arbitrary<LimitStep> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('limit' as const),
			perSecond: fc.constantFrom(0, 0.3, 1, 5, 15, 60, undefined),
		}),
	},
	{weight: 3, arbitrary: fc.constant({type: 'restart-gate' as const})},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('freeze-gate' as const),
			forMs: fc.integer({min: 50, max: 4000}),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('restart-entry' as const),
			entry: fc.integer({min: 0, max: 1}),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('pause-calls' as const),
			forMs: fc.integer({min: 500, max: 6000}),
		}),
	},
	{weight: 1, arbitrary: fc.constant({type: 'malformed-limit' as const})},
	{weight: 1, arbitrary: fc.constant({type: 'leave' as const})},
	{weight: 1, arbitrary: fc.constant({type: 'new-worker' as const})},
);

describe('a worker that states limits, through any series of faults', () => {
	it('gets no more than it tolerates, nothing after it left, and no call is stuck', () => {
		const steps = fc.array(fc.tuple(fault, wait), {minLength: 1, maxLength: 14});
		fc.assert(
			fc.property(steps, fc.integer({min: 1, max: 1e6}), (pairs, playSeed) => {
				const play = new LimitedWorkerPlay(playSeed);
				for (const [step, pause] of pairs) {
					play.perform(step);
					play.perform(pause);
				}

				expect(play.violations.slice(0, 3)).to.deep.equal([]);
			}),
			{seed, numRuns: numberOfRuns},
		);
	});

	it('gets all calls again soon after its limit ends, even one of 0', () => {
		for (const perSecond of [0, 0.3, 1, 15]) {
			const play = new LimitedWorkerPlay(7);
			play.perform({type: 'limit', perSecond});
			play.perform({type: 'wait', ms: 6000});
			expect(play.isLimited).to.equal(true);
			play.perform({type: 'limit', perSecond: undefined});
			play.perform({type: 'wait', ms: 2200});
			expect(play.isLimited, `limit ${perSecond}`).to.equal(false);
		}
	});
});

import {expect} from 'chai';
import {
	evenLoadPolicy,
	EvenLoadSimulation,
	presentPolicy,
	standardEvenLoads,
	type EvenLoadOutcome,
} from 'redwingmill-bench';

const seed = 3;
/** Attempts and percentiles of two runs with different choices differ by chance. */
const chance = 1.01;
/** Loads of 0.7 to 0.95 of capacity without a time over it. */
const steadyLoads = [
	'load 0.7',
	'load 0.85',
	'load 0.95',
	'host times 0.85',
	'52 replicas',
	'60 of one centre',
	'13 slots',
	'1 slot',
	'1 entry',
	'200 entries',
	'reports 50 ms',
	'reports 1000 ms',
] as const;
const changingLoads = ['bursts', 'demand moved', 'cold replicas'] as const;

/** Returns the outcomes of the policy in use so far and of `even-load`. */
function outcomesOf(name: string): {present: EvenLoadOutcome; even: EvenLoadOutcome} {
	const plan = standardEvenLoads.find((each) => each.name === name)!;
	const run = (policy: typeof presentPolicy) =>
		new EvenLoadSimulation({...plan, seed}, policy).run();
	return {present: run(presentPolicy), even: run(evenLoadPolicy)};
}

describe('policy even-load beside the lowest estimate', () => {
	for (const name of [...steadyLoads, ...changingLoads]) {
		describe(`under ${name}`, () => {
			let outcomes: ReturnType<typeof outcomesOf>;
			before(() => {
				outcomes = outcomesOf(name);
			});

			it('lets replicas queue beside a free slot for at most half of the time', () => {
				const {present, even} = outcomes;
				expect(even.queuesBesideFree).to.be.at.most(present.queuesBesideFree / 2);
			});

			it('answers the slowest hundredth of calls no later', () => {
				const {present, even} = outcomes;
				expect(even.p99Ms).to.be.at.most(present.p99Ms * chance);
			});

			it('sends no more attempts', () => {
				const {present, even} = outcomes;
				expect(even.attempts).to.be.at.most(present.attempts * chance);
			});

			it('answers no fewer calls', () => {
				const {present, even} = outcomes;
				expect(even.refused).to.be.at.most(present.refused + 0.001);
			});
		});
	}
});

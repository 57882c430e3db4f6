import {expect} from 'chai';
import {LoadSimulation, overloadPlan, type LoadOutcome} from 'redwingmill-bench';

/** Share of its worth that the most frequent class has to earn on the heaviest days of the users' deployment. */
const floor = 0.34;
const fromMs = 2000;
const toMs = 8000;
/** Multiple of the load of the plan that takes nearly all slots. */
const fullLoad = 1.2;
const overloads = [1.8, 2.4] as const;
const timeoutMs = 120_000;

function outcomeUnder(load: number): LoadOutcome {
	const changes = [{fromMs, toMs, factor: load}];
	const plan = overloadPlan(changes, changes, {durationMs: toMs + 1000});
	return new LoadSimulation(plan).run();
}

/** Returns the worth earned by the calls that arrived from 2 s after the rise of the load on. */
function earnedUnder({windows}: LoadOutcome): number {
	return windows
		.filter((window) => window.fromMs > fromMs && window.fromMs < toMs)
		.reduce((sum, {earned}) => sum + earned, 0);
}

describe('callers of nodes with a quarter of a core', () => {
	const outcomes = new Map<number, LoadOutcome>();
	before(function () {
		this.timeout(timeoutMs);
		for (const load of [fullLoad, ...overloads]) {
			outcomes.set(load, outcomeUnder(load));
		}
	});

	for (const load of overloads) {
		describe(`under ${load} times the load of a calm day`, () => {
			it('earn no less in all than under a load that the workers can run', () => {
				const earned = earnedUnder(outcomes.get(load)!);
				expect(earned).to.be.at.least(earnedUnder(outcomes.get(fullLoad)!));
			});

			it('earn the floor of their class, although processor time is scarce too', () => {
				expect(outcomes.get(load)!.worthByClass.get('read')).to.be.at.least(floor);
			});
		});
	}
});

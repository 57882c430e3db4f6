import {expect} from 'chai';
import {LoadSimulation, overloadPlan, type LoadOutcome} from 'redwingmill-bench';

/** Share of its worth that the most frequent class has to earn on the heaviest days of the users' deployment. */
const floor = 0.34;
const fromMs = 2000;
const toMs = 8000;

function outcomeUnder(factor: number): LoadOutcome {
	const plan = overloadPlan([{fromMs, toMs, factor}], [{fromMs, toMs, factor}], {
		durationMs: toMs + 1000,
	});
	return new LoadSimulation(plan).run();
}

describe('callers of nodes with a quarter of a core', () => {
	for (const factor of [1.8, 2.4]) {
		describe(`under ${factor} times the load that fills most slots`, () => {
			let outcome: LoadOutcome;
			before(function () {
				this.timeout(120_000);
				outcome = outcomeUnder(factor);
			});

			it('earn the floor of their class, although processor time is scarce too', () => {
				expect(outcome.worthByClass.get('read')).to.be.at.least(floor);
			});
		});
	}
});

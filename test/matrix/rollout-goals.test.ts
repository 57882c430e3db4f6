import {expect} from 'chai';
import {
	rolloutScenarios,
	simulateRollouts,
	type RolloutResult,
	type RolloutScenario,
} from 'redwingmill-bench';

const seed = 2026;
const badRollouts = 50;
const goodRollouts = 300;
const goal = 0.01;

const names = Object.keys(rolloutScenarios) as RolloutScenario[];
const goodNames = names.filter((name) => name.startsWith('good'));
const badNames = names.filter((name) => !name.startsWith('good'));

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const each of values) {
		sum += each;
	}

	return sum;
}

/** Results of all bad scenarios, simulated once for the tests that read them. */
let badResults: readonly RolloutResult[];

describe('goals of rollouts, simulated', () => {
	before(() => {
		badResults = badNames.map((name) => simulateRollouts(name, badRollouts, seed));
	});

	it('completes fewer than 1 % of the bad versions, and keeps those not completed within the bound', () => {
		const completed = sumOf(badResults.map((each) => each.completed)) / badResults.length;
		expect(completed).to.be.below(goal);
		for (const {scenario, overExposed, completed: ownCompleted} of badResults) {
			expect(overExposed, scenario).to.be.at.most(ownCompleted);
		}
	});

	it('rolls most bad versions back, in the median before half of the ordered time', () => {
		const times = badResults.flatMap(({rollbackTimes}) => rollbackTimes).toSorted((a, b) => a - b);
		expect(times.at(Math.floor(times.length / 2))).to.be.below(0.5);
		expect(times.length / (badResults.length * badRollouts)).to.be.above(0.9);
	});

	it('rolls fewer than 1 % of the good versions back', () => {
		const results = goodNames.map((name) => simulateRollouts(name, goodRollouts / 3, seed));
		expect(sumOf(results.map((each) => each.rolledBack)) / results.length).to.be.below(goal);
	});

	it('gives the same results for the same seed', () => {
		const play = () => simulateRollouts('good', 5, seed);
		expect(play()).to.deep.equal(play());
	});
});

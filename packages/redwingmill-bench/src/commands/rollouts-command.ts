import process from 'node:process';
import {command, flag, number, oneOf, option} from 'cmd-ts';
import {medianOf, simulateRollouts, type RolloutResult} from '../simulation/compare-rollouts.js';
import {plotRollouts} from '../simulation/plot-rollouts.js';
import {rolloutScenarios, type RolloutScenario} from '../simulation/rollout-scenarios.js';

const scenarioNames = Object.keys(rolloutScenarios) as RolloutScenario[];

export const rolloutsCommand = command({
	name: 'rollouts',
	description: 'Simulate rollouts of good and bad versions with the real decision code.',
	args: {
		scenario: option({
			type: oneOf([...scenarioNames, 'all']),
			long: 'scenario',
			description: `Scenario to simulate: ${scenarioNames.join('; ')}; or all.`,
			defaultValue: () => 'all' as const,
		}),
		rollouts: option({
			type: number,
			long: 'rollouts',
			description: 'Number of rollouts, spread evenly over the scenarios.',
			defaultValue: () => 10_000,
		}),
		seed: option({
			type: number,
			long: 'seed',
			description: 'Seed of the simulations.',
			defaultValue: () => 1,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON for each scenario.'}),
	},
	handler({scenario, rollouts, seed, json}) {
		const names = scenarioNames.filter((each) => scenario === 'all' || each === scenario);
		const results = names.map((name) =>
			simulateRollouts(name, Math.ceil(rollouts / names.length), seed),
		);
		process.stdout.write(
			json ? results.map((each) => `${lineOf(each)}\n`).join('') : `${plotRollouts(results)}\n`,
		);
	},
});

function lineOf({rollbackTimes, ...result}: RolloutResult): string {
	return JSON.stringify({...result, rollbackTime: medianOf(rollbackTimes)});
}

import process from 'node:process';
import {command, flag, number, oneOf, option} from 'cmd-ts';
import {comparedPolicies, comparePolicies} from '../simulation/compare-policies.js';
import {plotPolicies} from '../simulation/plot-policies.js';
import {standardLoads, type StandardLoad} from '../simulation/standard-loads.js';

const loadNames = Object.keys(standardLoads) as StandardLoad[];

export const policiesCommand = command({
	name: 'policies',
	description: 'Simulate a load without processes or a network, and compare call policies.',
	args: {
		load: option({
			type: oneOf(loadNames),
			long: 'load',
			description: `Load to simulate: ${loadNames.join(', ')}.`,
			defaultValue: () => 'overload' as const,
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of simulations per policy, whose results are added up.',
			defaultValue: () => 3,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON.'}),
	},
	handler({load, seeds, json}) {
		const seedNumbers = Array.from({length: seeds}, (_, index) => index + 1);
		const results = comparePolicies(standardLoads[load], comparedPolicies, seedNumbers);
		process.stdout.write(json ? `${JSON.stringify(results)}\n` : plotPolicies(results));
	},
});

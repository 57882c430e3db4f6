import process from 'node:process';
import {command, flag, number, oneOf, option} from 'cmd-ts';
import {comparedPolicies, comparePolicies} from '../play/compare-policies.js';
import {plotPolicies} from '../play/plot-policies.js';
import {standardLoads, type StandardLoad} from '../play/standard-loads.js';

const names = Object.keys(standardLoads) as StandardLoad[];

export const policiesCommand = command({
	name: 'policies',
	description:
		'Play a load against the decisions on calls without a network, policy beside policy.',
	args: {
		load: option({
			type: oneOf(names),
			long: 'load',
			description: `What callers want: ${names.join(', ')}.`,
			defaultValue: () => 'overload' as const,
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of plays that are added up.',
			defaultValue: () => 3,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON.'}),
	},
	handler({load, seeds, json}) {
		const each = Array.from({length: seeds}, (_, index) => index + 1);
		const results = comparePolicies(standardLoads[load], comparedPolicies, each);
		process.stdout.write(json ? `${JSON.stringify(results)}\n` : plotPolicies(results));
	},
});

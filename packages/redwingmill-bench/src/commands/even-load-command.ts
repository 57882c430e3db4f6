import process from 'node:process';
import {command, flag, number, option, optional, string} from 'cmd-ts';
import {evenLoadPolicies} from '../simulation/even-load/candidates.js';
import {meanOutcome} from '../simulation/even-load/compare-even-load.js';
import {plotEvenLoad, type EvenLoadRow} from '../simulation/even-load/plot-even-load.js';
import {standardEvenLoads} from '../simulation/even-load/standard-even-loads.js';

const loadNames = standardEvenLoads.map(({name}) => name).join(', ');
const policyNames = evenLoadPolicies.map(({name}) => name).join(', ');

export const evenLoadCommand = command({
	name: 'even-load',
	description:
		'Simulate many entry nodes that choose between replicas, and compare how even the load is.',
	args: {
		load: option({
			type: optional(string),
			long: 'load',
			description: `Simulate only loads with this in their names: ${loadNames}.`,
		}),
		policy: option({
			type: optional(string),
			long: 'policy',
			description: `Simulate only policies with this in their names: ${policyNames}.`,
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of simulations per load and policy, of which the means are printed.',
			defaultValue: () => 1,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON for each load and policy.'}),
	},
	handler({load = '', policy = '', seeds, json}) {
		const seedNumbers = Array.from({length: seeds}, (_, index) => index + 1);
		for (const plan of standardEvenLoads.filter(({name}) => name.includes(load))) {
			const rows: EvenLoadRow[] = evenLoadPolicies
				.filter(({name}) => name.includes(policy))
				.map((each) => ({
					load: plan.name,
					policy: each.name,
					outcome: meanOutcome(plan, each, seedNumbers),
				}));
			const lines = rows.map((row) => `${JSON.stringify(row)}\n`).join('');
			process.stdout.write(json ? lines : `${plotEvenLoad(rows)}\n`);
		}
	},
});

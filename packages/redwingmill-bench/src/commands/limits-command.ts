import process from 'node:process';
import {command, flag, number, oneOf, option} from 'cmd-ts';
import {compareLimits} from '../simulation/compare-limits.js';
import {limitLoads, type LimitLoad} from '../simulation/limit-loads.js';
import {plotLimits} from '../simulation/plot-limits.js';

const loadNames = Object.keys(limitLoads) as LimitLoad[];

export const limitsCommand = command({
	name: 'limits',
	description:
		'Simulate workers that state limits or leave, with that known to nobody, to gates, and to the mesh.',
	args: {
		load: option({
			type: oneOf([...loadNames, 'all']),
			long: 'load',
			description: `Load to simulate: ${loadNames.join(', ')}, or all.`,
			defaultValue: () => 'all' as const,
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of simulations of each load.',
			defaultValue: () => 3,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON for each load.'}),
	},
	handler({load, seeds, json}) {
		const seedNumbers = Array.from({length: seeds}, (_, index) => index + 1);
		for (const name of loadNames.filter((each) => load === 'all' || each === load)) {
			const comparisons = compareLimits(limitLoads[name], seedNumbers);
			process.stdout.write(
				json
					? `${JSON.stringify({load: name, comparisons})}\n`
					: `== ${name}\n${plotLimits(comparisons)}\n`,
			);
		}
	},
});

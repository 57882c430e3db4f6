import process from 'node:process';
import {command, flag, number, oneOf, option} from 'cmd-ts';
import {compareQuotas, quotaSchemes} from '../quotas/compare-quotas.js';
import {measureQuotaCost} from '../quotas/measure-cost.js';
import {plotQuotas} from '../quotas/plot-quotas.js';
import {quotaConditions, type QuotaCondition} from '../quotas/quota-conditions.js';

const conditions = Object.keys(quotaConditions) as QuotaCondition[];

/** Workspaces, nodes of a data centre and its calls a second: an order platform, and the target size. */
const costSizes = [
	[75, 17, 330],
	[7500, 117, 2400],
] as const;

export const quotasCommand = command({
	name: 'quotas',
	description: 'Simulate ways to keep quotas of workspaces over all nodes.',
	args: {
		condition: option({
			type: oneOf([...conditions, 'all']),
			long: 'condition',
			description: `Condition to simulate: ${conditions.join(', ')}, or all.`,
			defaultValue: () => 'all' as const,
		}),
		seeds: option({
			type: number,
			long: 'seeds',
			description: 'Number of simulations of each condition.',
			defaultValue: () => 3,
		}),
		scheme: option({
			type: oneOf([...quotaSchemes.map(({name}) => name), 'all']),
			long: 'scheme',
			description: 'Way to keep quotas to simulate, or all.',
			defaultValue: () => 'all',
		}),
		workspaces: flag({long: 'workspaces', description: 'Print a line for each workspace.'}),
		cost: flag({
			long: 'cost',
			description: 'Measure the processor time at the target size instead.',
		}),
		json: flag({long: 'json', description: 'Print one line of JSON for each condition.'}),
	},
	handler({condition, seeds, scheme, workspaces, cost, json}) {
		if (cost) {
			for (const [count, nodes, calls] of costSizes) {
				process.stdout.write(`${JSON.stringify(measureQuotaCost(count, nodes, calls))}\n`);
			}

			return;
		}

		const schemes = quotaSchemes.filter(({name}) => scheme === 'all' || name === scheme);
		const seedNumbers = Array.from({length: seeds}, (_, index) => index + 1);
		for (const name of conditions.filter((each) => condition === 'all' || each === condition)) {
			const comparisons = compareQuotas(name, seedNumbers, schemes);
			process.stdout.write(
				json
					? `${JSON.stringify(
							comparisons.map((each) => ({
								...each,
								workspaces: Object.fromEntries(each.workspaces),
							})),
						)}\n`
					: `== ${name}\n${plotQuotas(comparisons, workspaces)}\n`,
			);
		}
	},
});

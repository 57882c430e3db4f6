import process from 'node:process';
import {command, flag, number, option} from 'cmd-ts';
import {measureConvergence} from '../experiments/convergence.js';

export const convergenceCommand = command({
	name: 'convergence',
	description: 'Measure how soon changes are in force on all nodes, and at what cost.',
	args: {
		dataCentres: option({type: number, long: 'data-centres', defaultValue: () => 3}),
		nodes: option({
			type: number,
			long: 'nodes',
			description: 'Nodes per data centre.',
			defaultValue: () => 9,
		}),
		changes: option({type: number, long: 'changes', defaultValue: () => 20}),
		churn: option({
			type: number,
			long: 'churn',
			description: 'Endpoint changes per second in the whole mesh.',
			defaultValue: () => 1,
		}),
		interval: option({
			type: number,
			long: 'interval',
			description: 'Minimum time between two batches of endpoint updates, in ms.',
			defaultValue: () => 100,
		}),
		routes: option({type: number, long: 'routes', defaultValue: () => 40}),
		wholeTables: flag({
			long: 'whole-tables',
			description: 'Send whole endpoint tables instead of differences, as a baseline.',
		}),
		noFailures: flag({
			long: 'no-failures',
			description: 'Skip the relay crash, the mass restart and the platform outage.',
		}),
		json: flag({long: 'json', description: 'Print one line of JSON.'}),
	},
	async handler(options) {
		const result = await measureConvergence({
			dataCentres: options.dataCentres,
			nodesPerDataCentre: options.nodes,
			changes: options.changes,
			churnPerSecond: options.churn,
			distributionIntervalMs: options.interval,
			sendsWholeTables: options.wholeTables,
			hasFailures: !options.noFailures,
			routes: options.routes,
		});
		process.stdout.write(`${JSON.stringify(result, undefined, options.json ? undefined : 2)}\n`);
	},
});

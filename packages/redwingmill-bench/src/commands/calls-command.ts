import process from 'node:process';
import {command, flag, number, option} from 'cmd-ts';
import {measureCalls} from '../experiments/calls.js';

export const callsCommand = command({
	name: 'calls',
	description: 'Measure calls through the mesh, and compare each policy with its baseline.',
	args: {
		seconds: option({
			type: number,
			long: 'seconds',
			description: 'Length of each measurement, in seconds.',
			defaultValue: () => 5,
		}),
		rate: option({
			type: number,
			long: 'rate',
			description: 'Calls per second when measuring the latency that the mesh adds.',
			defaultValue: () => 200,
		}),
		json: flag({long: 'json', description: 'Print one line of JSON.'}),
	},
	async handler({seconds, rate, json}) {
		const result = await measureCalls({durationMs: seconds * 1000, rate});
		process.stdout.write(`${JSON.stringify(result, undefined, json ? undefined : 2)}\n`);
	},
});

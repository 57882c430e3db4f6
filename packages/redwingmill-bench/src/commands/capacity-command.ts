import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {command, flag, option, optional, string} from 'cmd-ts';
import {measureCapacity} from '../experiments/capacity.js';

export const capacityCommand = command({
	name: 'capacity',
	description: 'Measure meshes of several sizes, to extrapolate to the target size.',
	args: {
		output: option({
			type: optional(string),
			long: 'output',
			description: 'File to write the result to, as JSON.',
		}),
		json: flag({long: 'json', description: 'Print one line of JSON.'}),
	},
	async handler({output, json}) {
		const result = await measureCapacity((line) => {
			process.stderr.write(`${line}\n`);
		});
		if (output !== undefined) {
			writeFileSync(output, `${JSON.stringify(result, undefined, '\t')}\n`);
		}

		process.stdout.write(`${JSON.stringify(result, undefined, json ? undefined : 2)}\n`);
	},
});

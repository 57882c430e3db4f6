import process from 'node:process';
import {command, flag} from 'cmd-ts';
import {Demo} from '../demo/demo.js';

export const demoCommand = command({
	name: 'demo',
	description: 'Demonstrate a whole mesh under load, configuration changes and failures.',
	args: {json: flag({long: 'json', description: 'Print only the result, as one line of JSON.'})},
	async handler({json}) {
		const demo = new Demo((line) => {
			if (!json) {
				process.stdout.write(`${line}\n`);
			}
		});
		const result = await demo.run();
		process.stdout.write(`${JSON.stringify(result)}\n`);
		const {lost, doubled, crossed, falselyNotRun} = result.calls;
		const faults = lost + doubled + crossed + falselyNotRun + result.versionsReverted;
		process.exitCode = faults === 0 ? 0 : 1;
	},
});

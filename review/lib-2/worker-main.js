/* Process of one worker: takes orders from the script that started it. */
import process from 'node:process';
import {Worker} from './worker.js';

const {machine, options} = JSON.parse(process.argv[2]);
const worker = new Worker(machine, {
	...options,
	onRun(run) {
		process.send({run});
	},
});
const orders = {
	listen: async () => worker.listen(),
	startBeats: async () => worker.startBeats(),
	stopBeats: async () => worker.stopBeats(),
	set(fields) {
		Object.assign(worker, fields);
	},
	beat: async (body) => worker.beat(body),
	nextBeat: () => worker.nextBeat(),
	leave: async () => worker.leave(),
	runs: () => worker.runs,
};

process.on('message', async ({number, order, argument}) => {
	const result = await orders[order](argument);
	process.send({number, result});
});
process.on('disconnect', () => {
	process.exit();
});

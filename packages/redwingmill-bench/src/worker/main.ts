import process from 'node:process';
import {StandInWorker} from './stand-in-worker.js';
import {type WorkerPlan} from './worker-plan.js';

/** Runs the workers that the first argument lists as JSON; prints `run CALL-ID` for each run. */
const plans = JSON.parse(process.argv[2]) as readonly WorkerPlan[];
for (const plan of plans) {
	new StandInWorker(plan, (callId) => {
		process.stdout.write(`run ${callId}\n`);
	}).start();
}

/* Starts a worker as a process of its own and gives it orders. */
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(new URL('worker-main.js', import.meta.url));

export class WorkerProcess {
	#child;
	#lastNumber = 0;
	#open = new Map();

	/** @param onRun - called with each run as it begins. */
	constructor(machine, options = {}, onRun = undefined) {
		const {name, service, zone, app, control, listen} = machine;
		this.machine = machine;
		this.id = options.id ?? `i-${name}`;
		const argument = {
			machine: {name, service, zone, app, control, listen},
			options: {...options, id: this.id},
		};
		this.#child = fork(program, [JSON.stringify(argument)]);
		this.#child.on('message', ({number, result, run}) => {
			if (run) {
				onRun?.(run);
				return;
			}

			this.#open.get(number)?.(result);
			this.#open.delete(number);
		});
		this.ended = new Promise((resolve) => {
			this.#child.once('exit', resolve);
		});
	}

	async order(order, argument) {
		this.#lastNumber += 1;
		const number = this.#lastNumber;
		return new Promise((resolve) => {
			this.#open.set(number, resolve);
			this.#child.send({number, order, argument});
		});
	}

	async kill(signal = 'SIGKILL') {
		this.#child.kill(signal);
		await this.ended;
	}
}

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import process from 'node:process';

/** How a node's program is started. */
export type ProcessOptions = {
	readonly program: string;
	readonly environment: Record<string, string>;
	/** File that gets what the process writes. */
	readonly logFile: string;
	/** Told when the process ends though nobody asked it to. */
	readonly onUnexpectedExit: (detail: string) => void;
};

const hexadecimal = 16;

/** A node's process through all its lives. Only processes started here are signalled. */
export class NodeProcess {
	readonly #options: ProcessOptions;
	#child: ChildProcess | undefined;
	#incarnation = 0;

	constructor(plan: ProcessOptions) {
		this.#options = plan;
	}

	/** Number of the present life, from 1. */
	get incarnation(): number {
		return this.#incarnation;
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	/** Starts the process if it doesn't run. */
	start(): void {
		if (this.#child) {
			return;
		}

		this.#incarnation += 1;
		const {program, environment, logFile, onUnexpectedExit: onUnasked} = this.#options;
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, [program], {
			env: {...process.env, ...environment},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		child.once('exit', (code, signal) => {
			if (this.#child === child) {
				this.#child = undefined;
				onUnasked(`exit code ${code}, signal ${signal}`);
			}
		});
	}

	pause(): void {
		this.#child?.kill('SIGSTOP');
	}

	resume(): void {
		this.#child?.kill('SIGCONT');
	}

	/** Signals that the settings changed, unless the runtime has yet to run code that takes it. */
	reload(): void {
		if (this.#child?.pid !== undefined && handlesSighup(this.#child.pid)) {
			this.#child.kill('SIGHUP');
		}
	}

	async kill(): Promise<void> {
		await this.#terminate('SIGKILL');
	}

	/** Asks the process to stop. Returns milliseconds until it was gone. */
	async stop(): Promise<number> {
		const startedAt = performance.now();
		await this.#terminate('SIGTERM');
		return performance.now() - startedAt;
	}

	async #terminate(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		const child = this.#child;
		this.#child = undefined;
		if (child) {
			const gone = once(child, 'exit');
			child.kill(signal);
			// A paused process takes the signal once it runs again.
			child.kill('SIGCONT');
			await gone;
		}
	}
}

/** A process that has no handler yet is ended by the signal, whatever its program does later. */
function handlesSighup(pid: number): boolean {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8');
		// The mask of handled signals in hexadecimal; this signal is its lowest bit.
		const lastDigit = /^SigCgt:.*(?<digit>[\da-f])$/mv.exec(status)?.groups?.digit;
		return Number.parseInt(lastDigit ?? '0', hexadecimal) % 2 === 1;
	} catch {
		// The process is gone, or the system shows no such mask.
		return false;
	}
}

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import process from 'node:process';

/** How a node's process is started. */
export type ProcessOptions = {
	readonly program: string;
	readonly environment: Record<string, string>;
	/** File to which the process's standard output and standard error are appended. */
	readonly logFile: string;
	/** Called when the process exits without having been killed or stopped by its owner. */
	readonly onUnexpectedExit: (detail: string) => void;
};

const hexadecimal = 16;
/** Processes to end with this one, which would otherwise go on without it. */
const runningChildren = new Set<ChildProcess>();

process.on('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

/** A node's process across restarts. Signals are sent only to processes started here. */
export class NodeProcess {
	readonly #options: ProcessOptions;
	#child: ChildProcess | undefined;
	/** Resolves when the process that was killed or stopped last has exited. */
	#exited: Promise<unknown> = Promise.resolve();
	#isTerminating = false;
	#incarnation = 0;

	constructor(options: ProcessOptions) {
		this.#options = options;
	}

	/** Number of times that the process has been started. */
	get incarnation(): number {
		return this.#incarnation;
	}

	/**
	 * Starts the process unless it is running. A process that is being stopped still holds its ports, so
	 * the next one starts after its exit.
	 */
	async start(): Promise<void> {
		await this.#exited;
		if (this.#child) {
			return;
		}

		this.#incarnation += 1;
		const {program, environment, logFile, onUnexpectedExit} = this.#options;
		const log = openSync(logFile, 'a');
		const child = spawn(process.execPath, [program], {
			env: {...process.env, ...environment},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		this.#child = child;
		runningChildren.add(child);
		child.once('exit', (code, signal) => {
			runningChildren.delete(child);
			this.#child = undefined;
			if (!this.#isTerminating) {
				onUnexpectedExit(`exit code ${code}, signal ${signal}`);
			}
		});
	}

	/** Pauses the process, unless it is being stopped. */
	pause(): void {
		if (!this.#isTerminating) {
			this.#child?.kill('SIGSTOP');
		}
	}

	resume(): void {
		this.#child?.kill('SIGCONT');
	}

	/**
	 * Sends SIGHUP, which asks the node to reload its settings. Does nothing until the process has
	 * installed a handler, as the signal would end it.
	 */
	reload(): void {
		if (this.#child?.pid !== undefined && handlesSighup(this.#child.pid)) {
			this.#child.kill('SIGHUP');
		}
	}

	async kill(): Promise<void> {
		await this.#terminate('SIGKILL');
	}

	/** Sends SIGTERM and waits for the exit. Returns the milliseconds that the process took. */
	async stop(): Promise<number> {
		const startedAt = performance.now();
		await this.#terminate('SIGTERM');
		return performance.now() - startedAt;
	}

	async #terminate(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		if (!this.#isTerminating) {
			this.#isTerminating = true;
			this.#exited = once(child, 'exit').then(() => {
				this.#isTerminating = false;
			});
		}

		child.kill(signal);
		// A paused process handles SIGTERM only after it is resumed.
		child.kill('SIGCONT');
		await this.#exited;
	}
}

/**
 * Returns whether the process has installed a SIGHUP handler. Until then the signal's default action
 * ends the process.
 */
function handlesSighup(pid: number): boolean {
	try {
		const status = readFileSync(`/proc/${pid}/status`, 'utf8');
		// `SigCgt` is the hexadecimal mask of caught signals; SIGHUP is its lowest bit.
		const lastDigit = /^SigCgt:.*(?<digit>[\da-f])$/mv.exec(status)?.groups?.digit;
		return Number.parseInt(lastDigit ?? '0', hexadecimal) % 2 === 1;
	} catch {
		// The process has exited, or the system has no `/proc`.
		return false;
	}
}

import process from 'node:process';
import {type Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

/** A running child process and the name that prefixes its error output. */
export type Child = {
	readonly process: ChildProcess;
	readonly name: string;
};

/** A script to run as a child process; `onLine` receives each line of its standard output. */
export type Command = {
	readonly name: string;
	readonly script: string;
	readonly arguments: readonly string[];
	readonly nodeOptions?: readonly string[];
	readonly onLine?: (line: string) => void;
};

const interruptedExitCode = 130;
const terminationSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** Starts child processes and kills them when this process exits or is told to terminate. */
export class ChildProcesses {
	readonly #children = new Set<ChildProcess>();

	readonly #onExit: () => void;
	readonly #onSignal: () => void;

	constructor() {
		this.#onExit = () => {
			this.killAll();
		};

		this.#onSignal = () => {
			this.killAll();
			process.exit(interruptedExitCode);
		};

		process.once('exit', this.#onExit);
		for (const signal of terminationSignals) {
			process.once(signal, this.#onSignal);
		}
	}

	/** Kills all remaining child processes and removes the exit and signal handlers. */
	close(): void {
		this.killAll();
		process.removeListener('exit', this.#onExit);
		for (const signal of terminationSignals) {
			process.removeListener(signal, this.#onSignal);
		}
	}

	start({name, script, arguments: scriptArguments, nodeOptions, onLine}: Command): Child {
		const child = spawn(process.execPath, [...(nodeOptions ?? []), script, ...scriptArguments], {
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#children.add(child);
		child.once('exit', () => {
			this.#children.delete(child);
		});
		if (child.stdout) {
			createInterface(child.stdout).on('line', (line) => onLine?.(line));
		}

		child.stderr?.on('data', (text: Buffer) => {
			process.stderr.write(`[${name}] ${text.toString()}`);
		});
		return {process: child, name};
	}

	killAll(): void {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}
}

/** Sends SIGTERM to a child process and waits for its exit; returns its exit code, if any. */
export async function stopChild({process: child}: Child): Promise<number | undefined> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode ?? undefined;
	}

	child.kill('SIGTERM');
	const [code] = (await once(child, 'exit')) as [number | undefined];
	return code;
}

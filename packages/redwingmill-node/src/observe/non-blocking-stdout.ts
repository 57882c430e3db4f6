import {write} from 'node:fs';
import {Writable} from 'node:stream';

const standardOutput = 1;
/** Bytes that may wait for a reader that doesn't keep up; lines beyond are dropped and counted. */
const maximumQueuedCodeUnits = 256 * 1024;

/**
 * Standard output that never blocks: Node writes to a pipe synchronously, so that a reader that
 * stalls would stop the process. Lines wait in memory up to a bound.
 */
export class NonBlockingStdout extends Writable {
	#queuedLines: string[] = [];
	#queuedCodeUnits = 0;
	#isWriting = false;
	#droppedLines = 0;

	constructor() {
		super({decodeStrings: false});
	}

	/** Lines dropped since the last call. */
	takeDroppedCount(): number {
		const dropped = this.#droppedLines;
		this.#droppedLines = 0;
		return dropped;
	}

	override _write(line: unknown, _encoding: string, done: () => void): void {
		this.enqueue(String(line));
		done();
	}

	enqueue(line: string): void {
		if (this.#queuedCodeUnits + line.length > maximumQueuedCodeUnits) {
			this.#droppedLines += 1;
			return;
		}

		this.#queuedLines.push(line);
		this.#queuedCodeUnits += line.length;
		this.#flush();
	}

	#flush(): void {
		if (this.#isWriting || this.#queuedLines.length === 0) {
			return;
		}

		const text = this.#queuedLines.join('');
		this.#queuedLines = [];
		this.#queuedCodeUnits = 0;
		this.#isWriting = true;
		this.#writeText(text);
	}

	#writeText(text: string): void {
		write(standardOutput, text, (error, written) => {
			const rest = error ? '' : text.slice(written);
			if (rest.length > 0) {
				this.#writeText(rest);
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}

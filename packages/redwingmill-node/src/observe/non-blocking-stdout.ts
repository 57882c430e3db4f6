import {write} from 'node:fs';
import {Writable} from 'node:stream';

const standardOutput = 1;
/** Limit in UTF-16 code units for queued lines. Further lines are dropped and counted. */
const maximumQueuedCodeUnits = 256 * 1024;

/**
 * Writes lines to standard output without blocking. `process.stdout` writes to a pipe
 * synchronously, so a stalled reader would block the process. Lines are queued in memory up to a
 * limit instead.
 */
export class NonBlockingStdout extends Writable {
	#queuedLines: string[] = [];
	#queuedCodeUnits = 0;
	#isWriting = false;
	#droppedLines = 0;

	constructor() {
		super({decodeStrings: false});
	}

	/** Returns the number of lines dropped since the last call. */
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
			const remaining = error ? '' : text.slice(written);
			if (remaining.length > 0) {
				this.#writeText(remaining);
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}

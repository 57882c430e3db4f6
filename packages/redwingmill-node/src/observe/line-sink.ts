import {write} from 'node:fs';
import {Writable} from 'node:stream';

const standardOutput = 1;
/** Limit in UTF-16 code units for queued lines. Further lines are dropped and counted. */
const waitingLimitBytes = 256 * 1024;

/**
 * Writes lines to standard output without blocking. `process.stdout` writes to a pipe
 * synchronously, so a stalled reader would block the process. Lines are queued in memory up to a
 * limit instead.
 */
export class LineSink extends Writable {
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#dropped = 0;

	constructor() {
		super({decodeStrings: false});
	}

	/** Returns the number of lines dropped since the last call. */
	takeDropped(): number {
		const dropped = this.#dropped;
		this.#dropped = 0;
		return dropped;
	}

	override _write(line: unknown, _encoding: string, done: () => void): void {
		this.push(String(line));
		done();
	}

	push(line: string): void {
		if (this.#waitingBytes + line.length > waitingLimitBytes) {
			this.#dropped += 1;
			return;
		}

		this.#waiting.push(line);
		this.#waitingBytes += line.length;
		this.#flush();
	}

	#flush(): void {
		if (this.#isWriting || this.#waiting.length === 0) {
			return;
		}

		const text = this.#waiting.join('');
		this.#waiting = [];
		this.#waitingBytes = 0;
		this.#isWriting = true;
		this.#writeOut(text);
	}

	#writeOut(text: string): void {
		write(standardOutput, text, (error, written) => {
			const remaining = error ? '' : text.slice(written);
			if (remaining.length > 0) {
				this.#writeOut(remaining);
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}

import {write} from 'node:fs';
import {Writable} from 'node:stream';

const standardOutput = 1;
/** Bytes that may wait for a reader that doesn't keep up; lines beyond are dropped and counted. */
const waitingLimitBytes = 256 * 1024;

/**
 * Standard output that never blocks: Node writes to a pipe synchronously, so that a reader that
 * stalls would stop the process. Lines wait in memory up to a bound.
 */
export class LineSink extends Writable {
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#dropped = 0;

	constructor() {
		super({decodeStrings: false});
	}

	/** Lines dropped since the last call. */
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
			const rest = error ? '' : text.slice(written);
			if (rest.length > 0) {
				this.#writeOut(rest);
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}

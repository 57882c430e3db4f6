import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

const standardOutput = 1;
/** Limit in UTF-16 code units for queued lines. Further lines are dropped and counted. */
const maximumQueuedCodeUnits = 256 * 1024;

/** Writes bytes to a file descriptor, possibly only some of them, as `fs.write` does. */
export type DescriptorWriter = (
	descriptor: number,
	bytes: Uint8Array,
	onWritten: (error: Error | null, written: number) => void,
) => void;

/**
 * Writes lines to standard output without blocking. `process.stdout` writes to a pipe
 * synchronously, so a stalled reader would block the process. Lines are queued in memory up to a
 * limit instead.
 */
export class NonBlockingStdout {
	readonly #write: DescriptorWriter;
	#queuedLines: string[] = [];
	#queuedCodeUnits = 0;
	#isWriting = false;
	#droppedLines = 0;

	constructor(writer: DescriptorWriter = write) {
		this.#write = writer;
	}

	/** Returns the number of lines dropped since the last call. */
	takeDroppedCount(): number {
		const dropped = this.#droppedLines;
		this.#droppedLines = 0;
		return dropped;
	}

	/** @param line - ends with a line end. */
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

		const bytes = Buffer.from(this.#queuedLines.join(''));
		this.#queuedLines = [];
		this.#queuedCodeUnits = 0;
		this.#isWriting = true;
		this.#writeBytes(bytes);
	}

	#writeBytes(bytes: Buffer): void {
		this.#write(standardOutput, bytes, (error, written) => {
			const remaining = bytes.subarray(error ? 0 : written);
			if (error) {
				this.#droppedLines += countLines(remaining);
			} else if (remaining.length > 0) {
				this.#writeBytes(remaining);
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}

function countLines(bytes: Buffer): number {
	const lineEnd = 0x0a;
	let count = 0;
	for (const byte of bytes) {
		count += byte === lineEnd ? 1 : 0;
	}

	return count;
}

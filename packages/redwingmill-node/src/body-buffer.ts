import {Buffer} from 'node:buffer';

/** Smaller chunks are copied; an object for each byte would take a hundred times its size. */
const copiedBytes = 1024;
const blockBytes = 4096;

/** Collects the chunks of a body. What it keeps is little more than the body itself. */
export class BodyBuffer {
	#parts: Buffer[] = [];
	/** Holds small chunks until it is full. */
	#block: Buffer | undefined;
	#blockUsedBytes = 0;
	#bytes = 0;

	/** Bytes of the body so far. */
	get bytes(): number {
		return this.#bytes;
	}

	append(chunk: Buffer): void {
		const isFirst = this.#bytes === 0;
		this.#bytes += chunk.length;
		// Most bodies arrive in one chunk, which needs no copy.
		if (isFirst || chunk.length >= copiedBytes) {
			this.#endBlock();
			this.#parts.push(chunk);
			return;
		}

		if (this.#block && this.#blockUsedBytes + chunk.length > this.#block.length) {
			this.#endBlock();
		}

		this.#block ??= Buffer.allocUnsafeSlow(blockBytes);
		chunk.copy(this.#block, this.#blockUsedBytes);
		this.#blockUsedBytes += chunk.length;
	}

	/** Returns the body. */
	toBuffer(): Buffer {
		this.#endBlock();
		return this.#parts.length === 1 ? this.#parts[0] : Buffer.concat(this.#parts);
	}

	/** Drops what has been collected. */
	clear(): void {
		this.#parts = [];
		this.#block = undefined;
		this.#blockUsedBytes = 0;
		this.#bytes = 0;
	}

	#endBlock(): void {
		if (this.#block) {
			this.#parts.push(this.#block.subarray(0, this.#blockUsedBytes));
			this.#block = undefined;
			this.#blockUsedBytes = 0;
		}
	}
}

import {Buffer} from 'node:buffer';
import {encodeBody, encodeMessage} from './frame.js';

/** A message to send. */
export type OutgoingMessage = {
	readonly head: string;
	readonly body?: Buffer;
	/** Called when the last frame has been taken from the queue. */
	readonly onTaken?: () => void;
};

/** Rest of a body, of which the first part is in the message's first frame. */
type Rest = {
	readonly exchange: number;
	readonly body: Buffer;
	readonly onTaken: (() => void) | undefined;
	sentBytes: number;
};

/** Size of a part of a body: a few milliseconds on a narrow link, so that others aren't held up. */
const partBytes = 16 * 1024;
const noBytes = Buffer.alloc(0);

/**
 * Orders the frames of a connection: signals and first frames as they come, then the rests of large
 * bodies in turn, so that a large message doesn't hold up the small ones.
 */
export class FrameQueue {
	#first: Array<{readonly frame: Buffer; readonly onTaken?: () => void}> = [];
	#rests: Rest[] = [];

	get isEmpty(): boolean {
		return this.#first.length === 0 && this.#rests.length === 0;
	}

	/** Whether only further parts of bodies are left. */
	get hasOnlyParts(): boolean {
		return this.#first.length === 0 && this.#rests.length > 0;
	}

	/** Adds a frame that isn't part of a message. */
	addSignal(frame: Buffer): void {
		this.#first.push({frame});
	}

	addMessage(exchange: number, {head, body = noBytes, onTaken}: OutgoingMessage): void {
		const part = body.subarray(0, partBytes);
		const frame = encodeMessage(exchange, {head, bodyBytes: body.length, part});
		const isWhole = part.length === body.length;
		this.#first.push({frame, ...(isWhole && {onTaken})});
		if (!isWhole) {
			this.#rests.push({exchange, body, onTaken, sentBytes: part.length});
		}
	}

	/** Drops the rest of an exchange's message. */
	remove(exchange: number): void {
		this.#rests = this.#rests.filter((rest) => rest.exchange !== exchange);
	}

	/** Takes the frames to send next: all that go first, or else one part of a body. */
	take(): Buffer | undefined {
		if (this.#first.length > 0) {
			const taken = this.#first;
			this.#first = [];
			for (const {onTaken} of taken) {
				onTaken?.();
			}

			return taken.length === 1 ? taken[0].frame : Buffer.concat(taken.map(({frame}) => frame));
		}

		const rest = this.#rests.shift();
		return rest && this.#takePart(rest);
	}

	#takePart(rest: Rest): Buffer {
		const {exchange, body, sentBytes} = rest;
		const part = body.subarray(sentBytes, sentBytes + partBytes);
		rest.sentBytes += part.length;
		if (rest.sentBytes < body.length) {
			this.#rests.push(rest);
		} else {
			rest.onTaken?.();
		}

		return encodeBody(exchange, part);
	}
}

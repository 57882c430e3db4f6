import {bytesPerMsAtOneMbps} from './link-scheduler.js';

/** Time for which the link may have bytes to send beyond those that are being written. */
const leadMs = 4;
/** Time that a writer may have been late and still makes up for. */
const makeUpMs = 50;

/**
 * Spaces the parts of large bodies by the rate of a host's link. What the operating system has been given can't
 * be overtaken: behind a whole body on a narrow link, a small answer waits for all of it.
 */
export class LinkPacer {
	readonly #bytesPerMs: number;
	/** When the link will have carried all that was written, in monotonic milliseconds. */
	#freeAt = Number.NEGATIVE_INFINITY;

	/** @param linkMbps - bandwidth of the link, above 0. */
	constructor(linkMbps: number) {
		this.#bytesPerMs = linkMbps * bytesPerMsAtOneMbps;
	}

	/** Returns the time in milliseconds after which the next part may be written. */
	delayMs(now: number): number {
		return Math.max(0, this.#freeAt - now - leadMs);
	}

	/** Records that something was written, in parts or at once. */
	onWritten(bytes: number, now: number): void {
		const startAt = this.#freeAt < now - makeUpMs ? now : this.#freeAt;
		this.#freeAt = startAt + bytes / this.#bytesPerMs;
	}
}

import {LinkPacer, LinkScheduler, type ResponseLink, type Transfer} from 'redwingmill-core';

/** Responses up to this size are sent at once: they hardly delay others. */
const smallBytes = 32 * 1024;

/** When the receiver of a response needs it. */
export type ResponseTimes = Pick<Transfer, 'dueAt' | 'deadlineAt'>;

/** A response that is about to be sent; `finish` tells that its connection has taken all of it. */
export type OutgoingResponse = {
	readonly destroyed: boolean;
	readonly writableFinished: boolean;
	readonly once: (event: 'finish' | 'close', listener: () => void) => unknown;
};

/** Sends large responses one after the other on the host's link, see {@link LinkScheduler}. */
export class LinkSender implements ResponseLink {
	/** Spaces the parts of responses whose sender writes them in parts. */
	readonly pacer: LinkPacer;
	readonly #scheduler: LinkScheduler;
	readonly #writers = new Map<number, () => void>();
	#timer: NodeJS.Timeout | undefined;

	/** @param linkMbps - bandwidth of the host's link, above 0. */
	constructor(linkMbps: number) {
		this.pacer = new LinkPacer(linkMbps);
		this.#scheduler = new LinkScheduler(linkMbps);
	}

	transferMs(bytes: number): number {
		return this.#scheduler.transferMs(bytes);
	}

	expectedWaitMs(now: number): number {
		return this.#scheduler.expectedWaitMs(now);
	}

	/**
	 * Calls `write`, which sends the response, when it is its turn; never if the receiver leaves before.
	 *
	 * @param bytes - size of the body.
	 */
	send(response: OutgoingResponse, bytes: number, times: ResponseTimes, write: () => void): void {
		if (bytes <= smallBytes || response.destroyed) {
			write();
			return;
		}

		const id = this.#scheduler.add({bytes, ...times});
		this.#writers.set(id, write);
		response.once('finish', () => {
			this.#scheduler.onTaken(id);
			this.#sendDue();
		});
		response.once('close', () => {
			// After `finish`, the bytes still take their time on the link.
			if (!response.writableFinished) {
				this.#scheduler.remove(id);
				this.#writers.delete(id);
			}

			this.#sendDue();
		});
		this.#sendDue();
	}

	close(): void {
		clearTimeout(this.#timer);
	}

	#sendDue(): void {
		for (const id of this.#scheduler.takeDue(performance.now())) {
			const write = this.#writers.get(id);
			this.#writers.delete(id);
			write?.();
		}

		clearTimeout(this.#timer);
		const {wakeAt} = this.#scheduler;
		if (wakeAt !== undefined) {
			this.#timer = setTimeout(
				() => {
					this.#sendDue();
				},
				Math.max(1, Math.ceil(wakeAt - performance.now())),
			);
		}
	}
}

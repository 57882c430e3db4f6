/** A response to be sent on a host's link. */
export type Transfer = {
	readonly bytes: number;
	/** Monotonic milliseconds by which the response is most useful; those due first are sent first. */
	readonly dueAt: number;
	/** Monotonic milliseconds at which the receiver stops waiting; the response isn't held back longer. */
	readonly deadlineAt: number;
};

type Sending = {
	readonly id: number;
	readonly startedAt: number;
	/** Time that the response takes on the link. */
	readonly transferMs: number;
	/** Whether the socket has taken all of it. */
	isTaken: boolean;
};

/** Bytes that a link of one Mbit/s carries in a millisecond. */
export const bytesPerMsAtOneMbps = 125;
/**
 * Multiple of the time on the link after which a response that the socket hasn't taken no longer holds the
 * link: its receiver is slower than the link, and the rest is free for others.
 */
const slowReceiverMultiple = 2;

/**
 * Orders large responses on a host's link: one after the other by due time, since those that share a link
 * all end late. Reads no clock: every `now` is in monotonic milliseconds.
 */
export class LinkScheduler {
	readonly #bytesPerMs: number;
	/** In the order of their due times. */
	#waiting: ReadonlyArray<Transfer & {readonly id: number}> = [];
	#sending: Sending | undefined;
	#lastId = 0;

	/** @param linkMbps - bandwidth of the link, above 0. */
	constructor(linkMbps: number) {
		this.#bytesPerMs = linkMbps * bytesPerMsAtOneMbps;
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	/** Returns the time in milliseconds that a response takes on the link. */
	transferMs(bytes: number): number {
		return bytes / this.#bytesPerMs;
	}

	/** Returns the expected time in milliseconds until a new response that is due last could be sent. */
	expectedWaitMs(now: number): number {
		const sendingMs = this.#sending ? this.#sending.startedAt + this.#sending.transferMs - now : 0;
		return this.#waiting.reduce(
			(sum, {bytes}) => sum + this.transferMs(bytes),
			Math.max(0, sendingMs),
		);
	}

	/** Adds a response and returns the number by which it is identified. */
	add(transfer: Transfer): number {
		this.#lastId += 1;
		const added = {...transfer, id: this.#lastId};
		const index = this.#waiting.findIndex(({dueAt}) => dueAt > transfer.dueAt);
		this.#waiting = this.#waiting.toSpliced(index === -1 ? this.#waiting.length : index, 0, added);
		return this.#lastId;
	}

	/** Removes and returns the responses to send now. */
	takeDue(now: number): number[] {
		const overdue = this.#waiting.filter(({deadlineAt}) => deadlineAt <= now);
		this.#waiting = this.#waiting.filter(({deadlineAt}) => deadlineAt > now);
		const due = overdue.map(({id}) => id);
		if (this.#sending && now >= this.#releaseAt(this.#sending)) {
			this.#sending = undefined;
		}

		const [next] = this.#waiting;
		if (this.#sending === undefined && next) {
			this.#waiting = this.#waiting.slice(1);
			const transferMs = this.transferMs(next.bytes);
			this.#sending = {id: next.id, startedAt: now, transferMs, isTaken: false};
			due.push(next.id);
		}

		return due;
	}

	/** Returns when {@link takeDue} is to be called next; undefined while no response waits. */
	get wakeAt(): number | undefined {
		if (this.#waiting.length === 0) {
			return undefined;
		}

		const releaseAt = this.#sending ? this.#releaseAt(this.#sending) : Number.NEGATIVE_INFINITY;
		return Math.min(releaseAt, ...this.#waiting.map(({deadlineAt}) => deadlineAt));
	}

	/** Records that the socket has taken all of a response. */
	onTaken(id: number): void {
		if (this.#sending?.id === id) {
			this.#sending.isTaken = true;
		}
	}

	/** Removes a response whose receiver has left. */
	remove(id: number): void {
		this.#waiting = this.#waiting.filter((each) => each.id !== id);
		if (this.#sending?.id === id) {
			this.#sending = undefined;
		}
	}

	#releaseAt({startedAt, transferMs, isTaken}: Sending): number {
		return startedAt + transferMs * (isTaken ? 1 : slowReceiverMultiple);
	}
}

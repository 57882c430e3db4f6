const decreaseFactor = 0.8;
const minimumDecreaseIntervalMs = 100;
/** Time for which a call that the worker accepted shows that it has room for as many calls. */
const evidenceMs = 1000;

/** Start of a call at the worker. */
export type CallStart = {
	/** Monotonic milliseconds. */
	readonly at: number;
	/** Calls that the worker had from then on, this one included. */
	readonly concurrency: number;
};

/**
 * Limits the calls dispatched to a worker at once: to its slots, or fewer while it sheds calls for lack of
 * room. A worker that sheds calls for another reason accepts others beside as many, and keeps its limit:
 * with a lower one it would shed the same share of fewer calls.
 */
export class ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#decreasedAt = Number.NEGATIVE_INFINITY;
	/** When the worker last accepted a call, by the calls that it had from then on. */
	#acceptedAt: number[] = [];

	constructor(slots: number) {
		this.#slots = Math.max(1, slots);
		this.#limit = this.#slots;
	}

	get value(): number {
		return Math.max(1, Math.floor(this.#limit));
	}

	resize(slots: number): void {
		if (slots !== this.#slots) {
			this.#slots = Math.max(1, slots);
			this.#limit = this.#slots;
		}
	}

	/** Resets the limit to the slots, for a new worker instance. */
	reset(): void {
		this.#limit = this.#slots;
		this.#decreasedAt = Number.NEGATIVE_INFINITY;
		this.#acceptedAt = [];
	}

	/** Raises the limit by about one for every `limit` successful calls, up to the number of slots. */
	onSuccess({at, concurrency}: CallStart): void {
		this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
		const level = this.#levelOf(concurrency);
		this.#acceptedAt[level] = Math.max(this.#acceptedAt[level] ?? at, at);
	}

	/** Lowers the limit because the worker shed a call that was within it, unless others were accepted. */
	onShed({at, concurrency}: CallStart, now: number): void {
		const isFull = !this.#hasAcceptedSince(at - evidenceMs, concurrency);
		if (isFull && now - this.#decreasedAt >= minimumDecreaseIntervalMs) {
			this.#limit = Math.max(1, this.#limit * decreaseFactor);
			this.#decreasedAt = now;
		}
	}

	/** Whether the worker has accepted a call since then although it had as many calls. */
	#hasAcceptedSince(time: number, concurrency: number): boolean {
		return this.#acceptedAt.some((at, level) => level >= this.#levelOf(concurrency) && at >= time);
	}

	#levelOf(concurrency: number): number {
		return Math.min(this.#slots, concurrency);
	}
}

const decreaseFactor = 0.8;
const minimumDecreaseIntervalMs = 100;

/** Limits the calls dispatched to a worker at once: to its slots, or fewer while it sheds load. */
export class ConcurrencyLimit {
	#slots: number;
	#limit: number;
	#decreasedAt = Number.NEGATIVE_INFINITY;

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
	}

	/** Raises the limit by about one for every `limit` successful calls, up to the number of slots. */
	onSuccess(): void {
		this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
	}

	/** Lowers the limit because the worker shed a call that was within it. */
	onShed(now: number): void {
		if (now - this.#decreasedAt >= minimumDecreaseIntervalMs) {
			this.#limit = Math.max(1, this.#limit * decreaseFactor);
			this.#decreasedAt = now;
		}
	}
}

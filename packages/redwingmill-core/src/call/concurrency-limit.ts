const decreaseFactor = 0.8;
const minimumDecreaseIntervalMs = 100;

/** Calls that a worker is given at once: its slots, fewer while it sheds load. */
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

	/** Another worker has taken the place. */
	reset(): void {
		this.#limit = this.#slots;
		this.#decreasedAt = Number.NEGATIVE_INFINITY;
	}

	/** The worker ran a call: the limit grows by one per limit's worth of calls. */
	onSuccess(): void {
		this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
	}

	/** The worker refused a call although it was within the limit. */
	onShed(now: number): void {
		if (now - this.#decreasedAt >= minimumDecreaseIntervalMs) {
			this.#limit = Math.max(1, this.#limit * decreaseFactor);
			this.#decreasedAt = now;
		}
	}
}

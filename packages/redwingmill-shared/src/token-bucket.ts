/** Token bucket that refills with elapsed time. It reads no clock: the caller passes `now`. */
export class TokenBucket {
	readonly #capacity: number;
	readonly #tokensPerSecond: number;
	#tokens: number;
	#refilledAt: number;

	/** @param now - monotonic time in milliseconds. */
	constructor(capacity: number, tokensPerSecond: number, now: number) {
		this.#capacity = capacity;
		this.#tokensPerSecond = tokensPerSecond;
		this.#tokens = capacity;
		this.#refilledAt = now;
	}

	/** Takes one token if one is available; returns whether it did. */
	take(now: number): boolean {
		this.#refill(now);
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}

	/** Returns the minimum time until a token is available, in milliseconds; 0 if one already is. */
	waitMs(now: number): number {
		this.#refill(now);
		return this.#tokens >= 1 ? 0 : Math.ceil(((1 - this.#tokens) / this.#tokensPerSecond) * 1000);
	}

	#refill(now: number): void {
		const elapsedMs = Math.max(0, now - this.#refilledAt);
		this.#tokens = Math.min(
			this.#capacity,
			this.#tokens + (elapsedMs / 1000) * this.#tokensPerSecond,
		);
		this.#refilledAt = now;
	}
}

/** Share of a new sample in the moving averages. */
const smoothing = 0.05;

/**
 * Compares when calls that waited were done with when they were expected to be at their admission. An
 * expectation adds up mean run times, so that about half of the calls take longer.
 */
export class ForecastErrors {
	#meanMs = 0;
	#deviationMs = 0;

	/** Time in milliseconds after the expected end within which most calls are done; never negative. */
	get marginMs(): number {
		return Math.max(0, this.#meanMs + this.#deviationMs);
	}

	/** @param errorMs - time by which a call was done later than expected; negative if it was earlier. */
	record(errorMs: number): void {
		this.#deviationMs += smoothing * (Math.abs(errorMs - this.#meanMs) - this.#deviationMs);
		this.#meanMs += smoothing * (errorMs - this.#meanMs);
	}

	/** Discards all samples, for a new worker process. */
	reset(): void {
		this.#meanMs = 0;
		this.#deviationMs = 0;
	}
}

/** Least share of a new sample in the moving averages. */
const smoothing = 0.1;
/** Time after which earlier samples count half. */
const halfLifeMs = 300;
/** Time without an attempt after which the estimate counts half where it needn't be safe. */
const fadeMs = 3000;
/** Bound on a sample: a peer that was held up for longer says nothing of the others. */
const maximumSampleMs = 300;

/**
 * Estimates how long the attempts of an entry are on their way to the gates of other nodes and back: all the
 * time between sending an attempt and its answer for which the gate doesn't account. Keeps moving averages of
 * the mean and of the absolute deviation, as RFC 6298 does for round trips.
 */
export class TransitTimes {
	#meanMs: number | undefined;
	#deviationMs = 0;
	#recordedAt = 0;

	/** Time in milliseconds within which most attempts make both ways; 0 while nothing is known. */
	get expectedMs(): number {
		return this.#meanMs === undefined ? 0 : this.#meanMs + this.#deviationMs;
	}

	/** Returns the same, the less the longer ago the last attempt was: it says little of the present by then. */
	fadedMs(now: number): number {
		return this.expectedMs * 0.5 ** (Math.max(0, now - this.#recordedAt) / fadeMs);
	}

	/**
	 * @param transitMs - time for which an attempt was on its way, in milliseconds.
	 * @param now - monotonic milliseconds.
	 */
	record(transitMs: number, now: number): void {
		const weight = Math.max(smoothing, 1 - 0.5 ** ((now - this.#recordedAt) / halfLifeMs));
		this.#recordedAt = now;
		const sampleMs = Math.min(maximumSampleMs, Math.max(0, transitMs));
		const meanMs = this.#meanMs ?? sampleMs;
		this.#deviationMs += weight * (Math.abs(sampleMs - meanMs) - this.#deviationMs);
		this.#meanMs = meanMs + weight * (sampleMs - meanMs);
	}
}

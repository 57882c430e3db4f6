const smoothing = 0.1;
/** Half-life of the share; it decays since a worker without calls can't show that it recovered. */
const halfLifeMs = 2000;

/** Moving average of the share of a worker's runs that failed. Decays over time without runs. */
export class FailureMeter {
	#share = 0;
	#updatedAt = 0;

	record(isFailure: boolean, now: number): void {
		const share = this.shareAt(now);
		this.#share = share + smoothing * ((isFailure ? 1 : 0) - share);
		this.#updatedAt = now;
	}

	/** Returns the share, from 0 to 1. */
	shareAt(now: number): number {
		return this.#share * 0.5 ** ((now - this.#updatedAt) / halfLifeMs);
	}

	/** Resets the share, for a new worker instance. */
	reset(): void {
		this.#share = 0;
	}
}

const smoothing = 0.1;
/** A worker that gets no calls any more shows nothing; after this time half of its past is forgiven. */
const halfLifeMs = 2000;

/** Moving share of a worker's runs that failed. It fades while nothing runs. */
export class FailureMeter {
	#share = 0;
	#updatedAt = 0;

	record(isFailure: boolean, now: number): void {
		const share = this.shareAt(now);
		this.#share = share + smoothing * ((isFailure ? 1 : 0) - share);
		this.#updatedAt = now;
	}

	shareAt(now: number): number {
		return this.#share * 0.5 ** ((now - this.#updatedAt) / halfLifeMs);
	}

	/** Another worker has taken the place. */
	reset(): void {
		this.#share = 0;
	}
}

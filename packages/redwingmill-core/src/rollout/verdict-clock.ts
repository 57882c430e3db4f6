/** Runs of a version after which the bound on the time to its rollback counts. */
const verdictRuns = 50;
/** Time for evidence to arrive and for entries to follow. */
const reserveMs = 1500;

/**
 * Tells when a verdict on a version is due so that the bound on the time to a rollback holds: all of its runs
 * may have been bad, though the evidence doesn't show it yet.
 */
export class VerdictClock {
	readonly #rollbackMs: number;
	#reachedAt: number | undefined;

	/** @param rollbackMs - time after the 50th bad response in which a version has to be rolled back. */
	constructor(rollbackMs: number) {
		this.#rollbackMs = rollbackMs;
	}

	/** Returns whether a verdict is due, given the runs of the version up to now. */
	isDue(runs: number, now: number): boolean {
		if (runs >= verdictRuns) {
			this.#reachedAt ??= now;
		}

		return this.#reachedAt !== undefined && now - this.#reachedAt >= this.#rollbackMs - reserveMs;
	}
}

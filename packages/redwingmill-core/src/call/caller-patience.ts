/** Longest time that callers of a route have given, in this period and the one before. */
type Patience = {
	startedAt: number;
	currentMs: number;
	previousMs: number;
};

/** Callers of a route may change; what they gave longer ago than two periods is forgotten. */
const periodMs = 15_000;
/** Less than this is the time that a request was under way, not an earlier try. */
const shortestWaitMs = 80;

/**
 * Tells how long a caller has been waiting already. Callers that come back after a refusal give the
 * rest of their time; the longest time given on a route is what a first try gives.
 */
export class CallerPatience {
	readonly #groups = new Map<string, Patience>();

	/**
	 * Milliseconds since the caller's first try; 0 for a first one.
	 *
	 * @param group - names the route.
	 * @param givenMs - time that the caller gives this try.
	 */
	waitedMs(group: string, givenMs: number, now: number): number {
		const patience = this.#current(group, givenMs, now);
		const waitedMs = Math.max(patience.currentMs, patience.previousMs) - givenMs;
		return waitedMs < shortestWaitMs ? 0 : waitedMs;
	}

	/** Forgets routes that are gone. */
	retain(groups: ReadonlySet<string>): void {
		for (const group of this.#groups.keys()) {
			if (!groups.has(group)) {
				this.#groups.delete(group);
			}
		}
	}

	#current(group: string, givenMs: number, now: number): Patience {
		let patience = this.#groups.get(group);
		if (patience === undefined) {
			patience = {startedAt: now, currentMs: givenMs, previousMs: 0};
			this.#groups.set(group, patience);
		} else if (now - patience.startedAt > periodMs) {
			patience.previousMs = patience.currentMs;
			patience.currentMs = givenMs;
			patience.startedAt = now;
		}

		patience.currentMs = Math.max(patience.currentMs, givenMs);
		return patience;
	}
}

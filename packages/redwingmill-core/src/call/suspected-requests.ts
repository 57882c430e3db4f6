/** What is known of a request that was running when a worker died. */
export type SuspicionLevel = 'none' | 'suspect' | 'quarantined';

type SuspectedRequest = {
	/** Nodes whose workers died while they ran the request. */
	readonly nodes: ReadonlySet<string>;
	readonly until: number;
};

const maximumSuspectedRequests = 1000;
const maximumSuccesses = 1000;

/**
 * Requests suspected of crashing workers, by fingerprint. A request is quarantined once
 * enough different workers died of it, unless it is known to have run well: then the workers are to blame.
 */
export class SuspectedRequests {
	readonly #durationMs: number;
	readonly #nodesToQuarantine: number;
	readonly #requests = new Map<string, SuspectedRequest>();
	/** Time of the last good run, by fingerprint, oldest first. */
	readonly #successes = new Map<string, number>();

	/**
	 * @param durationMs - how long a suspicion or a proof of innocence holds.
	 * @param nodesToQuarantine - different nodes whose workers have to die of a request.
	 */
	constructor(durationMs: number, nodesToQuarantine: number) {
		this.#durationMs = durationMs;
		this.#nodesToQuarantine = nodesToQuarantine;
	}

	get isEmpty(): boolean {
		return this.#requests.size === 0;
	}

	/** A worker died while it ran the request. Returns whether that counts against the request. */
	recordCrash(fingerprint: string, nodes: readonly string[], now: number): boolean {
		if (this.hasRecentSuccess(fingerprint, now)) {
			return false;
		}

		const known = this.#current(fingerprint, now);
		this.#requests.delete(fingerprint);
		this.#requests.set(fingerprint, {
			nodes: new Set([...(known?.nodes ?? []), ...nodes]),
			until: now + this.#durationMs,
		});
		trim(this.#requests, maximumSuspectedRequests);
		return true;
	}

	/** The request ran well, here or elsewhere. Returns whether it was suspected. */
	clear(fingerprint: string, now: number): boolean {
		this.#successes.delete(fingerprint);
		this.#successes.set(fingerprint, now);
		trim(this.#successes, maximumSuccesses);
		return this.#requests.delete(fingerprint);
	}

	/** Whether the request ran well not long ago. */
	hasRecentSuccess(fingerprint: string, now: number): boolean {
		const at = this.#successes.get(fingerprint);
		return at !== undefined && now - at < this.#durationMs;
	}

	/** @param nodes - nodes whose workers died of this very call. */
	suspicionOf(fingerprint: string, nodes: readonly string[], now: number): SuspicionLevel {
		if (this.hasRecentSuccess(fingerprint, now)) {
			return 'none';
		}

		const known = this.#current(fingerprint, now)?.nodes ?? [];
		const count = new Set([...known, ...nodes]).size;
		if (count >= this.#nodesToQuarantine) {
			return 'quarantined';
		}

		return count > 0 ? 'suspect' : 'none';
	}

	/** Milliseconds until the request is let through again. */
	remainingMs(fingerprint: string, now: number): number {
		return Math.max(0, (this.#requests.get(fingerprint)?.until ?? now) - now);
	}

	#current(fingerprint: string, now: number): SuspectedRequest | undefined {
		const suspect = this.#requests.get(fingerprint);
		if (suspect === undefined || suspect.until > now) {
			return suspect;
		}

		this.#requests.delete(fingerprint);
		return undefined;
	}
}

/** Drops the oldest entries over a bound. */
function trim(entries: Map<string, unknown>, bound: number): void {
	for (const key of entries.keys()) {
		if (entries.size <= bound) {
			return;
		}

		entries.delete(key);
	}
}

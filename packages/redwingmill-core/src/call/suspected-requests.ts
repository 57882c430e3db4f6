/** How strongly a request is suspected of crashing workers; 'quarantined' ones are refused. */
export type SuspicionLevel = 'none' | 'suspect' | 'quarantined';

type SuspectedRequest = {
	/** Nodes whose workers crashed while running the request. */
	readonly nodes: ReadonlySet<string>;
	readonly until: number;
};

const maximumSuspectedRequests = 1000;
const maximumSuccesses = 1000;

/**
 * Tracks requests suspected of crashing workers, by fingerprint. A request is quarantined once it
 * has crashed workers on enough different nodes. One that has recently succeeded isn't suspected: it
 * is the worker that is faulty then.
 */
export class SuspectedRequests {
	readonly #durationMs: number;
	readonly #nodesToQuarantine: number;
	readonly #requests = new Map<string, SuspectedRequest>();
	/** Time of the last successful run by fingerprint, oldest first. */
	readonly #successes = new Map<string, number>();

	/**
	 * @param durationMs - time for which a crash or a success of a request is taken into account.
	 * @param nodesToQuarantine - number of different nodes whose workers must crash on a request.
	 */
	constructor(durationMs: number, nodesToQuarantine: number) {
		this.#durationMs = durationMs;
		this.#nodesToQuarantine = nodesToQuarantine;
	}

	get isEmpty(): boolean {
		return this.#requests.size === 0;
	}

	/** Records that workers of `nodes` crashed on the request. Returns whether it is suspected. */
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

	/** Records that the request succeeded, here or elsewhere. Returns whether it was suspected. */
	clear(fingerprint: string, now: number): boolean {
		this.#successes.delete(fingerprint);
		this.#successes.set(fingerprint, now);
		trim(this.#successes, maximumSuccesses);
		return this.#requests.delete(fingerprint);
	}

	/** Whether the request has recently succeeded. */
	hasRecentSuccess(fingerprint: string, now: number): boolean {
		const succeededAt = this.#successes.get(fingerprint);
		return succeededAt !== undefined && now - succeededAt < this.#durationMs;
	}

	/**
	 * Returns how strongly the request is suspected.
	 *
	 * @param nodes - nodes whose workers crashed while running this call.
	 */
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

	/** Returns the number of crashes that count against the request. */
	crashesOf(fingerprint: string, now: number): number {
		return this.#current(fingerprint, now)?.nodes.size ?? 0;
	}

	/** Returns the milliseconds until the request is no longer suspected. */
	remainingMs(fingerprint: string, now: number): number {
		return Math.max(0, (this.#requests.get(fingerprint)?.until ?? now) - now);
	}

	#current(fingerprint: string, now: number): SuspectedRequest | undefined {
		const request = this.#requests.get(fingerprint);
		if (request === undefined || request.until > now) {
			return request;
		}

		this.#requests.delete(fingerprint);
		return undefined;
	}
}

/** Removes the oldest entries beyond `bound`. */
function trim(entries: Map<string, unknown>, bound: number): void {
	for (const key of entries.keys()) {
		if (entries.size <= bound) {
			return;
		}

		entries.delete(key);
	}
}

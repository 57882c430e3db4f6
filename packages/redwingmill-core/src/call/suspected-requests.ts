import {mergeCrashes, totalCrashes, type CrashCounts} from './crash-counts.js';

/** How strongly a request is suspected of crashing workers; 'quarantined' ones are refused. */
export type SuspicionLevel = 'none' | 'suspect' | 'quarantined';

type SuspectedRequest = {
	readonly crashes: CrashCounts;
	readonly until: number;
};

const maximumSuspectedRequests = 1000;
const maximumSuccesses = 1000;

/**
 * Tracks requests suspected of crashing workers, by fingerprint. A request is quarantined once enough
 * workers have crashed on it. One that has recently succeeded isn't suspected: it is the worker that is
 * faulty then.
 */
export class SuspectedRequests {
	readonly #durationMs: number;
	readonly #crashesToQuarantine: number;
	readonly #requests = new Map<string, SuspectedRequest>();
	/** Time of the last successful run by fingerprint, oldest first. */
	readonly #successes = new Map<string, number>();

	/**
	 * @param durationMs - time for which a crash or a success of a request is taken into account.
	 * @param crashesToQuarantine - number of workers that must crash on a request.
	 */
	constructor(durationMs: number, crashesToQuarantine: number) {
		this.#durationMs = durationMs;
		this.#crashesToQuarantine = crashesToQuarantine;
	}

	get isEmpty(): boolean {
		return this.#requests.size === 0;
	}

	/** Adds crashes on the request to those known. Returns whether it is suspected. */
	recordCrashes(fingerprint: string, crashes: CrashCounts, now: number): boolean {
		if (this.hasRecentSuccess(fingerprint, now)) {
			return false;
		}

		const known = this.crashesOf(fingerprint, now);
		this.#requests.delete(fingerprint);
		this.#requests.set(fingerprint, {
			crashes: mergeCrashes(known, crashes),
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
	 * @param crashes - crashes that are known of this call in addition.
	 */
	suspicionOf(fingerprint: string, crashes: CrashCounts, now: number): SuspicionLevel {
		if (this.hasRecentSuccess(fingerprint, now)) {
			return 'none';
		}

		const count = totalCrashes(mergeCrashes(this.crashesOf(fingerprint, now), crashes));
		if (count >= this.#crashesToQuarantine) {
			return 'quarantined';
		}

		return count > 0 ? 'suspect' : 'none';
	}

	/** Returns the crashes that count against the request. */
	crashesOf(fingerprint: string, now: number): CrashCounts {
		return this.#current(fingerprint, now)?.crashes ?? [];
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

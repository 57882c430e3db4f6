import {digestOf} from 'redwingmill-shared';
import {mergeCrashes, totalCrashes, type CrashCounts} from './crash-counts.js';

/**
 * How strongly a request is suspected of crashing workers: one on 'probation' is a crash short of those
 * that are 'quarantined', which are refused.
 */
export type SuspicionLevel = 'none' | 'suspect' | 'probation' | 'quarantined';

/** A suspected request as other nodes need to know it. */
export type Suspicion = {
	readonly fingerprint: string;
	readonly crashes: CrashCounts;
	/** Time since the last crash. */
	readonly ageMs: number;
};

type SuspectedRequest = {
	readonly crashes: CrashCounts;
	readonly crashedAt: number;
	/** Hash of fingerprint and crashes. */
	readonly hash: number;
};

/**
 * Crashes from which on nodes compare what they know of a request. Most requests that were running when
 * a worker crashed have nothing to do with it and never crash a second one.
 */
const minimumComparedCrashes = 2;
const hashHexDigits = 8;
const hexadecimalRadix = 16;
const digestModulus = 2 ** 32;

/** Limits the quarantine to 64 times the first one. */
const maximumDoublings = 6;
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
	/** Time at which suspected requests were cleared, oldest first. */
	readonly #cleared = new Map<string, number>();

	/**
	 * @param durationMs - time for which a crash or a success of a request is taken into account, and for
	 *   which a request is quarantined first. Each further crash doubles the quarantine.
	 * @param crashesToQuarantine - number of workers that must crash on a request.
	 */
	constructor(durationMs: number, crashesToQuarantine: number) {
		this.#durationMs = durationMs;
		this.#crashesToQuarantine = crashesToQuarantine;
	}

	get isEmpty(): boolean {
		return this.#requests.size === 0;
	}

	/**
	 * Adds crashes on the request to those known. Returns whether it is suspected.
	 *
	 * @param ageMs - time since the last of the crashes.
	 */
	recordCrashes(fingerprint: string, crashes: CrashCounts, ageMs: number, now: number): boolean {
		if (this.hasRecentSuccess(fingerprint, now)) {
			return false;
		}

		const known = this.#current(fingerprint, now);
		const merged = mergeCrashes(known?.crashes ?? [], crashes);
		const crashedAt = Math.max(known?.crashedAt ?? Number.NEGATIVE_INFINITY, now - ageMs);
		const request = {crashes: merged, crashedAt, hash: hashOf(fingerprint, merged)};
		if (!this.#hasLapsed(request, now)) {
			this.#requests.delete(fingerprint);
			this.#requests.set(fingerprint, request);
			this.#evict();
		}

		return true;
	}

	/** Records that the request succeeded, here or elsewhere. Returns whether it was suspected. */
	clear(fingerprint: string, now: number): boolean {
		const wasSuspected = this.#requests.delete(fingerprint);
		// Ordinary successes are so many that they would soon displace the cleared requests.
		const times = wasSuspected || this.#cleared.has(fingerprint) ? this.#cleared : this.#successes;
		times.delete(fingerprint);
		times.set(fingerprint, now);
		trim(times, maximumSuccesses);
		return wasSuspected;
	}

	/** Whether the request has recently succeeded. */
	hasRecentSuccess(fingerprint: string, now: number): boolean {
		const succeededAt = this.#cleared.get(fingerprint) ?? this.#successes.get(fingerprint);
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

		const known = this.#current(fingerprint, now);
		const count = totalCrashes(mergeCrashes(known?.crashes ?? [], crashes));
		const hasNewCrash = known === undefined || count > totalCrashes(known.crashes);
		if (count >= this.#crashesToQuarantine) {
			return hasNewCrash || this.#quarantineEndAt(known) > now ? 'quarantined' : 'probation';
		}

		if (count === 0) {
			return 'none';
		}

		return count === this.#crashesToQuarantine - 1 ? 'probation' : 'suspect';
	}

	/** Returns the crashes that count against the request. */
	crashesOf(fingerprint: string, now: number): CrashCounts {
		return this.#current(fingerprint, now)?.crashes ?? [];
	}

	/** Returns the milliseconds until a quarantined request may run again. */
	remainingMs(fingerprint: string, now: number): number {
		const known = this.#current(fingerprint, now);
		return known === undefined ? 0 : Math.max(0, this.#quarantineEndAt(known) - now);
	}

	/**
	 * Returns a digest of the requests with several crashes; 0 if there are none. Nodes with equal digests
	 * know the same crashes.
	 */
	digestAt(now: number): number {
		return this.#repeated(now).reduce((sum, [, {hash}]) => (sum + hash) % digestModulus, 0);
	}

	/** Returns at most `limit` requests with several crashes, those with the most crashes first. */
	repeatedCrashes(limit: number, now: number): Suspicion[] {
		return this.#repeated(now)
			.toSorted(([, a], [, b]) => totalCrashes(b.crashes) - totalCrashes(a.crashes))
			.slice(0, limit)
			.map(([fingerprint, request]) => toSuspicion(fingerprint, request, now));
	}

	/** Returns what is known of a suspected request. */
	lookUp(fingerprint: string, now: number): Suspicion | undefined {
		const request = this.#current(fingerprint, now);
		return request && toSuspicion(fingerprint, request, now);
	}

	/** Removes the requests with the fewest crashes beyond the bound, oldest first. */
	#evict(): void {
		if (this.#requests.size <= maximumSuspectedRequests) {
			return;
		}

		let fewest = Number.POSITIVE_INFINITY;
		let evicted: string | undefined;
		for (const [fingerprint, {crashes}] of this.#requests) {
			const count = totalCrashes(crashes);
			if (count < fewest) {
				fewest = count;
				evicted = fingerprint;
			}

			if (count <= 1) {
				break;
			}
		}

		if (evicted !== undefined) {
			this.#requests.delete(evicted);
		}
	}

	#repeated(now: number): Array<[string, SuspectedRequest]> {
		return [...this.#requests].filter(
			([, request]) =>
				totalCrashes(request.crashes) >= minimumComparedCrashes && !this.#hasLapsed(request, now),
		);
	}

	#current(fingerprint: string, now: number): SuspectedRequest | undefined {
		const request = this.#requests.get(fingerprint);
		if (request === undefined || !this.#hasLapsed(request, now)) {
			return request;
		}

		this.#requests.delete(fingerprint);
		return undefined;
	}

	/** Whether the crashes are forgotten: a quarantined request stays on probation for as long again. */
	#hasLapsed(request: SuspectedRequest, now: number): boolean {
		const {crashes, crashedAt} = request;
		const isRepeated = totalCrashes(crashes) >= this.#crashesToQuarantine;
		const keptMs = (isRepeated ? 2 : 1) * this.#quarantineMs(crashes);
		return now - crashedAt >= keptMs;
	}

	#quarantineEndAt({crashes, crashedAt}: SuspectedRequest): number {
		return crashedAt + this.#quarantineMs(crashes);
	}

	#quarantineMs(crashes: CrashCounts): number {
		const excess = Math.max(0, totalCrashes(crashes) - this.#crashesToQuarantine);
		return this.#durationMs * 2 ** Math.min(excess, maximumDoublings);
	}
}

function toSuspicion(
	fingerprint: string,
	{crashes, crashedAt}: SuspectedRequest,
	now: number,
): Suspicion {
	return {fingerprint, crashes, ageMs: now - crashedAt};
}

/** Returns a hash that doesn't depend on the order of the crashes. */
function hashOf(fingerprint: string, crashes: CrashCounts): number {
	const counts = crashes.map(({node, incarnation, count}) => `${node} ${incarnation} ${count}`);
	const digest = digestOf([fingerprint, ...counts.toSorted()].join('\n'));
	return Number.parseInt(digest.slice(0, hashHexDigits), hexadecimalRadix);
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

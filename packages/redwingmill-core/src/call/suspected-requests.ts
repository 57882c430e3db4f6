import {digestOf} from 'redwingmill-shared';
import {mergeCrashes, subtractCrashes, totalCrashes, type CrashCounts} from './crash-counts.js';

/**
 * How strongly a request is suspected of crashing workers: one on 'probation' is a crash short of those
 * that are 'quarantined', which are refused.
 */
export type SuspicionLevel = 'none' | 'suspect' | 'probation' | 'quarantined';

/** A suspected request as other nodes need to know it. */
export type Suspicion = {
	readonly fingerprint: string;
	readonly crashes: CrashCounts;
	/** Those of the crashes that a later success has disproved; absent if there are none. */
	readonly disproved?: CrashCounts;
	/** Time since the last crash. */
	readonly ageMs: number;
};

type SuspectedRequest = {
	/** All crashes known, also disproved ones. */
	readonly crashes: CrashCounts;
	/** Crashes that a later success has disproved. */
	readonly disproved: CrashCounts;
	/** Number of crashes that aren't disproved. */
	readonly count: number;
	readonly firstCrashedAt: number;
	readonly crashedAt: number;
	/** Whether it had recently succeeded when the first of these crashes became known. */
	readonly hadSucceeded: boolean;
	/** Hash of fingerprint and crashes. */
	readonly hash: number;
};

type Success = {
	readonly at: number;
	/** Crashes known by then. */
	readonly disproved: CrashCounts;
};

/**
 * Least time from the first to the last crash of a request that had succeeded before: workers that crash
 * together take all their requests with them.
 */
const minimumSpreadMs = 1000;

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
 * workers have crashed on it. A success disproves the crashes before it: it is the workers that were faulty
 * then. It says nothing about later ones.
 */
export class SuspectedRequests {
	readonly #durationMs: number;
	readonly #crashesToQuarantine: number;
	readonly #requests = new Map<string, SuspectedRequest>();
	/** Last success by fingerprint, oldest first. */
	readonly #successes = new Map<string, Success>();
	/** Last success of requests that were suspected, oldest first. */
	readonly #cleared = new Map<string, Success>();

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

	/** Adds crashes on the request to those known. Returns false if it has succeeded since. */
	recordCrashes(
		{fingerprint, crashes, disproved: reported = [], ageMs}: Suspicion,
		now: number,
	): boolean {
		const success = this.#recentSuccess(fingerprint, now);
		const lastCrashedAt = now - ageMs;
		if (success && success.at > lastCrashedAt) {
			return false;
		}

		const known = this.#current(fingerprint, now);
		const merged = mergeCrashes(this.crashesOf(fingerprint, now), crashes);
		const disproved = mergeCrashes(known?.disproved ?? success?.disproved ?? [], reported);
		const count = totalCrashes(subtractCrashes(merged, disproved));
		if (count === 0) {
			this.#requests.delete(fingerprint);
			return false;
		}

		const request = {
			crashes: merged,
			disproved,
			count,
			firstCrashedAt: known?.firstCrashedAt ?? lastCrashedAt,
			crashedAt: Math.max(known?.crashedAt ?? Number.NEGATIVE_INFINITY, lastCrashedAt),
			hadSucceeded: known?.hadSucceeded ?? success !== undefined,
			hash: hashOf(fingerprint, merged),
		};
		if (!this.#hasLapsed(request, now)) {
			this.#requests.delete(fingerprint);
			this.#requests.set(fingerprint, request);
			this.#evict();
		}

		return true;
	}

	/** Records that the request succeeded, here or elsewhere. Returns whether it was suspected. */
	clear(fingerprint: string, now: number): boolean {
		const disproved = this.crashesOf(fingerprint, now);
		const wasSuspected = this.#requests.delete(fingerprint);
		// Ordinary successes are so many that they would soon displace the cleared requests.
		const times = wasSuspected || this.#cleared.has(fingerprint) ? this.#cleared : this.#successes;
		times.delete(fingerprint);
		times.set(fingerprint, {at: now, disproved});
		trim(times, maximumSuccesses);
		return wasSuspected;
	}

	/**
	 * Returns how strongly the request is suspected.
	 *
	 * @param crashes - crashes that are known of this call in addition.
	 */
	suspicionOf(fingerprint: string, crashes: CrashCounts, now: number): SuspicionLevel {
		const known = this.#current(fingerprint, now);
		const counted = known ? subtractCrashes(known.crashes, known.disproved) : [];
		const count = totalCrashes(mergeCrashes(counted, crashes));
		if (count === 0) {
			return 'none';
		}

		if (count < this.#crashesToQuarantine) {
			return count === this.#crashesToQuarantine - 1 ? 'probation' : 'suspect';
		}

		const hasNewCrash = known === undefined || count > known.count;
		const isQuarantined =
			hasNewCrash || (!haveCrashedTogether(known) && this.#quarantineEndAt(known) > now);
		return isQuarantined ? 'quarantined' : 'probation';
	}

	/** Returns all crashes known of the request, also those that a later success has disproved. */
	crashesOf(fingerprint: string, now: number): CrashCounts {
		return (
			this.#current(fingerprint, now)?.crashes ??
			this.#recentSuccess(fingerprint, now)?.disproved ??
			[]
		);
	}

	/** Returns the number of crashes that count against the request. */
	crashCountOf(fingerprint: string, now: number): number {
		return this.#current(fingerprint, now)?.count ?? 0;
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
			.toSorted(([, a], [, b]) => b.count - a.count)
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
		for (const [fingerprint, {count}] of this.#requests) {
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
			([, request]) => request.count >= minimumComparedCrashes && !this.#hasLapsed(request, now),
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
		const {count, crashedAt} = request;
		const isRepeated = count >= this.#crashesToQuarantine;
		const keptMs = (isRepeated ? 2 : 1) * this.#quarantineMs(count);
		return now - crashedAt >= keptMs;
	}

	#recentSuccess(fingerprint: string, now: number): Success | undefined {
		const success = this.#cleared.get(fingerprint) ?? this.#successes.get(fingerprint);
		return success && now - success.at < this.#durationMs ? success : undefined;
	}

	#quarantineEndAt({count, crashedAt}: SuspectedRequest): number {
		return crashedAt + this.#quarantineMs(count);
	}

	#quarantineMs(count: number): number {
		const excess = Math.max(0, count - this.#crashesToQuarantine);
		return this.#durationMs * 2 ** Math.min(excess, maximumDoublings);
	}
}

/** Whether the crashes may be of workers that ended together, while they ran a sound request. */
function haveCrashedTogether({hadSucceeded, firstCrashedAt, crashedAt}: SuspectedRequest): boolean {
	return hadSucceeded && crashedAt - firstCrashedAt < minimumSpreadMs;
}

function toSuspicion(
	fingerprint: string,
	{crashes, disproved, crashedAt}: SuspectedRequest,
	now: number,
): Suspicion {
	const ageMs = now - crashedAt;
	return {fingerprint, crashes, ageMs, ...(disproved.length > 0 && {disproved})};
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

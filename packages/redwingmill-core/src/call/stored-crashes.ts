import {mergeCrashes, totalCrashes, type CrashCounts} from './crash-counts.js';
import {type SuspicionReport} from './crash-tracker.js';

/** Crashes on a quarantined request as the store keeps them for nodes that start later. */
export type StoredCrashes = {
	readonly fingerprint: string;
	readonly crashes: CrashCounts;
	/** Those of the crashes that a later success has disproved; absent if there are none. */
	readonly disproved?: CrashCounts;
	/** Time of the last crash, in Unix milliseconds. */
	readonly crashedAt: number;
};

const maximumStoredRequests = 50;
/** Longest time for which a request can be quarantined or on probation; see `SuspectedRequests`. */
const retentionMs = 2 * 64 * 60_000;

/**
 * Returns what the store has to keep once the reports are added: no requests that are forgotten by now,
 * and only those that crashed last.
 *
 * @param now - Unix milliseconds.
 */
export function mergeStoredCrashes(
	stored: readonly StoredCrashes[],
	reports: readonly SuspicionReport[],
	now: number,
): StoredCrashes[] {
	const merged = new Map(stored.map((each) => [each.fingerprint, each]));
	for (const {fingerprint, crashes, disproved, ageMs} of reports) {
		const known = merged.get(fingerprint);
		const allDisproved = mergeCrashes(known?.disproved ?? [], disproved ?? []);
		merged.set(fingerprint, {
			fingerprint,
			crashes: mergeCrashes(known?.crashes ?? [], crashes),
			...(allDisproved.length > 0 && {disproved: allDisproved}),
			crashedAt: Math.max(known?.crashedAt ?? 0, Math.round(now - ageMs)),
		});
	}

	return [...merged.values()]
		.filter(({crashedAt}) => now - crashedAt < retentionMs)
		.toSorted((a, b) => b.crashedAt - a.crashedAt)
		.slice(0, maximumStoredRequests);
}

/**
 * Returns the reports for a node that has read the store.
 *
 * @param now - Unix milliseconds; a clock that was set back makes the crashes recent.
 */
export function reportsOfStored(stored: readonly StoredCrashes[], now: number): SuspicionReport[] {
	return stored
		.filter(({crashes}) => totalCrashes(crashes) > 0)
		.map(({fingerprint, crashes, disproved, crashedAt}) => ({
			isCleared: false,
			fingerprint,
			crashes,
			...(disproved && {disproved}),
			ageMs: Math.max(0, now - crashedAt),
		}));
}

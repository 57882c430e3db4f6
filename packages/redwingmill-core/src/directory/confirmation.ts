import {configurationBehindMs, type DirectoryState} from './directory-state.js';

/** Share of the time within which a configuration has to be confirmed that a poll of the store may take. */
const pollShare = 0.5;

/**
 * Returns how long a poll of the store may take on a node that has to confirm its configuration within
 * `withinMs`: a poll that is still open says nothing of the store.
 */
export function confirmingPollMs(withinMs: number): number {
	return withinMs * pollShare;
}

/**
 * Returns for how long this node hasn't been able to confirm that its configuration is the newest, in
 * milliseconds; Infinity if it never was. It is confirmed by an answer of the store to this node's own
 * watch, or by another node that reports that its watch reaches the store; the answer that such a report
 * relies on may be as old as a poll takes.
 */
export function unconfirmedMs(state: DirectoryState, withinMs: number, now: number): number {
	const {watch, members, adoption} = state;
	if (adoption.held === undefined) {
		return Number.POSITIVE_INFINITY;
	}

	const isReached = watch.isOn && watch.isStoreReachable;
	let confirmedAt = (isReached ? watch.contactAt : undefined) ?? Number.NEGATIVE_INFINITY;
	for (const [, {watchReportedAt}] of members.peers) {
		if (watchReportedAt !== undefined) {
			confirmedAt = Math.max(confirmedAt, watchReportedAt - confirmingPollMs(withinMs));
		}
	}

	return Math.max(now - confirmedAt, configurationBehindMs(state, now));
}

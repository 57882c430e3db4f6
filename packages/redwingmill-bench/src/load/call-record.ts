/** Result of a call as its caller saw it. */
export type CallRecord = {
	readonly id: string;
	readonly isIdempotent: boolean;
	readonly outcome: 'ran' | 'not-run' | 'unknown';
	readonly reason: string;
	/** Whether the answer was complete and carried this call's id. */
	readonly isMatchingAnswer: boolean;
	/** Milliseconds since the call was due, or since it started if that was earlier. */
	readonly latencyMs: number;
};

/** Counts of calls by outcome, and of mismatches between the caller's and the workers' records. */
export type CallTally = {
	readonly sent: number;
	readonly ran: number;
	readonly notRun: number;
	readonly unknown: number;
	/** Calls without any answer, or reported as `ran` though no worker ran them. */
	readonly lost: number;
	/** Calls that aren't idempotent but were run more than once. */
	readonly doubled: number;
	/** Calls reported as `ran` whose answer belongs to another call or is incomplete. */
	readonly crossed: number;
	/** Calls reported as `not-run` that a worker ran. */
	readonly falselyNotRun: number;
};

/**
 * Compares the callers' records with the workers'.
 * @param runs - number of runs by call id, as reported by the workers.
 */
export function tallyCalls(
	records: readonly CallRecord[],
	sent: number,
	runs: ReadonlyMap<string, number>,
): CallTally {
	const count = (isCounted: (record: CallRecord) => boolean) =>
		records.filter((record) => isCounted(record)).length;
	const runsOf = ({id}: CallRecord) => runs.get(id) ?? 0;
	return {
		sent,
		ran: count(({outcome}) => outcome === 'ran'),
		notRun: count(({outcome}) => outcome === 'not-run'),
		unknown: count(({outcome}) => outcome === 'unknown'),
		lost:
			sent - records.length + count((record) => record.outcome === 'ran' && runsOf(record) === 0),
		doubled: count((record) => !record.isIdempotent && runsOf(record) > 1),
		crossed: count((record) => record.outcome === 'ran' && !record.isMatchingAnswer),
		falselyNotRun: count((record) => record.outcome === 'not-run' && runsOf(record) > 0),
	};
}

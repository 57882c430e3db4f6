/** Load that a worker states in a response, for a host that it shares with others. */
export type WorkerReport = {
	/** Calls that the worker runs, including those whose callers have left. */
	readonly running: number;
	/** Calls that wait in the worker. */
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on the host at the moment, relative to the usual time: 1 is as usual. */
	readonly hostTime: number;
};

/** Load of a worker, as one response states it. */
export type StatedLoad =
	/** Not stated, or without the host time; the gate's own count is as good. */
	| {readonly type: 'none'}
	| {readonly type: 'stated'; readonly report: WorkerReport}
	| {readonly type: 'malformed'; readonly text: string};

const countPattern = /^\d{1,6}$/v;
/** A percentage without a sign or an exponent. */
const percentPattern = /^\d{1,6}(?:\.\d{1,6})?$/v;
const percentPerUnit = 100;
const fieldCounts: ReadonlySet<number> = new Set([3, 4]);

/**
 * Parses the value of a header that states a load: `running,waiting,slots[,hostPercent]`.
 *
 * @param value - absent when the response has no such header; a list when it has several.
 */
export function parseStatedLoad(value: string | readonly string[] | undefined): StatedLoad {
	if (value === undefined) {
		return {type: 'none'};
	}

	const text = typeof value === 'string' ? value : value.join(', ');
	const fields = text.split(',').map((field) => field.trim());
	const [running, waiting, slots] = fields.slice(0, 3).map(Number);
	const hostPercent = fields.at(3);
	const areCounts = fields.slice(0, 3).every((field) => countPattern.test(field));
	if (!fieldCounts.has(fields.length) || !areCounts || slots === 0) {
		return {type: 'malformed', text};
	}

	if (hostPercent === undefined) {
		return {type: 'none'};
	}

	const hostTime = percentPattern.test(hostPercent) ? Number(hostPercent) / percentPerUnit : 0;
	return hostTime > 0
		? {type: 'stated', report: {running, waiting, slots, hostTime}}
		: {type: 'malformed', text};
}

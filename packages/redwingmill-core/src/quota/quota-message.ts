/** Most entries in one datagram, so that it stays below 1,200 bytes at 19 bytes for the longest entry. */
export const quotaEntriesPerDatagram = 56;

/** Calls of a workspace at one entry, counted since the entry began to count (its epoch). */
export type QuotaUse = {
	/** Identifier of the workspace, see {@link QuotaIndex}. */
	readonly id: number;
	/** Number of this count at the node; the counts of another epoch start at 0. */
	readonly epoch: number;
	readonly asked: number;
	/** Calls admitted and not refunded. */
	readonly admitted: number;
};

/** What a node tells the quota server of its data centre. Empty as a sign of life. */
export type QuotaReport = {
	readonly incarnation: number;
	readonly sequence: number;
	/** Incarnation of the server that the counts were begun for; 0 if that hasn't answered yet. */
	readonly serverIncarnation: number;
	readonly uses: readonly QuotaUse[];
};

/** What a node may admit of a workspace's calls until it receives another grant. */
export type QuotaGrant = {
	readonly id: number;
	/** Whether `credit` replaces what is left at the node; otherwise only the rate counts. */
	readonly isOpen: boolean;
	/** Epoch and count of admitted calls to which the credit applies. */
	readonly epoch: number;
	readonly admitted: number;
	/** Calls that the node may admit at once, beyond `admitted`. */
	readonly credit: number;
	/** Calls a second by which the credit grows. */
	readonly perSecond: number;
};

/** What a quota server tells a node. */
export type QuotaReply = {
	readonly incarnation: number;
	readonly sequence: number;
	readonly grants: readonly QuotaGrant[];
};

/** A workspace's calls in the sender's data centre. */
export type QuotaDemandEntry = {
	readonly id: number;
	/** Number of this count at the server; the counts of another epoch start at 0. */
	readonly epoch: number;
	/** Calls admitted and not refunded since the epoch began. */
	readonly admitted: number;
	readonly askedPerSecond: number;
	readonly admittedPerSecond: number;
	/** Calls left in the bucket of the whole mesh, as the sender knows it; below 0 if it is overdrawn. */
	readonly level: number;
};

/** What a quota server tells those of the other data centres. */
export type QuotaDemand = {
	readonly incarnation: number;
	readonly sequence: number;
	readonly entries: readonly QuotaDemandEntry[];
};

export type QuotaDatagram =
	| {readonly type: 'quota-report'; readonly report: QuotaReport}
	| {readonly type: 'quota-reply'; readonly reply: QuotaReply}
	| {readonly type: 'quota-demand'; readonly demand: QuotaDemand};

export type QuotaSend = {readonly to: string; readonly datagram: QuotaDatagram};

/** Splits entries so that each part fits in a datagram; one empty part if there are none. */
export function partsOf<Entry>(entries: readonly Entry[]): ReadonlyArray<readonly Entry[]> {
	const parts: Array<readonly Entry[]> = [];
	for (let start = 0; start < Math.max(1, entries.length); start += quotaEntriesPerDatagram) {
		parts.push(entries.slice(start, start + quotaEntriesPerDatagram));
	}

	return parts;
}

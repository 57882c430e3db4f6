/** What a node says of its worker. */
export const workerStates = ['absent', 'starting', 'ready', 'draining'] as const;
export type WorkerState = (typeof workerStates)[number];

/** Membership status. Later ones win over earlier ones of the same incarnation and revision. */
export const memberStatuses = ['live', 'lapsed', 'left'] as const;
export type MemberStatus = (typeof memberStatuses)[number];

/** Worker beside a node. */
export type Worker = {
	readonly service: string;
	/** `ip:port` of the worker's HTTP port. */
	readonly address: string;
	/** Calls that the worker runs at once. */
	readonly slots: number;
	readonly state: WorkerState;
	/** Identity of this life of the worker; absent when it doesn't tell one. */
	readonly instance?: string;
	/** Start of this life in Unix milliseconds; absent when it doesn't tell. */
	readonly startedAt?: number;
};

/**
 * A node as the others know it. The node itself raises `revision` at each change and `incarnation`
 * at each start, so records merge to the same result in any order.
 */
export type NodeRecord = {
	/** `ip:port` of the control port; identifies the node. */
	readonly address: string;
	readonly dataCentre: string;
	readonly incarnation: number;
	readonly revision: number;
	readonly status: MemberStatus;
	/** `ip:port` of the port that takes calls from other nodes. */
	readonly gateAddress: string;
	readonly worker?: Worker;
	/** Capacity of the host's link in Mbit/s; absent when it isn't known. */
	readonly linkMbps?: number;
};

/** Whether `a` replaces `b`. Equal records don't replace each other. */
export function supersedes(a: NodeRecord, b: NodeRecord | undefined): boolean {
	if (b === undefined) {
		return true;
	}

	if (a.incarnation !== b.incarnation) {
		return a.incarnation > b.incarnation;
	}

	if (a.revision !== b.revision) {
		return a.revision > b.revision;
	}

	return memberStatuses.indexOf(a.status) > memberStatuses.indexOf(b.status);
}

/** Whether calls may be sent to the node's worker. */
export function isRoutable(record: NodeRecord): boolean {
	return record.status === 'live' && record.worker?.state === 'ready';
}

/** States of a node's worker, as the node announces them. */
export const workerStates = ['absent', 'starting', 'ready', 'draining'] as const;
export type WorkerState = (typeof workerStates)[number];

/** Membership statuses. Within one incarnation and revision, the later one in this list wins. */
export const memberStatuses = ['live', 'lapsed', 'left'] as const;
export type MemberStatus = (typeof memberStatuses)[number];

/** The worker behind a node's gate. */
export type Worker = {
	readonly service: string;
	/** `ip:port` of the worker's HTTP port. */
	readonly address: string;
	/** Number of calls that the worker runs concurrently. */
	readonly slots: number;
	readonly state: WorkerState;
	/** Identity of the worker instance; absent when the worker does not announce one. */
	readonly instance?: string;
	/** Start of the instance in Unix milliseconds; absent when the worker does not announce it. */
	readonly startedAt?: number;
	/** Version of the worker's software; absent when the worker does not announce one. */
	readonly version?: string;
};

/** A worker instance that has announced its departure. */
export type Departure = {
	readonly instance: string;
	/** Start of the instance in Unix milliseconds; later starts of it haven't left. */
	readonly startedAt: number;
};

/**
 * A node as the others know it. The node itself increases `revision` at each change and `incarnation`
 * at each start, so that records merge to the same result in any order.
 */
export type NodeRecord = {
	/** `ip:port` of the control port; identifies the node. */
	readonly address: string;
	readonly dataCentre: string;
	readonly incarnation: number;
	readonly revision: number;
	readonly status: MemberStatus;
	/** `ip:port` of the port that accepts calls from other nodes. */
	readonly gateAddress: string;
	readonly worker?: Worker;
	/** Capacity of the host's network link in Mbit/s; absent when unknown. */
	readonly linkMbps?: number;
	/**
	 * Departures that were announced to the node, latest last; absent if there are none. For the node's later
	 * processes: the registry keeps them, datagrams don't carry them.
	 */
	readonly departed?: readonly Departure[];
};

/** Returns whether departures include that of this instance, at this start or a later one. */
export function includesDeparture(
	departures: readonly Departure[],
	{instance, startedAt}: Departure,
): boolean {
	return departures.some((each) => each.instance === instance && each.startedAt >= startedAt);
}

/** Returns whether `a` is newer than `b`, so replaces it. Equal records do not replace each other. */
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

/** Returns whether calls may be sent to the node's worker. */
export function isRoutable(record: NodeRecord): boolean {
	return record.status === 'live' && record.worker?.state === 'ready';
}

import {type DirectoryLimits} from './directory-limits.js';

/** Numbers of nodes on which the intervals of heartbeats depend, without the sending node. */
export type NodeCounts = {
	/** Nodes of the sender's data centre. */
	readonly local: number;
	readonly total: number;
};

/** Intervals in milliseconds of heartbeats to nodes of the sender's data centre and to all others. */
export type HeartbeatIntervals = {
	readonly localMs: number;
	readonly remoteMs: number;
};

/**
 * Returns intervals that grow with the number of nodes, which keeps the traffic of a node constant.
 * Nodes of the local data centre, which receive most of the calls, are counted separately.
 */
export function heartbeatIntervals(
	{local, total}: NodeCounts,
	limits: DirectoryLimits,
): HeartbeatIntervals {
	return {localMs: scaledIntervalMs(local, limits), remoteMs: scaledIntervalMs(total, limits)};
}

function scaledIntervalMs(nodes: number, limits: DirectoryLimits): number {
	const scale = Math.max(1, nodes / limits.heartbeatScalingNodes);
	return Math.min(limits.maximumHeartbeatIntervalMs, limits.heartbeatIntervalMs * scale);
}

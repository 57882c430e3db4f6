import {type Backoff} from 'redwingmill-shared';

/** Durations and bounds of the directory. All durations in milliseconds. */
export type DirectoryLimits = {
	/** Interval of pulses in a small mesh. */
	readonly heartbeatIntervalMs: number;
	/** Nodes up to which the interval holds; beyond, it grows with their number. */
	readonly heartbeatScalingNodes: number;
	readonly maximumHeartbeatIntervalMs: number;
	/** Intervals without a word after which a node isn't routed to. */
	readonly lapseHeartbeatIntervals: number;
	/** Interval at which a lapsed node's address is tried. */
	readonly lapsedHeartbeatIntervalMs: number;
	/** Time after which a node that stays silent is forgotten. */
	readonly removalTimeoutMs: number;
	/** Times at which a changed record is told again after the change, as datagrams get lost. */
	readonly reannounceDelaysMs: readonly number[];
	/** Shortest time between two inquiries to one node. */
	readonly inquiryIntervalMs: number;
	/** Interval at which the registry is listed again. */
	readonly relistIntervalMs: number;
	readonly registryBackoff: Backoff;
	/** How long a node that starts waits for the registry before it serves without it. */
	readonly startupRegistryTimeoutMs: number;
	/** Time that a node which watches the store waits for a version of which it has word. */
	readonly configurationRequestDelayMs: number;
	/** Shortest time between two requests to other nodes for the configuration. */
	readonly configurationRequestIntervalMs: number;
	/** Nodes up to which each watches the store itself. */
	readonly smallMeshNodes: number;
	/** Nodes of each data centre that watch the store in a larger mesh. */
	readonly watchersPerDataCentre: number;
	/** Interval at which those tell the nodes of their data centre, and each other, that they do. */
	readonly watcherHeartbeatIntervalMs: number;
	/** Time without such word after which a node watches the store itself. */
	readonly watcherTimeoutMs: number;
	/** Gap between two ticks that shows that this process was paused. */
	readonly pauseThresholdMs: number;
};

export const defaultDirectoryLimits: DirectoryLimits = {
	heartbeatIntervalMs: 500,
	heartbeatScalingNodes: 12,
	maximumHeartbeatIntervalMs: 5000,
	lapseHeartbeatIntervals: 3.2,
	lapsedHeartbeatIntervalMs: 1000,
	removalTimeoutMs: 600_000,
	reannounceDelaysMs: [50, 250],
	inquiryIntervalMs: 200,
	relistIntervalMs: 20_000,
	registryBackoff: {baseMs: 100, ceilingMs: 2000},
	startupRegistryTimeoutMs: 2000,
	configurationRequestDelayMs: 150,
	configurationRequestIntervalMs: 600,
	smallMeshNodes: 16,
	watchersPerDataCentre: 2,
	watcherHeartbeatIntervalMs: 300,
	watcherTimeoutMs: 1000,
	pauseThresholdMs: 1000,
};

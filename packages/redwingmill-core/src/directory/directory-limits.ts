import {type Backoff} from 'redwingmill-shared';

/** Durations and bounds of the directory. All durations are in milliseconds. */
export type DirectoryLimits = {
	/** Interval of heartbeats while no more than `heartbeatScalingNodes` nodes are counted. */
	readonly heartbeatIntervalMs: number;
	/** Number of nodes above which the heartbeat interval grows in proportion to their number. */
	readonly heartbeatScalingNodes: number;
	readonly maximumHeartbeatIntervalMs: number;
	/** Heartbeat intervals without a datagram after which a node is not routed to any more. */
	readonly lapseHeartbeatIntervals: number;
	/** Interval of heartbeats to a node that has lapsed. */
	readonly lapsedHeartbeatIntervalMs: number;
	/** Time for which a node that has left is still contacted, in case it starts again. */
	readonly departureContactMs: number;
	/** Time after which a lapsed node is removed. */
	readonly removalTimeoutMs: number;
	/** Delays after a change at which the record is announced again, because datagrams get lost. */
	readonly reannounceDelaysMs: readonly number[];
	/** Shortest time between two inquiries to one node. */
	readonly inquiryIntervalMs: number;
	/** Mean interval at which the registry is listed again; each one varies by up to half of it. */
	readonly relistIntervalMs: number;
	readonly registryBackoff: Backoff;
	/** Time for each node, and at most, over which all write again what the store has lost. */
	readonly rewriteSpreadMsPerNode: number;
	readonly rewriteSpreadMs: number;
	/** How long a starting node waits for the registry before it serves without it. */
	readonly startupRegistryTimeoutMs: number;
	/** How long a node that watches the store waits for an announced version before it requests it. */
	readonly configurationRequestDelayMs: number;
	/** Shortest time between two requests for a configuration to other nodes. */
	readonly configurationRequestIntervalMs: number;
	/** Longest duration of a poll of the store for changes of the configuration. */
	readonly longPollMs: number;
	/** Longest time between the ends of two polls of the mesh, unless a watching node fails. */
	readonly longPollGapMs: number;
	/** Time for which a poll may be behind another node's version before it is abandoned. */
	readonly pollOvertakenMs: number;
	/** Shortest time between two polls that are abandoned for that. */
	readonly pollRenewalIntervalMs: number;
	/** How long a starting node waits for a configuration of other nodes before it reads the store. */
	readonly firstReadDelayMs: number;
	/** Largest number of nodes in a mesh in which every node watches the store. */
	readonly smallMeshNodes: number;
	/**
	 * Number of nodes in each data centre that watch the store in a larger mesh. The others of them learn
	 * of a change at the same time, so one is enough.
	 */
	readonly storeWatchersPerDataCentre: number;
	/** Number of nodes in each data centre that send digests in a larger mesh. */
	readonly watchersPerDataCentre: number;
	/** Nodes of a data centre above which the intervals of digests grow in proportion to their number. */
	readonly digestScalingNodes: number;
	/** Nodes of the mesh above which the interval of relayed statuses grows in proportion to their number. */
	readonly relayedScalingNodes: number;
	/** Interval of digests from a watcher to the nodes of its data centre. */
	readonly digestIntervalMs: number;
	/** Interval of summaries from a watcher to the watchers of other data centres. */
	readonly summaryIntervalMs: number;
	/** Interval at which a summary to other data centres has the nodes' statuses and loads. */
	readonly statusIntervalMs: number;
	/** Interval at which a digest has the statuses of other data centres' nodes. */
	readonly relayedStatusIntervalMs: number;
	/** Shortest time between two requests for statuses of one data centre, or for records. */
	readonly digestRequestIntervalMs: number;
	/** Time without a sign of life, beyond an interval of digests, after which a node is inquired. */
	readonly inquiryAfterMs: number;
	/** Time for which an inquired node may stay silent before it lapses. */
	readonly inquiryTimeoutMs: number;
	/** Largest number of silent nodes that are inquired at once. */
	readonly inquiriesAtOnce: number;
	/** Delays at which a watcher passes on a changed record of another data centre. */
	readonly spreadDelaysMs: readonly number[];
	/** Interval of looking for silent nodes, and of contacting one of those that have lapsed. */
	readonly silenceCheckIntervalMs: number;
	/** Interval of heartbeats from a larger mesh's watchers to their data centre and to each other. */
	readonly watcherHeartbeatIntervalMs: number;
	/** Time without a watcher's heartbeat after which a node watches the store itself. */
	readonly watcherTimeoutMs: number;
	/** Intervals of digests for which that time lasts at least. */
	readonly watcherTimeoutDigests: number;
	/** Shortest time between two transfers of crash reports to nodes that lack some. */
	readonly crashReportIntervalMs: number;
	/** Mean number of nodes that send crash reports to one that lacks some, at each heartbeat. */
	readonly crashReportSenders: number;
	/** Interval at which the stage of a rollout is announced again while it runs. */
	readonly rolloutAnnouncementIntervalMs: number;
	/** Time for which a final stage, or the removal of an order, is announced again. */
	readonly rolloutFinalAnnouncementMs: number;
	/** Shortest time without a report after which a node counts as cut off from the store. */
	readonly rolloutDeciderTimeoutMs: number;
	/** Interval at which evidence is sent whole, as datagrams get lost. */
	readonly rolloutEvidenceRepeatMs: number;
	/** Gap between two ticks from which on this process counts as paused. */
	readonly pauseThresholdMs: number;
};

export const defaultDirectoryLimits: DirectoryLimits = {
	heartbeatIntervalMs: 500,
	heartbeatScalingNodes: 12,
	maximumHeartbeatIntervalMs: 5000,
	lapseHeartbeatIntervals: 3.2,
	lapsedHeartbeatIntervalMs: 1000,
	departureContactMs: 60_000,
	removalTimeoutMs: 600_000,
	reannounceDelaysMs: [50, 250],
	inquiryIntervalMs: 200,
	relistIntervalMs: 20_000,
	registryBackoff: {baseMs: 100, ceilingMs: 2000},
	rewriteSpreadMsPerNode: 0.7,
	rewriteSpreadMs: 1000,
	startupRegistryTimeoutMs: 2000,
	configurationRequestDelayMs: 150,
	configurationRequestIntervalMs: 600,
	longPollMs: 4000,
	longPollGapMs: 1000,
	pollOvertakenMs: 400,
	pollRenewalIntervalMs: 2000,
	firstReadDelayMs: 800,
	smallMeshNodes: 16,
	storeWatchersPerDataCentre: 1,
	watchersPerDataCentre: 2,
	digestScalingNodes: 40,
	relayedScalingNodes: 200,
	digestIntervalMs: 400,
	summaryIntervalMs: 500,
	statusIntervalMs: 2000,
	relayedStatusIntervalMs: 4000,
	digestRequestIntervalMs: 400,
	inquiryAfterMs: 700,
	inquiryTimeoutMs: 700,
	inquiriesAtOnce: 16,
	spreadDelaysMs: [0, 250, 700],
	silenceCheckIntervalMs: 200,
	watcherHeartbeatIntervalMs: 300,
	watcherTimeoutMs: 1000,
	watcherTimeoutDigests: 2.5,
	crashReportIntervalMs: 250,
	crashReportSenders: 8,
	rolloutAnnouncementIntervalMs: 500,
	rolloutFinalAnnouncementMs: 10_000,
	rolloutDeciderTimeoutMs: 2000,
	rolloutEvidenceRepeatMs: 1000,
	pauseThresholdMs: 1000,
};

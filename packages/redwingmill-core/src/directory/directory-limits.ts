import {type Backoff} from 'redwingmill-shared';

/** Durations and bounds of the directory. All durations in milliseconds. */
export type DirectoryLimits = {
	/** Interval of pulses in a small mesh. */
	readonly pulseIntervalMs: number;
	/** Nodes up to which the interval holds; beyond, it grows with their number. */
	readonly pulseNodes: number;
	readonly longestPulseIntervalMs: number;
	/** Intervals without a word after which a node isn't routed to. */
	readonly pulsesToLapse: number;
	/** Interval at which a lapsed node's address is tried. */
	readonly lapsedPulseIntervalMs: number;
	/** Time after which a node that stays silent is forgotten. */
	readonly forgetMs: number;
	/** Times at which a changed record is told again after the change, as datagrams get lost. */
	readonly repeatDelaysMs: readonly number[];
	/** Shortest time between two inquiries to one node. */
	readonly inquiryIntervalMs: number;
	/** Interval at which the registry is listed again. */
	readonly relistIntervalMs: number;
	readonly registryBackoff: Backoff;
	/** How long a node that starts waits for the registry before it serves without it. */
	readonly registryPatienceMs: number;
	/** Time that a node which watches the store waits for a version of which it has word. */
	readonly askDelayMs: number;
	/** Shortest time between two requests to other nodes for the configuration. */
	readonly askIntervalMs: number;
	/** Nodes up to which each watches the store itself. */
	readonly watchingNodes: number;
	/** Nodes of each data centre that watch the store in a larger mesh. */
	readonly watchersPerDataCentre: number;
	/** Interval at which those tell the nodes of their data centre, and each other, that they do. */
	readonly watcherPulseIntervalMs: number;
	/** Time without such word after which a node watches the store itself. */
	readonly watcherPatienceMs: number;
	/** Gap between two ticks that shows that this process was paused. */
	readonly pauseMs: number;
};

export const defaultDirectoryLimits: DirectoryLimits = {
	pulseIntervalMs: 500,
	pulseNodes: 12,
	longestPulseIntervalMs: 5000,
	pulsesToLapse: 3.2,
	lapsedPulseIntervalMs: 1000,
	forgetMs: 600_000,
	repeatDelaysMs: [50, 250],
	inquiryIntervalMs: 200,
	relistIntervalMs: 20_000,
	registryBackoff: {baseMs: 100, ceilingMs: 2000},
	registryPatienceMs: 2000,
	askDelayMs: 150,
	askIntervalMs: 600,
	watchingNodes: 16,
	watchersPerDataCentre: 2,
	watcherPulseIntervalMs: 300,
	watcherPatienceMs: 1000,
	pauseMs: 1000,
};

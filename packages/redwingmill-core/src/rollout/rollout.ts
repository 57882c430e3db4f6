/** An operator's order to move a service's calls to workers of another version. */
export type RolloutOrder = {
	readonly service: string;
	readonly targetVersion: string;
	/** Time in which the rollout should be completed, from the order on; 0 if the order's is invalid. */
	readonly durationMs: number;
	/** Identifies the order: era of the store, and the revision at which the order was created. */
	readonly era: number;
	readonly revision: number;
};

/** States of a rollout. Only `running` is followed by another one. */
export const rolloutStates = {
	running: 'running',
	completed: 'completed',
	rolledBack: 'rolled-back',
} as const;
export type RolloutState = (typeof rolloutStates)[keyof typeof rolloutStates];

/** What a rollout's decider announces, and what each node holds of it. */
export type RolloutStage = {
	readonly order: RolloutOrder;
	readonly state: RolloutState;
	/** Share of the service's calls for the target version, from 0 to 1. */
	readonly share: number;
	/** Milliseconds since the order began, when the stage was announced. */
	readonly elapsedMs: number;
	/** Control address of the node that decided. */
	readonly decider: string;
	/** Grows with each stage that the decider announces for the order. */
	readonly sequence: number;
	/** Why the stage is in force, in one line for operators. */
	readonly reason: string;
};

/** Runs of a worker on one route, counted by its gate since the order. All figures only grow. */
export type RouteRuns = {
	/** Path of the route. */
	readonly group: string;
	/** Runs that ended for no cause outside of the worker. */
	readonly runs: number;
	/** Of these, runs that failed. */
	readonly failures: number;
	/** Sum over the successful runs of the natural logarithm of the run time in milliseconds. */
	readonly logSum: number;
	/** Sum of the squares of these logarithms. */
	readonly logSquareSum: number;
};

/** What a gate reports of its worker during a rollout of the worker's service. */
export type WorkerEvidence = {
	/** Control address and incarnation of the gate's node. */
	readonly node: string;
	readonly incarnation: number;
	/** Identity of the worker process. */
	readonly worker: string;
	readonly service: string;
	readonly version: string;
	/** Calls that the worker runs or that wait for it. */
	readonly inProgress: number;
	/** Calls dispatched to the worker since the order. */
	readonly dispatched: number;
	readonly routes: readonly RouteRuns[];
};

/** Bounds on the calls that a bad version may get. */
export type RolloutBounds = {
	/** Part of all calls of the service between the order and its deadline, from 0 to 1. */
	readonly exposureShare: number;
	/** Calls besides. */
	readonly exposureSlack: number;
	/** Time after the version's 50th bad answer in which it has to be rolled back. */
	readonly rollbackMs: number;
};

/** Decision of {@link RolloutDecider}. */
export type RolloutDecision = {
	readonly state: RolloutState;
	/** Share of the service's calls for the target version, from 0 to 1. */
	readonly share: number;
	/** Why, with the figures that decided, in one line for operators. */
	readonly reason: string;
};

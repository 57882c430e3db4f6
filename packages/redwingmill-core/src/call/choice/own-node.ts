import {type WorkerLoad} from '../worker-load.js';

/** The node that chooses, and the load of its own worker at the moment. */
export type OwnNode = {
	/** Control address of the node. */
	readonly node: string;
	readonly load: () => WorkerLoad;
};

/** What decides whether a call runs at the node at which it arrived. */
export type OwnNodeInputs = {
	/** Load of the own worker now. */
	readonly load: WorkerLoad;
	/** Run time of the own worker relative to the mean of its service. */
	readonly relativeRunTime: number;
	/** Mean failure share of the service's other workers: what they have in common has another cause. */
	readonly commonFailureShare: number;
	/** Expected run time of the call at a worker of mean speed, in milliseconds. */
	readonly groupRunMs: number;
	/** Time until the latency target in milliseconds; infinite when only the deadline counts. */
	readonly leftMs: number;
};

/** Relative run time from which a worker counts as slow: others would answer notably earlier. */
const slowRunTime = 1.25;
/** Failure share beyond the common one from which calls go elsewhere. */
const tolerableFailureShare = 0.05;
/** Share of the time to the target that the run may take. */
const runShare = 0.8;

/**
 * Whether the own worker should run a call. There is no second exchange then, which takes about half of the
 * processor time of a call, and the load of the own worker is known as it is now, other than that of the others.
 */
export function mayRunAtOwnNode(inputs: OwnNodeInputs): boolean {
	const {load, relativeRunTime, commonFailureShare, groupRunMs, leftMs} = inputs;
	const {callsPerSlot, waitMs, failureShare, allowance} = load;
	return (
		callsPerSlot < 1 &&
		waitMs === 0 &&
		allowance === undefined &&
		relativeRunTime < slowRunTime &&
		failureShare - commonFailureShare < tolerableFailureShare &&
		groupRunMs * relativeRunTime <= leftMs * runShare
	);
}

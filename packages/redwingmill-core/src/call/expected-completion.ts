import {type WorkerLoad} from './worker-load.js';

/** State of an endpoint by which an entry node estimates its time to an answer. */
export type CompletionState = {
	/** Load that the gate last reported. */
	readonly load?: WorkerLoad;
	/** Time of that report in monotonic milliseconds. */
	readonly loadAt: number;
	/** Calls that this node has sent there since that report. */
	readonly sentSinceReport: number;
	/** Moving average of the share of attempts that failed through the endpoint's own fault. */
	readonly failureShare: number;
};

/** Properties of the endpoint and the call that enter the estimate. */
export type CompletionInputs = {
	readonly slots: number;
	/** Calls of this node that are in progress there. */
	readonly inFlight: number;
	/** Whether the endpoint is in the entry node's data centre. */
	readonly isLocal: boolean;
	/** See {@link excessFailureShareOf}. */
	readonly excessFailureShare: number;
	/** Expected run time of the call at the worker in milliseconds. */
	readonly runMs: number;
	/** Current time in monotonic milliseconds. */
	readonly now: number;
};

/** Failure shares that the endpoints of a service have in common. */
export type ServiceFailureShares = {
	/** Sum of the shares of the workers' runs that failed, as gates reported. */
	readonly reportedSum: number;
	readonly endpointCount: number;
	/** Share of this node's attempts that failed through an endpoint's fault. */
	readonly observed: number;
};

/** Initial state of an endpoint. */
export const initialCompletion: CompletionState = {loadAt: 0, sentSinceReport: 0, failureShare: 0};

/** Round trip to another data centre of the region, plus a penalty for the bytes on the link. */
export const remoteCostMs = 10;
/** Cost of a failed attempt: another one, at a worker that isn't informed of the call's urgency. */
export const failureCostMs = 400;
/** Share of the elapsed time by which a reported queue shrinks; new calls make up for the rest. */
const processedShare = 0.3;
/** Share by which calls run longer at a worker whose slots are all taken than at an idle one. */
const fullLoadSlowdown = 0.3;
/** Standard deviation of a moving average over some twenty attempts, relative to that of one attempt. */
const averageDeviation = 0.23;
const likelyDeviations = 2;
const msPerSecond = 1000;

/**
 * Returns the expected time in milliseconds until an endpoint answers: the queue that its gate
 * reported, less what was processed since, plus the calls that this node has added, the run itself,
 * the distance and the risk of a failure.
 */
export function expectedCompletionMs(state: CompletionState, inputs: CompletionInputs): number {
	const {load, loadAt, sentSinceReport} = state;
	const {slots, inFlight, isLocal, runMs, now, excessFailureShare} = inputs;
	const processedMs = (now - loadAt) * processedShare;
	const queueMs = Math.max(0, (load?.waitMs ?? 0) - processedMs);
	const busyShare = Math.max(inFlight / slots, (load?.callsPerSlot ?? 0) + sentSinceReport / slots);
	const addedMs = busyShare > 1 ? (sentSinceReport * runMs) / slots : 0;
	const loadedRunMs = runMs * (1 + fullLoadSlowdown * Math.min(1, busyShare));
	const distanceMs = isLocal ? 0 : remoteCostMs;
	const failureMs = excessFailureShare * failureCostMs;
	const waitMs = Math.max(queueMs + addedMs, limitedWaitMs(state, now));
	return waitMs + loadedRunMs + distanceMs + failureMs;
}

/** Returns by how much more often an endpoint fails than its service: in what its gate reported, and for this node. */
export function excessFailureShareOf(
	{failureShare, load}: CompletionState,
	shares: ServiceFailureShares,
): number {
	const reported = load?.failureShare ?? 0;
	return (
		excessOf(reported, othersFailureShare(reported, shares)) +
		excessOf(failureShare, shares.observed)
	);
}

/** Returns the mean failure share that gates reported of the other workers of a service. */
export function othersFailureShare(
	reported: number,
	{reportedSum, endpointCount}: ServiceFailureShares,
): number {
	return endpointCount < 2 ? reported : Math.max(0, reportedSum - reported) / (endpointCount - 1);
}

/** Returns the part of a share that is more than an endpoint like the others is likely to have by chance. */
function excessOf(share: number, common: number): number {
	const deviation = averageDeviation * Math.sqrt(common * (1 - common));
	return Math.max(0, share - common - likelyDeviations * deviation);
}

/** Returns the time until the worker's limit allows a new call, with those that this node has added. */
export function limitedWaitMs(
	{load, loadAt, sentSinceReport}: CompletionState,
	now: number,
): number {
	if (load?.allowance === undefined) {
		return 0;
	}

	const {perSecond, waitMs} = load.allowance;
	const addedMs = (sentSinceReport / perSecond) * msPerSecond;
	return Math.max(0, waitMs - (now - loadAt) + addedMs);
}

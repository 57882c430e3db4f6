import {type WorkerLoad} from './worker-load.js';

/** What an entry node knows of an endpoint's speed and queue. */
export type CompletionState = {
	/** Load as the gate last told it. */
	readonly load?: WorkerLoad;
	/** Monotonic milliseconds at which it was told. */
	readonly loadAt: number;
	/** Calls sent there since. */
	readonly sentSinceReport: number;
	/** Moving share of attempts that failed through the endpoint's own fault. */
	readonly failureShare: number;
};

/** What else the expectation rests on. */
export type CompletionInputs = {
	readonly slots: number;
	/** Own calls that are under way there. */
	readonly inFlight: number;
	/** Whether the endpoint is in the own data centre. */
	readonly isLocal: boolean;
	/** Share of the worker's runs that failed, beyond that of the service's soundest worker. */
	readonly excessFailureShare: number;
	/** Expected time that the worker runs the call, in milliseconds. */
	readonly runMs: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

/** State of an endpoint that nothing is known of. */
export const initialCompletion: CompletionState = {loadAt: 0, sentSinceReport: 0, failureShare: 0};

/** Round trip to another data centre of the region, plus what its bytes are worth waiting for. */
const remoteCostMs = 10;
/** A failed attempt costs the caller another one, at a worker that is told nothing of its haste. */
const failureCostMs = 400;
/** Part of the time that has passed by which a queue is shorter: new calls have come to it. */
const processedShare = 0.3;
/** How much a worker whose slots are all taken is slower than an idle one. */
const fullLoadSlowdown = 0.3;

/**
 * Expected time until an endpoint answers, in milliseconds: the queue that its gate told, less what
 * it has worked off since, plus what this node has added, plus the run itself.
 */
export function expectedCompletionMs(state: CompletionState, inputs: CompletionInputs): number {
	const {load, loadAt, sentSinceReport: sent, failureShare} = state;
	const {slots, inFlight, isLocal, runMs, now, excessFailureShare} = inputs;
	const workedOffMs = (now - loadAt) * processedShare;
	const queueMs = Math.max(0, (load?.waitMs ?? 0) - workedOffMs);
	const busyShare = Math.max(inFlight / slots, (load?.callsPerSlot ?? 0) + sent / slots);
	const addedMs = busyShare > 1 ? (sent * runMs) / slots : 0;
	const slowedMs = runMs * (1 + fullLoadSlowdown * Math.min(1, busyShare));
	const distanceMs = isLocal ? 0 : remoteCostMs;
	const failureMs = (failureShare + excessFailureShare) * failureCostMs;
	return queueMs + addedMs + slowedMs + distanceMs + failureMs;
}

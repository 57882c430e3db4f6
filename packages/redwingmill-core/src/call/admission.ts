import {type NotRunReason} from './outcome.js';

/** Properties of a call and of the queue ahead of it, in milliseconds; points in time are monotonic. */
export type AdmissionInputs = {
	readonly now: number;
	/** Time at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Latency target of the call; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Expected time until a slot is free for the call; 0 when one is free now. */
	readonly waitMs: number;
	/** Expected run time of the call at the worker. */
	readonly runMs: number;
	/** Time by which calls that wait may be done later than expected. */
	readonly marginMs: number;
};

/** Decision on whether a call may wait for the worker. */
export type AdmissionDecision =
	| {readonly type: 'admitted'}
	| {
			readonly type: 'refused';
			readonly reason: NotRunReason;
			/** Time in milliseconds after which the queue is expected to be short enough. */
			readonly retryAfterMs: number;
	  };

/** Share of its expected run time that a call must have left before its deadline to get a slot. */
const minimumRunShare = 0.5;
/** Wait that is allowed regardless of the target; keeps slots busy between two calls. */
const lateWaitMs = 80;
const admitted: AdmissionDecision = {type: 'admitted'};

/**
 * Decides whether to admit a call, and refuses one that can't be answered in time. A queue longer
 * than the target makes every call late, so the call should be retried at another worker or later.
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
	const {now, deadlineAt, targetAt, waitMs, runMs, marginMs} = inputs;
	if (waitMs === 0) {
		return now + runMs * minimumRunShare > deadlineAt ? refuseTooClose(inputs) : admitted;
	}

	const endAt = now + waitMs + runMs;
	if (endAt > deadlineAt) {
		return refuseTooClose(inputs);
	}

	// A call that misses its target anyway may still wait briefly: a retry would end even later.
	const dueAt = (targetAt ?? deadlineAt) - marginMs;
	const latestEndAt = Math.max(dueAt, now + runMs + lateWaitMs);
	return targetAt !== undefined && endAt > latestEndAt
		? {type: 'refused', reason: 'queue-too-slow', retryAfterMs: endAt - latestEndAt}
		: admitted;
}

/** Whether a call can't meet its target even if it is dispatched at once. */
export function isLate({
	now,
	targetAt,
	runMs,
}: Pick<AdmissionInputs, 'now' | 'targetAt' | 'runMs'>): boolean {
	return targetAt !== undefined && now + runMs * minimumRunShare > targetAt;
}

function refuseTooClose({waitMs}: AdmissionInputs): AdmissionDecision {
	return {type: 'refused', reason: 'deadline-too-close', retryAfterMs: waitMs};
}

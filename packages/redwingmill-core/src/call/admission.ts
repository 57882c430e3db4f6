import {type NotRunReason} from './outcome.js';

/** What admission knows of a call and of the queue in front of it. All times in milliseconds. */
export type AdmissionInputs = {
	readonly now: number;
	/** Time at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Time by which an answer is worth most; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Expected time until a slot is free for the call; 0 when one is free now. */
	readonly waitMs: number;
	/** Expected time that the worker runs it. */
	readonly runMs: number;
};

/** Whether a call may wait for the worker. */
export type AdmissionDecision =
	| {readonly type: 'admitted'}
	| {
			readonly type: 'refused';
			readonly reason: NotRunReason;
			/** Time after which the queue will be short enough. */
			readonly retryAfterMs: number;
	  };

/** Part of its usual run time that a call must have left for a free slot to be worth giving. */
const minimumRunShare = 0.5;
/** How long a call may wait whatever its target is; keeps slots busy between two calls. */
const lateWaitMs = 80;
const admitted: AdmissionDecision = {type: 'admitted'};

/**
 * Refuses calls at once that can't be answered in time. A queue that is longer than the target
 * makes every call late, so a call that would wait beyond it is better off elsewhere or later.
 */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
	const {now, deadlineAt, targetAt, waitMs, runMs} = inputs;
	if (waitMs === 0) {
		return now + runMs * minimumRunShare > deadlineAt ? refuseTooClose(inputs) : admitted;
	}

	const doneAt = now + waitMs + runMs;
	if (doneAt > deadlineAt) {
		return refuseTooClose(inputs);
	}

	// A call that can't be in time is worth a short wait all the same: refused, it would be later still.
	const latestAt = Math.max(targetAt ?? deadlineAt, now + runMs + lateWaitMs);
	return targetAt !== undefined && doneAt > latestAt
		? {type: 'refused', reason: 'queue-too-slow', retryAfterMs: doneAt - latestAt}
		: admitted;
}

/** Whether a call can't be answered by its target even if it runs at once. */
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

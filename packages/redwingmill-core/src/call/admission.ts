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
export type AdmissionVerdict =
	| {readonly type: 'admitted'}
	| {
			readonly type: 'refused';
			readonly reason: NotRunReason;
			/** Time after which the queue will be short enough. */
			readonly retryAfterMs: number;
	  };

/** Part of its usual run time that a call must have left for a free slot to be worth giving. */
const leastRunShare = 0.5;
const admitted: AdmissionVerdict = {type: 'admitted'};

/**
 * Refuses calls at once that can't be answered in time. A queue that is longer than the target
 * makes every call late, so a call that would wait beyond it is better off elsewhere or later.
 */
export function judgeAdmission(inputs: AdmissionInputs): AdmissionVerdict {
	const {now, deadlineAt, targetAt, waitMs, runMs} = inputs;
	if (waitMs === 0) {
		return now + runMs * leastRunShare > deadlineAt ? tooClose(inputs) : admitted;
	}

	const doneAt = now + waitMs + runMs;
	if (doneAt > deadlineAt) {
		return tooClose(inputs);
	}

	return targetAt !== undefined && doneAt > targetAt
		? {type: 'refused', reason: 'queue-too-slow', retryAfterMs: doneAt - targetAt}
		: admitted;
}

function tooClose({waitMs}: AdmissionInputs): AdmissionVerdict {
	return {type: 'refused', reason: 'deadline-too-close', retryAfterMs: waitMs};
}

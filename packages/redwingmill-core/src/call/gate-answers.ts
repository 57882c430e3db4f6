import {type BulkForecast} from './bulk-forecast.js';
import {type CallDeduplicator} from './call-deduplicator.js';
import {type Answer} from './call-ledger.js';
import {type CrashTracker} from './crash-tracker.js';
import {type Dispatcher, type RunningCall} from './dispatcher.js';
import {type FailureMeter} from './failure-meter.js';
import {type GateAdmission} from './gate-admission.js';
import {type GateCall, type GateEffect, type WorkerResult} from './gate-call.js';
import {isTransient, type NotRunReason, type UnknownReason} from './outcome.js';
import {type RunTimes} from './run-times.js';

const minimumRetryAfterMs = 200;

/** Parts of a gate that learn from the end of a call. */
export type AnswerParts<Payload> = {
	readonly admission: GateAdmission;
	readonly crashes: CrashTracker;
	readonly deduplicator: CallDeduplicator<Payload>;
	readonly dispatcher: Dispatcher;
	readonly failures: FailureMeter;
	readonly runTimes: RunTimes;
	readonly bulk: BulkForecast;
};

/** Answers calls: turns a worker's results and refusals into outcomes, and retains them. */
export class GateAnswers<Payload> {
	readonly #parts: AnswerParts<Payload>;
	/** When the worker last answered or ended a call. */
	#answeredAt = Number.NEGATIVE_INFINITY;

	constructor(parts: AnswerParts<Payload>) {
		this.#parts = parts;
	}

	/** Handles the result of a call that was running. */
	onResult(
		running: RunningCall,
		result: WorkerResult<Payload>,
		now: number,
	): Array<GateEffect<Payload>> {
		const {crashes, dispatcher, failures} = this.#parts;
		const {call, startedAt} = running;
		if (result.type !== 'timed-out' && result.type !== 'aborted') {
			dispatcher.onProgress(now);
			this.#answeredAt = now;
		}

		switch (result.type) {
			case 'answered': {
				return this.#onAnswered(running, result, now);
			}

			case 'shed': {
				dispatcher.onShed(running, now);
				return [this.refuse(call, 'worker-shed', now)];
			}

			case 'misdirected': {
				return [this.refuse(call, 'worker-replaced', now), {type: 'worker-gone'}];
			}

			case 'unreachable': {
				return [this.refuse(call, 'worker-unreachable', now), {type: 'worker-gone'}];
			}

			case 'died': {
				return [
					...crashes.onCrash(call, now),
					this.#settleUnknown(call, 'worker-died', now),
					{type: 'worker-gone'},
				];
			}

			case 'lost': {
				failures.record(true, now);
				return [this.#settleUnknown(call, 'answer-lost', now)];
			}

			case 'timed-out': {
				const answer = this.#settleUnknown(call, 'worker-timeout', now);
				// The host of a crashed worker may leave its connections open.
				return this.#answeredAt < startedAt ? [answer, {type: 'check-worker', call}] : [answer];
			}

			case 'aborted': {
				return [this.#settleUnknown(call, 'cancelled', now)];
			}

			case 'too-large': {
				return [this.#settleUnknown(call, 'answer-too-large', now)];
			}
		}
	}

	/**
	 * Refuses a call that hasn't run.
	 *
	 * @param retryAfterMs - by default the expected wait; it counts only if the reason is transient.
	 */
	refuse(
		call: GateCall,
		reason: NotRunReason,
		now: number,
		retryAfterMs = this.#parts.admission.retryAfterMs(call, reason, now),
	): GateEffect<Payload> {
		const {deduplicator} = this.#parts;
		const answer: Answer<Payload> = {
			outcome: {type: 'not-run', reason},
			retryAfterMs: isTransient(reason) ? Math.max(minimumRetryAfterMs, retryAfterMs) : undefined,
		};
		deduplicator.recordRefusal(call, answer, now);
		return {type: 'answer', key: deduplicator.keyOf(call), answer};
	}

	#onAnswered(
		running: RunningCall,
		result: Extract<WorkerResult<Payload>, {type: 'answered'}>,
		now: number,
	): Array<GateEffect<Payload>> {
		const {admission, bulk, crashes, dispatcher, failures, runTimes} = this.#parts;
		const {call, startedAt, started} = running;
		const {payload, bytes, isFailure, isExpired = false} = result;
		const ranMs = isFailure ? undefined : now - startedAt;
		dispatcher.onAccepted(running);
		admission.onAnswered(call, now);
		failures.record(isFailure, now);
		if (ranMs !== undefined) {
			runTimes.record(call.group, started, now);
			bulk.onAnswered(call, bytes);
		}

		return [
			...(isFailure || isExpired ? [] : crashes.onSuccess(call, now)),
			this.#settle(call, {outcome: {type: 'ran'}, payload, ranMs}, bytes, now),
		];
	}

	#settleUnknown(call: GateCall, reason: UnknownReason, now: number): GateEffect<Payload> {
		return this.#settle(call, {outcome: {type: 'unknown', reason}}, 0, now);
	}

	#settle(
		call: GateCall,
		answer: Answer<Payload>,
		bytes: number,
		now: number,
	): GateEffect<Payload> {
		const {deduplicator} = this.#parts;
		deduplicator.recordAnswer(call, answer, bytes, now);
		return {type: 'answer', key: deduplicator.keyOf(call), answer};
	}
}

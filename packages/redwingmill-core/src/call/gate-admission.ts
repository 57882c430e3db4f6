import {type Worker} from '../model/node-record.js';
import {type BulkForecast} from './bulk-forecast.js';
import {decideAdmission, isLate, type AdmissionDecision} from './admission.js';
import {type CrashTracker} from './crash-tracker.js';
import {type Dispatcher} from './dispatcher.js';
import {ForecastErrors} from './forecast-errors.js';
import {type GateCall} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {type NotRunReason} from './outcome.js';
import {type RunTimes} from './run-times.js';

/** Longest wait, besides its own run time, of a call that can no longer meet its target. */
const maximumLateWaitMs = 160;
/** Share of its expected run time that a waiting call must have left before its deadline. */
const minimumRunShare = 0.5;
/**
 * Added to the due time of a call that can no longer meet its target. Such calls of a rank thus follow
 * all others, in the order of their targets.
 */
const lateCallOffsetMs = 1e6;

/** Parts of a gate by which it decides on new calls. */
export type AdmissionParts = {
	readonly limits: GateLimits;
	readonly crashes: CrashTracker;
	readonly dispatcher: Dispatcher;
	readonly runTimes: RunTimes;
	readonly bulk: BulkForecast;
};

/** Decides whether a call may wait for the worker, and for how long. */
export class GateAdmission {
	readonly #parts: AdmissionParts;
	readonly #errors = new ForecastErrors();
	/** When calls that had to wait are expected to be done. */
	readonly #expectedEnds = new WeakMap<GateCall, number>();

	constructor(parts: AdmissionParts) {
		this.#parts = parts;
	}

	/** Returns why a call can't be run here at all; undefined if it can. */
	refusalOf(
		call: GateCall,
		worker: Worker | undefined,
		acceptsCalls: boolean,
		now: number,
	): NotRunReason | undefined {
		const {crashes, dispatcher} = this.#parts;
		const isForWorker = worker?.service === call.service;
		if (worker === undefined || worker.state === 'absent' || !isForWorker) {
			return 'worker-absent';
		}

		if (!acceptsCalls) {
			return 'draining';
		}

		if (call.deadlineAt <= now) {
			return 'deadline-passed';
		}

		if (crashes.suspicionOf(call, now) === 'quarantined') {
			return 'quarantined';
		}

		return dispatcher.isStalled(now) && !dispatcher.canProbe(now) ? 'worker-stalled' : undefined;
	}

	/** Decides by the expected wait whether a call is worth queueing. */
	decide(call: GateCall, now: number): AdmissionDecision {
		const {limits, dispatcher, runTimes, bulk} = this.#parts;
		const dueAt = this.dueAtOf(call, now);
		const limitWaitMs = dispatcher.limitWaitMs(call, dueAt, now);
		if (!limits.isLimiting && limitWaitMs === 0) {
			return {type: 'admitted'};
		}

		const {deadlineAt, targetAt, group} = call;
		const slotWaitMs = dispatcher.expectedWaitMs(call, dueAt, now);
		const workerMs = runTimes.expectedAt(group, now);
		// The response waits for the link after the run, unless the link is free before.
		const waitMs = Math.max(slotWaitMs, this.linkWaitMs(call, now) - workerMs);
		const runMs = workerMs + bulk.transferMs(call);
		const {marginMs} = this.#errors;
		const decision = decideAdmission({now, deadlineAt, targetAt, waitMs, runMs, marginMs});
		if (decision.type === 'admitted') {
			if (waitMs > 0) {
				this.#expectedEnds.set(call, now + waitMs + runMs);
			}

			return decision;
		}

		const isLimited = limitWaitMs > 0 && limitWaitMs === waitMs;
		return {
			...decision,
			...(isLimited && {reason: 'worker-limited'}),
			...(this.#usesForecast(call) && {retryAfterMs: this.#forecastMs(call, now)}),
		};
	}

	/** Learns from the time at which the worker has answered a call. */
	onAnswered(call: GateCall, now: number): void {
		const expectedAt = this.#expectedEnds.get(call);
		if (expectedAt !== undefined) {
			this.#errors.record(now - expectedAt);
		}
	}

	/** Begins anew with another worker process. */
	reset(): void {
		this.#errors.reset();
	}

	/** Returns the sort key within a rank: calls that can still meet their target come first. */
	dueAtOf({targetAt, deadlineAt, group}: GateCall, now: number): number {
		if (targetAt === undefined) {
			return deadlineAt;
		}

		const runMs = this.#parts.runTimes.expectedAt(group, now);
		return isLate({now, targetAt, runMs}) ? targetAt + lateCallOffsetMs : targetAt;
	}

	/**
	 * Whether a waiting call can't be answered before its deadline, or has been overtaken by others
	 * for so long that its caller is better off retrying.
	 */
	hasWaitedTooLong(call: GateCall, admittedAt: number, now: number): boolean {
		const {deadlineAt, targetAt, group} = call;
		const runMs = this.#parts.runTimes.expectedAt(group, now);
		const earliestEndAt = now + runMs * minimumRunShare;
		const latestEndAt = Math.max(targetAt ?? deadlineAt, admittedAt + maximumLateWaitMs + runMs);
		return earliestEndAt >= deadlineAt || earliestEndAt > latestEndAt;
	}

	/** Returns after how many milliseconds a call that is refused now may be worth sending again. */
	retryAfterMs(call: GateCall, reason: NotRunReason, now: number): number {
		const {crashes, dispatcher} = this.#parts;
		if (reason === 'quarantined') {
			return crashes.remainingMs(call, now);
		}

		return this.#usesForecast(call)
			? this.#forecastMs(call, now)
			: dispatcher.expectedWaitMs(call, this.dueAtOf(call, now), now);
	}

	/** Returns the expected time until the host's link is free for the response of a call. */
	linkWaitMs({isBulk = false}: Pick<GateCall, 'isBulk'>, now: number): number {
		const {bulk, dispatcher} = this.#parts;
		return isBulk ? bulk.waitMs(dispatcher.calls(), now) : 0;
	}

	#forecastMs(call: GateCall, now: number): number {
		return Math.max(this.#parts.dispatcher.forecastMs(call, now), this.linkWaitMs(call, now));
	}

	/**
	 * Whether a retry is worthwhile only once the work of all calls as urgent is done: a single call's place
	 * says little of that where workspaces share the worker.
	 */
	#usesForecast({isBulk = false}: GateCall): boolean {
		return isBulk || this.#parts.dispatcher.hasWorkspaces;
	}
}

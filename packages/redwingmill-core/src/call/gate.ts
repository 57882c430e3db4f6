import {type Worker} from '../model/node-record.js';
import {decideAdmission, isLate} from './admission.js';
import {CallDeduplicator, type CallIdentity, type Withdrawal} from './call-deduplicator.js';
import {type Answer} from './call-ledger.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {CrashTracker, type CrashReport, type GateIdentity} from './crash-tracker.js';
import {FailureMeter} from './failure-meter.js';
import {type GateCall, type GateEffect, type WorkerResult} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {GroupMeans} from './group-means.js';
import {isTransient, type NotRunReason, type UnknownReason} from './outcome.js';
import {RankQueue} from './rank-queue.js';
import {StallDetector} from './stall-detector.js';
import {SuspectedRequests} from './suspected-requests.js';
import {type WorkerLoad} from './worker-load.js';
import {type WorkerNotice} from './worker-notice.js';
import {WorkerNotices} from './worker-notices.js';

const minimumRetryAfterMs = 200;
/** Longest wait, besides its own run time, of a call that can no longer meet its target. */
const maximumLateWaitMs = 160;
/** Share of its expected run time that a waiting call must have left before its deadline. */
const minimumRunShare = 0.5;
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;
/**
 * Added to the due time of a call that can no longer meet its target. Such calls of a rank thus follow
 * all others, in the order of their targets.
 */
const lateCallOffsetMs = 1e6;

/** A call that the worker is running. */
type RunningCall = {
	readonly call: GateCall;
	readonly startedAt: number;
	readonly isSuspected: boolean;
};

/**
 * Controls all access to a worker: admits calls within the worker's capacity, dispatches each at
 * most once, and retains its outcome. Reads no clock: every `now` is in monotonic milliseconds.
 */
export class Gate<Payload> {
	readonly #limits: GateLimits;
	readonly #queue = new RankQueue<GateCall>();
	readonly #running = new Map<string, RunningCall>();
	readonly #deduplicator: CallDeduplicator<Payload>;
	readonly #concurrencyLimit = new ConcurrencyLimit(1);
	readonly #runTimes = new GroupMeans(initialRunMs);
	readonly #crashes: CrashTracker;
	readonly #failures = new FailureMeter();
	readonly #stallDetector = new StallDetector();
	#notices = new WorkerNotices();
	#worker: Worker | undefined;
	#sentCount = 0;
	/** When the worker last answered or ended a call. */
	#answeredAt = Number.NEGATIVE_INFINITY;
	#isStopping = false;
	/** Suspected request held back until the worker is idle; nothing is dispatched before it. */
	#heldCall: GateCall | undefined;
	#runningSuspectedCount = 0;

	constructor(limits: GateLimits, identity: GateIdentity, now: number) {
		this.#limits = limits;
		const {quarantineMs, deathsToQuarantine} = limits;
		this.#crashes = new CrashTracker(
			new SuspectedRequests(quarantineMs, deathsToQuarantine),
			identity,
			now,
		);
		this.#deduplicator = new CallDeduplicator(limits);
	}

	/** Number of calls that may wait. */
	get #queueCapacity(): number {
		return this.#limits.queuePerSlot * (this.#worker?.slots ?? 1);
	}

	/** Returns the load by which entry nodes choose between workers. */
	loadAt(now: number): WorkerLoad {
		return {
			callsPerSlot: (this.#running.size + this.waitingCount) / (this.#worker?.slots ?? 1),
			waitMs: this.#expectedWaitMs(Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY),
			runMs: this.#runTimes.mean,
			failureShare: this.#failures.shareAt(now),
		};
	}

	/** Number of calls that the worker is running. */
	get runningCount(): number {
		return this.#running.size;
	}

	/** Number of calls that wait for a slot. */
	get waitingCount(): number {
		return this.#queue.size + (this.#heldCall === undefined ? 0 : 1);
	}

	/** Number of requests sent to workers since the start. */
	get sentCount(): number {
		return this.#sentCount;
	}

	/** Calls a second that the worker takes from all nodes together; undefined if it states no limit. */
	get limitPerSecond(): number | undefined {
		return this.#notices.perSecond;
	}

	/** Whether no call is running or waiting. */
	get isIdle(): boolean {
		return this.#running.size === 0 && this.waitingCount === 0;
	}

	/** Applies the worker's announcement. Unless the worker is ready, refuses all waiting calls. */
	setWorker(worker: Worker | undefined, now: number): Array<GateEffect<Payload>> {
		const isNewInstance =
			worker?.instance !== this.#worker?.instance || worker?.startedAt !== this.#worker?.startedAt;
		this.#worker = worker;
		if (isNewInstance) {
			this.#concurrencyLimit.reset();
			this.#runTimes.reset();
			this.#failures.reset();
			this.#notices = new WorkerNotices();
			this.#stallDetector.onProgress(now);
		}

		this.#concurrencyLimit.resize(worker?.slots ?? 1);
		return this.#acceptsCalls() ? this.#dispatchWaiting(now) : this.#refuseWaiting(now);
	}

	/** Begins a planned stop: refuses new and waiting calls and lets running ones finish. */
	stop(now: number): Array<GateEffect<Payload>> {
		this.#isStopping = true;
		return this.#refuseWaiting(now);
	}

	/** Issues a ticket and returns its number. */
	issueTicket(): number {
		return this.#deduplicator.issueTicket();
	}

	/** Returns the key that identifies a call: its ticket's, or the attempt's id if it has none. */
	keyOf(call: CallIdentity): string {
		return this.#deduplicator.keyOf(call);
	}

	/** Admits a call, joins it to an earlier attempt, returns its retained answer, or refuses it. */
	submit(call: GateCall, now: number): Array<GateEffect<Payload>> {
		const settled = this.#deduplicator.settledAnswer(call);
		if (settled === 'joined') {
			return [];
		}

		if (settled) {
			return [{type: 'answer', key: this.keyOf(call), id: call.id, answer: settled}];
		}

		const refusal = this.#refusalOf(call, now);
		if (refusal) {
			return [this.#refuse(call, refusal, now)];
		}

		const decision = this.#decideAdmission(call, now);
		if (decision.type === 'refused') {
			return [this.#refuse(call, decision.reason, now, decision.retryAfterMs)];
		}

		const hasRoom = this.#hasRoom(call.rank);
		const displaced = hasRoom ? undefined : this.#queue.displace(call.rank, this.#queueCapacity);
		if (!hasRoom && displaced === undefined) {
			return [this.#refuse(call, 'queue-full', now)];
		}

		this.#deduplicator.recordAdmission(call, now);
		this.#queue.add(call, call.rank, this.#dueAtOf(call, now));
		const effects = displaced ? [this.#refuse(displaced, 'displaced', now)] : [];
		return [...effects, ...this.#dispatchWaiting(now)];
	}

	/**
	 * Handles what the worker says of itself in a response, as soon as its head has arrived.
	 *
	 * @param sentAt - when the call was sent that the response answers.
	 */
	onNotice(notice: WorkerNotice, sentAt: number, now: number): Array<GateEffect<Payload>> {
		return this.#notices
			.apply(notice, sentAt, now)
			.map((change) => ({type: 'notice-changed', change}));
	}

	/** Handles the result of a dispatched call. */
	finish(key: string, result: WorkerResult<Payload>, now: number): Array<GateEffect<Payload>> {
		const running = this.#running.get(key);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(key);
		if (result.type !== 'timed-out' && result.type !== 'aborted') {
			this.#stallDetector.onProgress(now);
			this.#answeredAt = now;
		}

		this.#runningSuspectedCount -= running.isSuspected ? 1 : 0;
		return [...this.#handleResult(running, result, now), ...this.#dispatchWaiting(now)];
	}

	/**
	 * Ensures that an attempt whose exchange broke can't run later, or returns what became of it.
	 *
	 * @param ageMs - time since the entry node began the attempt.
	 */
	withdraw(call: CallIdentity, ageMs: number, now: number): Withdrawal<Payload> {
		return this.#deduplicator.withdraw(call, ageMs, now);
	}

	/**
	 * Handles a caller's disconnection: refuses the call if it waits, ends its exchange if it runs. A
	 * call with a ticket goes on, since a later attempt with the ticket may ask for its answer.
	 */
	cancel(id: string, now: number): Array<GateEffect<Payload>> {
		const [waiting] = this.#removeWaiting((call) => call.id === id && call.ticket === undefined);
		if (waiting) {
			return [this.#refuse(waiting, 'cancelled', now)];
		}

		return this.#running.has(id) ? [{type: 'abort', key: id}] : [];
	}

	/** Handles the end of the worker, found out after a call that it was running had timed out. */
	onWorkerFoundDead(call: GateCall, now: number): Array<GateEffect<Payload>> {
		return [...this.#crashes.onCrash(call, now), {type: 'worker-gone'}];
	}

	/**
	 * Applies another node's report on a request. Contradicts a crash report if the request has recently
	 * succeeded here.
	 */
	onCrashReport(report: CrashReport, node: string, now: number): Array<GateEffect<Payload>> {
		return this.#crashes.onReport(report, node, now);
	}

	/** Returns a digest by which nodes notice that they know of different crashes; 0 for none. */
	crashDigestAt(now: number): number {
		return this.#crashes.digestAt(now);
	}

	/** Returns reports for a node whose digest of crashes differs. */
	crashReports(now: number): CrashReport[] {
		return this.#crashes.reports(now);
	}

	/** Refuses calls that have waited too long or whose worker has stalled, and evicts old outcomes. */
	tick(now: number): Array<GateEffect<Payload>> {
		this.#deduplicator.evict(now);
		const expired = this.#removeWaiting((call) => this.#hasWaitedTooLong(call, now));
		const stalled = this.#isStalled(now) ? this.#removeWaiting(() => true) : [];
		return [
			...expired.map((call) => this.#refuse(call, 'waited-too-long', now)),
			...stalled.map((call) => this.#refuse(call, 'worker-stalled', now)),
			...this.#dispatchWaiting(now),
		];
	}

	#refusalOf(call: GateCall, now: number): NotRunReason | undefined {
		const isForWorker = this.#worker?.service === call.service;
		if (this.#worker === undefined || this.#worker.state === 'absent' || !isForWorker) {
			return 'worker-absent';
		}

		if (!this.#acceptsCalls()) {
			return 'draining';
		}

		if (call.deadlineAt <= now) {
			return 'deadline-passed';
		}

		if (this.#crashes.suspicionOf(call, now) === 'quarantined') {
			return 'quarantined';
		}

		return this.#isStalled(now) && !this.#stallDetector.canProbe(now)
			? 'worker-stalled'
			: undefined;
	}

	#decideAdmission(call: GateCall, now: number) {
		if (!this.#limits.isLimiting) {
			return {type: 'admitted'} as const;
		}

		const {deadlineAt, targetAt, group, rank} = call;
		const waitMs = this.#expectedWaitMs(rank, this.#dueAtOf(call, now));
		const runMs = this.#runTimes.expected(group);
		return decideAdmission({now, deadlineAt, targetAt, waitMs, runMs});
	}

	/**
	 * Whether a waiting call can't be answered before its deadline, or has been overtaken by others
	 * for so long that its caller is better off retrying.
	 */
	#hasWaitedTooLong(call: GateCall, now: number): boolean {
		const {deadlineAt, targetAt, group} = call;
		const runMs = this.#runTimes.expected(group);
		const earliestEndAt = now + runMs * minimumRunShare;
		const admittedAt = this.#deduplicator.admittedAt(call) ?? now;
		const latestEndAt = Math.max(targetAt ?? deadlineAt, admittedAt + maximumLateWaitMs + runMs);
		return earliestEndAt >= deadlineAt || earliestEndAt > latestEndAt;
	}

	#isStalled(now: number): boolean {
		return (
			this.#limits.isLimiting &&
			this.#stallDetector.isStalled(this.#running.size, this.#runTimes, now)
		);
	}

	#acceptsCalls(): boolean {
		return !this.#isStopping && this.#worker?.state === 'ready';
	}

	/**
	 * Returns the expected time until a slot is free for a new call: the run times of the calls ahead of
	 * it, divided by the concurrency limit.
	 */
	#expectedWaitMs(rank: number, dueAt: number): number {
		const limit = this.#concurrencyLimit.value;
		if (this.#running.size < limit) {
			return 0;
		}

		let workAheadMs = this.#runTimes.mean;
		for (const call of this.#queue.ahead(rank, dueAt)) {
			workAheadMs += this.#runTimes.expected(call.group);
		}

		return workAheadMs / limit;
	}

	/** Returns the sort key within a rank: calls that can still meet their target come first. */
	#dueAtOf({targetAt, deadlineAt, group}: GateCall, now: number): number {
		const runMs = this.#runTimes.expected(group);
		if (targetAt === undefined) {
			return deadlineAt;
		}

		return isLate({now, targetAt, runMs}) ? targetAt + lateCallOffsetMs : targetAt;
	}

	#hasRoom(rank: number): boolean {
		const isFull = this.#running.size >= this.#concurrencyLimit.value;
		return !this.#limits.isLimiting || !isFull || this.#queue.hasRoom(rank, this.#queueCapacity);
	}

	#dispatchWaiting(now: number): Array<GateEffect<Payload>> {
		const effects: Array<GateEffect<Payload>> = [];
		while (this.#acceptsCalls() && this.#hasFreeSlot()) {
			const call = this.#takeNextCall(now);
			if (call === undefined) {
				break;
			}

			if (this.#crashes.suspicionOf(call, now) === 'quarantined') {
				effects.push(this.#refuse(call, 'quarantined', now));
				continue;
			}

			const isSuspected = this.#needsIsolation(call, now);
			this.#runningSuspectedCount += isSuspected ? 1 : 0;
			if (this.#running.size === 0) {
				this.#stallDetector.onProgress(now);
			}

			this.#stallDetector.onDispatch(now);
			this.#running.set(this.keyOf(call), {call, startedAt: now, isSuspected});
			this.#sentCount += 1;
			effects.push({type: 'dispatch', call});
		}

		return effects;
	}

	/**
	 * Removes and returns the call to dispatch next. A call on probation runs alone, so that only a crash
	 * of its own quarantines it.
	 */
	#takeNextCall(now: number): GateCall | undefined {
		const call = this.#heldCall ?? this.#queue.pick();
		this.#heldCall = undefined;
		if (call && this.#running.size > 0 && this.#needsIsolation(call, now)) {
			this.#heldCall = call;
			return undefined;
		}

		return call;
	}

	#needsIsolation(call: GateCall, now: number): boolean {
		switch (this.#crashes.suspicionOf(call, now)) {
			case 'none':
			case 'quarantined': {
				return false;
			}

			case 'suspect': {
				return this.#limits.isolatesSuspects;
			}

			case 'probation': {
				return true;
			}
		}
	}

	#hasFreeSlot(): boolean {
		if (!this.#limits.isLimiting) {
			return true;
		}

		return this.#runningSuspectedCount === 0 && this.#running.size < this.#concurrencyLimit.value;
	}

	#removeWaiting(isSelected: (call: GateCall) => boolean): GateCall[] {
		const removed = this.#queue.removeWhere(isSelected);
		if (this.#heldCall && isSelected(this.#heldCall)) {
			removed.push(this.#heldCall);
			this.#heldCall = undefined;
		}

		return removed;
	}

	#handleResult(
		running: RunningCall,
		result: WorkerResult<Payload>,
		now: number,
	): Array<GateEffect<Payload>> {
		const {call, startedAt} = running;
		switch (result.type) {
			case 'answered': {
				this.#concurrencyLimit.onSuccess();
				const {payload, bytes, isFailure, isExpired = false} = result;
				const ranMs = isFailure ? undefined : now - startedAt;
				this.#failures.record(isFailure, now);
				if (ranMs !== undefined) {
					this.#runTimes.record(call.group, ranMs);
				}

				return [
					...(isFailure || isExpired ? [] : this.#crashes.onSuccess(call, now)),
					this.#settle(call, {outcome: {type: 'ran'}, payload, ranMs}, bytes, now),
				];
			}

			case 'shed': {
				this.#concurrencyLimit.onShed(now);
				return [this.#refuse(call, 'worker-shed', now)];
			}

			case 'misdirected': {
				return [this.#refuse(call, 'worker-replaced', now), {type: 'worker-gone'}];
			}

			case 'unreachable': {
				return [this.#refuse(call, 'worker-unreachable', now), {type: 'worker-gone'}];
			}

			case 'died': {
				return [
					...this.#crashes.onCrash(call, now),
					this.#settleUnknown(call, 'worker-died', now),
					{type: 'worker-gone'},
				];
			}

			case 'lost': {
				this.#failures.record(true, now);
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

	#settleUnknown(call: GateCall, reason: UnknownReason, now: number): GateEffect<Payload> {
		return this.#settle(call, {outcome: {type: 'unknown', reason}}, 0, now);
	}

	#settle(
		call: GateCall,
		answer: Answer<Payload>,
		bytes: number,
		now: number,
	): GateEffect<Payload> {
		this.#deduplicator.recordAnswer(call, answer, bytes, now);
		return {type: 'answer', key: this.keyOf(call), answer};
	}

	#refuse(
		call: GateCall,
		reason: NotRunReason,
		now: number,
		retryAfterMs = this.#retryAfterMs(call, reason, now),
	): GateEffect<Payload> {
		const answer: Answer<Payload> = {
			outcome: {type: 'not-run', reason},
			retryAfterMs: isTransient(reason) ? Math.max(minimumRetryAfterMs, retryAfterMs) : undefined,
		};
		this.#deduplicator.recordRefusal(call, answer, now);
		return {type: 'answer', key: this.keyOf(call), answer};
	}

	#retryAfterMs(call: GateCall, reason: NotRunReason, now: number): number {
		if (reason === 'quarantined') {
			return this.#crashes.remainingMs(call, now);
		}

		return this.#expectedWaitMs(call.rank, this.#dueAtOf(call, now));
	}

	#refuseWaiting(now: number): Array<GateEffect<Payload>> {
		return this.#removeWaiting(() => true).map((call) => this.#refuse(call, 'draining', now));
	}
}

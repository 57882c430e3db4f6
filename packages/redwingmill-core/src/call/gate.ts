import {type Worker} from '../model/node-record.js';
import {isLate, decideAdmission} from './admission.js';
import {type Answer} from './call-ledger.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {CrashTracker, type CrashReport} from './crash-tracker.js';
import {FailureMeter} from './failure-meter.js';
import {type GateCall, type GateEffect, type WorkerResult} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {CallDeduplicator, type CallIdentity, type Withdrawal} from './call-deduplicator.js';
import {GroupMeans} from './group-means.js';
import {isTransient, type NotRunReason, type UnknownReason} from './outcome.js';
import {RankQueue} from './rank-queue.js';
import {StallDetector} from './stall-detector.js';
import {SuspectedRequests} from './suspected-requests.js';
import {type WorkerLoad} from './worker-load.js';

const minimumRetryAfterMs = 200;
/** Time that a call waits beyond its target at most, while others go before it. */
const maximumLateWaitMs = 160;
/** Part of its usual run time that a waiting call must have left. */
const minimumRunShare = 0.5;
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;
/** Puts late calls of a rank behind all others, in their own order. */
const lateCallOffsetMs = 1e6;

/** A call that the worker is running. */
type RunningCall = {
	readonly call: GateCall;
	readonly startedAt: number;
	readonly isSuspected: boolean;
};

/**
 * The only way to a worker. It admits calls within the worker's capacity, runs each at most once,
 * and remembers what became of it. It reads no clock: callers pass monotonic milliseconds.
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
	#worker: Worker | undefined;
	#isStopping = false;
	/** A suspect that waits until the worker runs nothing else; meanwhile nothing is dispatched. */
	#heldCall: GateCall | undefined;
	#runningSuspectedCount = 0;

	/** @param node - control address of the gate's node. */
	constructor(limits: GateLimits, node: string, now: number) {
		this.#limits = limits;
		const {quarantineMs, deathsToQuarantine} = limits;
		this.#crashes = new CrashTracker(
			new SuspectedRequests(quarantineMs, deathsToQuarantine),
			node,
			now,
		);
		this.#deduplicator = new CallDeduplicator(limits);
	}

	/** Calls that may wait. */
	get #queueCapacity(): number {
		return this.#limits.queuePerSlot * (this.#worker?.slots ?? 1);
	}

	/** Load for those who choose between workers. */
	loadAt(now: number): WorkerLoad {
		return {
			callsPerSlot: (this.#running.size + this.waitingCount) / (this.#worker?.slots ?? 1),
			waitMs: this.#expectedWaitMs(Number.POSITIVE_INFINITY, Number.POSITIVE_INFINITY),
			runMs: this.#runTimes.mean,
			failureShare: this.#failures.shareAt(now),
		};
	}

	get runningCount(): number {
		return this.#running.size;
	}

	get waitingCount(): number {
		return this.#queue.size + (this.#heldCall === undefined ? 0 : 1);
	}

	/** Whether nothing is in progress. */
	get isIdle(): boolean {
		return this.#running.size === 0 && this.waitingCount === 0;
	}

	/** Takes the worker's announcement. When it leaves, waiting calls are refused at once. */
	setWorker(worker: Worker | undefined, now: number): Array<GateEffect<Payload>> {
		const isAnother =
			worker?.instance !== this.#worker?.instance || worker?.startedAt !== this.#worker?.startedAt;
		this.#worker = worker;
		if (isAnother) {
			this.#concurrencyLimit.reset();
			this.#runTimes.reset();
			this.#failures.reset();
			this.#stallDetector.onProgress(now);
		}

		this.#concurrencyLimit.resize(worker?.slots ?? 1);
		return this.#acceptsCalls() ? this.#dispatchWaiting(now) : this.#refuseWaiting(now);
	}

	/** Begins a planned stop: new and waiting calls are refused, running ones finish. */
	stop(now: number): Array<GateEffect<Payload>> {
		this.#isStopping = true;
		return this.#refuseWaiting(now);
	}

	/** Gives out the number of a new ticket. */
	issueTicket(): number {
		return this.#deduplicator.issueTicket();
	}

	/** Key under which a call's answer is given out: its ticket's, or its own. */
	keyOf(call: CallIdentity): string {
		return this.#deduplicator.keyOf(call);
	}

	/** Admits a call, joins it to one with the same ticket, or refuses it. */
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

		const verdict = this.#decideAdmission(call, now);
		if (verdict.type === 'refused') {
			return [this.#refuse(call, verdict.reason, now, verdict.retryAfterMs)];
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

	/** Takes the result of a dispatched call. */
	finish(key: string, result: WorkerResult<Payload>, now: number): Array<GateEffect<Payload>> {
		const running = this.#running.get(key);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(key);
		if (result.type !== 'timed-out' && result.type !== 'aborted') {
			this.#stallDetector.onProgress(now);
		}

		this.#runningSuspectedCount -= running.isSuspected ? 1 : 0;
		return [...this.#handleResult(running, result, now), ...this.#dispatchWaiting(now)];
	}

	/**
	 * Makes sure that an attempt whose exchange broke doesn't run later, or tells what became of it.
	 *
	 * @param ageMs - time since the entry node began the attempt.
	 */
	withdraw(call: CallIdentity, ageMs: number, now: number): Withdrawal<Payload> {
		return this.#deduplicator.withdraw(call, ageMs, now);
	}

	/** The caller went away: a waiting call is dropped, a running one is ended at the worker. */
	cancel(id: string, now: number): Array<GateEffect<Payload>> {
		const [waiting] = this.#removeWaiting((call) => call.id === id && call.ticket === undefined);
		if (waiting) {
			return [this.#refuse(waiting, 'cancelled', now)];
		}

		return this.#running.has(id) ? [{type: 'abort', key: id}] : [];
	}

	/** Takes another node's word on a request; contradicts it when the request ran well here. */
	onCrashReport(
		fingerprint: string,
		node: string,
		isCleared: boolean,
		now: number,
	): Array<GateEffect<Payload>> {
		return toEffects(this.#crashes.onReport({fingerprint, isCleared}, node, now));
	}

	/** Refuses calls whose time is up and forgets what is no longer kept. */
	tick(now: number): Array<GateEffect<Payload>> {
		this.#deduplicator.evict(now);
		const late = this.#removeWaiting((call) => this.#hasWaitedTooLong(call, now));
		const stuck = this.#isStalled(now) ? this.#removeWaiting(() => true) : [];
		return [
			...late.map((call) => this.#refuse(call, 'waited-too-long', now)),
			...stuck.map((call) => this.#refuse(call, 'worker-stalled', now)),
			...this.#dispatchWaiting(now),
		];
	}

	#refusalOf(call: GateCall, now: number): NotRunReason | undefined {
		const isOwn = this.#worker?.service === call.service;
		if (this.#worker === undefined || this.#worker.state === 'absent' || !isOwn) {
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
	 * Whether a waiting call can't be answered before its caller stops waiting, or has been overtaken
	 * for so long that its caller does better to ask again.
	 */
	#hasWaitedTooLong(call: GateCall, now: number): boolean {
		const {deadlineAt, targetAt, group} = call;
		const runMs = this.#runTimes.expected(group);
		const soonestAt = now + runMs * minimumRunShare;
		const admittedAt = this.#deduplicator.admittedAt(call) ?? now;
		const overtakenAt = Math.max(targetAt ?? deadlineAt, admittedAt + maximumLateWaitMs + runMs);
		return soonestAt >= deadlineAt || soonestAt > overtakenAt;
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

	/** Time until a slot is free for a new call: the work that goes before it, over the limit. */
	#expectedWaitMs(rank: number, dueAt: number): number {
		const limit = this.#concurrencyLimit.value;
		if (this.#running.size < limit) {
			return 0;
		}

		let aheadMs = this.#runTimes.mean;
		for (const call of this.#queue.ahead(rank, dueAt)) {
			aheadMs += this.#runTimes.expected(call.group);
		}

		return aheadMs / limit;
	}

	/** Place in the queue: calls that can still meet their target go before those that can't. */
	#dueAtOf({targetAt, deadlineAt, group}: GateCall, now: number): number {
		const runMs = this.#runTimes.expected(group);
		if (targetAt === undefined) {
			return deadlineAt;
		}

		return isLate({now, targetAt, runMs}) ? targetAt + lateCallOffsetMs : targetAt;
	}

	#hasRoom(rank: number): boolean {
		const isWaiting = this.#running.size >= this.#concurrencyLimit.value;
		return !this.#limits.isLimiting || !isWaiting || this.#queue.hasRoom(rank, this.#queueCapacity);
	}

	#dispatchWaiting(now: number): Array<GateEffect<Payload>> {
		const effects: Array<GateEffect<Payload>> = [];
		while (this.#acceptsCalls() && this.#hasFreeSlot()) {
			const call = this.#takeNextCall(now);
			if (call === undefined) {
				break;
			}

			const isSuspect = this.#needsIsolation(call, now);
			this.#runningSuspectedCount += isSuspect ? 1 : 0;
			if (this.#running.size === 0) {
				this.#stallDetector.onProgress(now);
			}

			this.#stallDetector.onDispatch(now);
			this.#running.set(this.keyOf(call), {call, startedAt: now, isSuspected: isSuspect});
			effects.push({type: 'dispatch', call});
		}

		return effects;
	}

	/** The call to dispatch now. A suspect runs alone, so that only it can be blamed for a crash. */
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
		return this.#limits.isolatesSuspects && this.#crashes.suspicionOf(call, now) !== 'none';
	}

	#hasFreeSlot(): boolean {
		if (!this.#limits.isLimiting) {
			return true;
		}

		return this.#runningSuspectedCount === 0 && this.#running.size < this.#concurrencyLimit.value;
	}

	#removeWaiting(isTaken: (call: GateCall) => boolean): GateCall[] {
		const taken = this.#queue.removeWhere(isTaken);
		if (this.#heldCall && isTaken(this.#heldCall)) {
			taken.push(this.#heldCall);
			this.#heldCall = undefined;
		}

		return taken;
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
				const {payload, bytes, isFailure} = result;
				const ranMs = isFailure ? undefined : now - startedAt;
				this.#failures.record(isFailure, now);
				if (ranMs !== undefined) {
					this.#runTimes.record(call.group, ranMs);
				}

				return [
					...toEffects(this.#crashes.onSuccess(call, now)),
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
					...toEffects(this.#crashes.onCrash(call, now)),
					this.#settleUnknown(call, 'worker-died', now),
					{type: 'worker-gone'},
				];
			}

			case 'lost': {
				this.#failures.record(true, now);
				return [this.#settleUnknown(call, 'answer-lost', now)];
			}

			case 'timed-out': {
				return [this.#settleUnknown(call, 'worker-timeout', now)];
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

function toEffects(report: CrashReport | undefined) {
	return report ? [{type: 'suspect', ...report} as const] : [];
}

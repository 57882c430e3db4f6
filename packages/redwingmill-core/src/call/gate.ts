import {type Worker} from '../model/node-record.js';
import {isLate, judgeAdmission} from './admission.js';
import {type Answer} from './call-ledger.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {CrashWatch, type SuspicionReport} from './crash-watch.js';
import {FailureMeter} from './failure-meter.js';
import {type GateCall, type GateEffect, type WorkerResult} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {GateMemory, type CallName, type Withdrawal} from './gate-memory.js';
import {GroupMeans} from './group-means.js';
import {isPassing, type NotRunReason, type UnknownReason} from './outcome.js';
import {RankQueue} from './rank-queue.js';
import {StallWatch} from './stall-watch.js';
import {SuspectList} from './suspect-list.js';
import {type WorkerLoad} from './worker-load.js';

const shortestRetryAfterMs = 200;
/** Time that a call waits beyond its target at most, while others go before it. */
const longestDelayMs = 160;
/** Part of its usual run time that a waiting call must have left. */
const leastRunShare = 0.5;
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;
/** Puts late calls of a rank behind all others, in their own order. */
const lateSetbackMs = 1e6;

/** A call that the worker is running. */
type Running = {
	readonly call: GateCall;
	readonly startedAt: number;
	readonly isSuspect: boolean;
};

/**
 * The only way to a worker. It admits calls within the worker's capacity, runs each at most once,
 * and remembers what became of it. It reads no clock: callers pass monotonic milliseconds.
 */
export class Gate<Payload> {
	readonly #limits: GateLimits;
	readonly #queue = new RankQueue<GateCall>();
	readonly #running = new Map<string, Running>();
	readonly #memory: GateMemory<Payload>;
	readonly #limit = new ConcurrencyLimit(1);
	readonly #runTimes = new GroupMeans(initialRunMs);
	readonly #crashes: CrashWatch;
	readonly #failures = new FailureMeter();
	readonly #stall = new StallWatch();
	#worker: Worker | undefined;
	#isStopping = false;
	/** A suspect that waits until the worker runs nothing else; meanwhile nothing is dispatched. */
	#heldSuspect: GateCall | undefined;
	#runningSuspects = 0;

	/** @param node - control address of the gate's node. */
	constructor(limits: GateLimits, node: string, now: number) {
		this.#limits = limits;
		const {quarantineMs, deathsToQuarantine} = limits;
		this.#crashes = new CrashWatch(new SuspectList(quarantineMs, deathsToQuarantine), node, now);
		this.#memory = new GateMemory(limits);
	}

	/** Calls that may wait. */
	get #bound(): number {
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
		return this.#queue.size + (this.#heldSuspect === undefined ? 0 : 1);
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
			this.#limit.reset();
			this.#runTimes.reset();
			this.#failures.reset();
			this.#stall.onProgress(now);
		}

		this.#limit.resize(worker?.slots ?? 1);
		return this.#acceptsCalls() ? this.#fill(now) : this.#refuseWaiting(now);
	}

	/** Begins a planned stop: new and waiting calls are refused, running ones finish. */
	stop(now: number): Array<GateEffect<Payload>> {
		this.#isStopping = true;
		return this.#refuseWaiting(now);
	}

	/** Gives out the number of a new ticket. */
	issueTicket(): number {
		return this.#memory.issueTicket();
	}

	/** Key under which a call's answer is given out: its ticket's, or its own. */
	keyOf(call: CallName): string {
		return this.#memory.keyOf(call);
	}

	/** Admits a call, joins it to one with the same ticket, or refuses it. */
	arrive(call: GateCall, now: number): Array<GateEffect<Payload>> {
		const settled = this.#memory.settledAnswer(call);
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

		const verdict = this.#judge(call, now);
		if (verdict.type === 'refused') {
			return [this.#refuse(call, verdict.reason, now, verdict.retryAfterMs)];
		}

		const hasRoom = this.#hasRoom(call.rank);
		const displaced = hasRoom ? undefined : this.#queue.displace(call.rank, this.#bound);
		if (!hasRoom && displaced === undefined) {
			return [this.#refuse(call, 'queue-full', now)];
		}

		this.#memory.open(call, now);
		this.#queue.add(call, call.rank, this.#dueAtOf(call, now));
		const effects = displaced ? [this.#refuse(displaced, 'displaced', now)] : [];
		return [...effects, ...this.#fill(now)];
	}

	/** Takes the result of a dispatched call. */
	finish(key: string, result: WorkerResult<Payload>, now: number): Array<GateEffect<Payload>> {
		const running = this.#running.get(key);
		if (running === undefined) {
			return [];
		}

		this.#running.delete(key);
		if (result.type !== 'timed-out' && result.type !== 'aborted') {
			this.#stall.onProgress(now);
		}

		this.#runningSuspects -= running.isSuspect ? 1 : 0;
		return [...this.#conclude(running, result, now), ...this.#fill(now)];
	}

	/**
	 * Makes sure that an attempt whose exchange broke doesn't run later, or tells what became of it.
	 *
	 * @param ageMs - time since the entry node began the attempt.
	 */
	withdraw(call: CallName, ageMs: number, now: number): Withdrawal<Payload> {
		return this.#memory.withdraw(call, ageMs, now);
	}

	/** The caller went away: a waiting call is dropped, a running one is ended at the worker. */
	cancel(id: string, now: number): Array<GateEffect<Payload>> {
		const [waiting] = this.#takeWaiting((call) => call.id === id && call.ticket === undefined);
		if (waiting) {
			return [this.#refuse(waiting, 'cancelled', now)];
		}

		return this.#running.has(id) ? [{type: 'abort', key: id}] : [];
	}

	/** Takes another node's word on a request; contradicts it when the request ran well here. */
	suspect(
		fingerprint: string,
		node: string,
		isCleared: boolean,
		now: number,
	): Array<GateEffect<Payload>> {
		return toEffects(this.#crashes.onReported({fingerprint, isCleared}, node, now));
	}

	/** Refuses calls whose time is up and forgets what is no longer kept. */
	tick(now: number): Array<GateEffect<Payload>> {
		this.#memory.evict(now);
		const late = this.#takeWaiting((call) => this.#isHopeless(call, now));
		const stuck = this.#isStalled(now) ? this.#takeWaiting(() => true) : [];
		return [
			...late.map((call) => this.#refuse(call, 'waited-too-long', now)),
			...stuck.map((call) => this.#refuse(call, 'worker-stalled', now)),
			...this.#fill(now),
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

		return this.#isStalled(now) && !this.#stall.mayTry(now) ? 'worker-stalled' : undefined;
	}

	#judge(call: GateCall, now: number) {
		if (!this.#limits.isLimiting) {
			return {type: 'admitted'} as const;
		}

		const {deadlineAt, targetAt, group, rank} = call;
		const waitMs = this.#expectedWaitMs(rank, this.#dueAtOf(call, now));
		const runMs = this.#runTimes.expected(group);
		return judgeAdmission({now, deadlineAt, targetAt, waitMs, runMs});
	}

	/**
	 * Whether a waiting call can't be answered before its caller stops waiting, or has been overtaken
	 * for so long that its caller does better to ask again.
	 */
	#isHopeless(call: GateCall, now: number): boolean {
		const {deadlineAt, targetAt, group} = call;
		const runMs = this.#runTimes.expected(group);
		const soonestAt = now + runMs * leastRunShare;
		const admittedAt = this.#memory.admittedAt(call) ?? now;
		const overtakenAt = Math.max(targetAt ?? deadlineAt, admittedAt + longestDelayMs + runMs);
		return soonestAt >= deadlineAt || soonestAt > overtakenAt;
	}

	#isStalled(now: number): boolean {
		return (
			this.#limits.isLimiting && this.#stall.isStalled(this.#running.size, this.#runTimes, now)
		);
	}

	#acceptsCalls(): boolean {
		return !this.#isStopping && this.#worker?.state === 'ready';
	}

	/** Time until a slot is free for a new call: the work that goes before it, over the limit. */
	#expectedWaitMs(rank: number, dueAt: number): number {
		const limit = this.#limit.value;
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

		return isLate({now, targetAt, runMs}) ? targetAt + lateSetbackMs : targetAt;
	}

	#hasRoom(rank: number): boolean {
		const isWaiting = this.#running.size >= this.#limit.value;
		return !this.#limits.isLimiting || !isWaiting || this.#queue.hasRoom(rank, this.#bound);
	}

	#fill(now: number): Array<GateEffect<Payload>> {
		const effects: Array<GateEffect<Payload>> = [];
		while (this.#acceptsCalls() && this.#hasFreeSlot()) {
			const call = this.#next(now);
			if (call === undefined) {
				break;
			}

			const isSuspect = this.#needsIsolation(call, now);
			this.#runningSuspects += isSuspect ? 1 : 0;
			if (this.#running.size === 0) {
				this.#stall.onProgress(now);
			}

			this.#stall.onDispatch(now);
			this.#running.set(this.keyOf(call), {call, startedAt: now, isSuspect});
			effects.push({type: 'dispatch', call});
		}

		return effects;
	}

	/** The call to dispatch now. A suspect runs alone, so that only it can be blamed for a crash. */
	#next(now: number): GateCall | undefined {
		const call = this.#heldSuspect ?? this.#queue.pick();
		this.#heldSuspect = undefined;
		if (call && this.#running.size > 0 && this.#needsIsolation(call, now)) {
			this.#heldSuspect = call;
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

		return this.#runningSuspects === 0 && this.#running.size < this.#limit.value;
	}

	#takeWaiting(isTaken: (call: GateCall) => boolean): GateCall[] {
		const taken = this.#queue.take(isTaken);
		if (this.#heldSuspect && isTaken(this.#heldSuspect)) {
			taken.push(this.#heldSuspect);
			this.#heldSuspect = undefined;
		}

		return taken;
	}

	#conclude(
		running: Running,
		result: WorkerResult<Payload>,
		now: number,
	): Array<GateEffect<Payload>> {
		const {call, startedAt} = running;
		switch (result.type) {
			case 'answered': {
				this.#limit.onSuccess();
				const {payload, bytes, isFailure} = result;
				const ranMs = isFailure ? undefined : now - startedAt;
				this.#failures.record(isFailure, now);
				if (ranMs !== undefined) {
					this.#runTimes.record(call.group, ranMs);
				}

				return [
					...toEffects(this.#crashes.onRanWell(call, now)),
					this.#settle(call, {outcome: {type: 'ran'}, payload, ranMs}, bytes, now),
				];
			}

			case 'shed': {
				this.#limit.onShed(now);
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
					...toEffects(this.#crashes.onDied(call, now)),
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
		this.#memory.settle(call, answer, bytes, now);
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
			retryAfterMs: isPassing(reason) ? Math.max(shortestRetryAfterMs, retryAfterMs) : undefined,
		};
		this.#memory.refuse(call, answer, now);
		return {type: 'answer', key: this.keyOf(call), answer};
	}

	#retryAfterMs(call: GateCall, reason: NotRunReason, now: number): number {
		if (reason === 'quarantined') {
			return this.#crashes.remainingMs(call, now);
		}

		return this.#expectedWaitMs(call.rank, this.#dueAtOf(call, now));
	}

	#refuseWaiting(now: number): Array<GateEffect<Payload>> {
		return this.#takeWaiting(() => true).map((call) => this.#refuse(call, 'draining', now));
	}
}

function toEffects(report: SuspicionReport | undefined) {
	return report ? [{type: 'suspect', ...report} as const] : [];
}

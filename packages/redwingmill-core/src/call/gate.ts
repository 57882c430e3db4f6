import {type Worker} from '../model/node-record.js';
import {BulkForecast, type ResponseLink} from './bulk-forecast.js';
import {CallDeduplicator, type CallIdentity, type Withdrawal} from './call-deduplicator.js';
import {CrashTracker, type CrashReport, type GateIdentity} from './crash-tracker.js';
import {Dispatcher} from './dispatcher.js';
import {FailureMeter} from './failure-meter.js';
import {GateAdmission} from './gate-admission.js';
import {GateAnswers} from './gate-answers.js';
import {type GateCall, type GateEffect, type WorkerResult} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';
import {type NotRunReason} from './outcome.js';
import {type ReportedNotice} from './reported-notices.js';
import {RunTimes} from './run-times.js';
import {SuspectedRequests} from './suspected-requests.js';
import {type WorkerLoad} from './worker-load.js';
import {workerIdentityOf, type WorkerNotice} from './worker-notice.js';
import {WorkerReports} from './worker-reports.js';
import {WorkerNotices, type NoticeChange} from './worker-notices.js';

/** Stands for a call that all others precede. */
const leastUrgent = {rank: Number.POSITIVE_INFINITY};

/**
 * Controls all access to a worker: admits calls within the worker's capacity, dispatches each at
 * most once, and retains its outcome. Reads no clock: every `now` is in monotonic milliseconds.
 */
export class Gate<Payload> {
	readonly #deduplicator: CallDeduplicator<Payload>;
	readonly #reports = new WorkerReports();
	readonly #runTimes = new RunTimes(this.#reports);
	readonly #crashes: CrashTracker;
	readonly #failures = new FailureMeter();
	readonly #dispatcher: Dispatcher;
	readonly #admission: GateAdmission;
	readonly #answers: GateAnswers<Payload>;
	#notices = new WorkerNotices();
	#worker: Worker | undefined;
	#isStopping = false;

	/** @param link - link over which bulk responses are sent; absent if its bandwidth isn't known. */
	constructor(limits: GateLimits, identity: GateIdentity, now: number, link?: ResponseLink) {
		const {quarantineMs, deathsToQuarantine} = limits;
		const crashes = new CrashTracker(
			new SuspectedRequests(quarantineMs, deathsToQuarantine),
			identity,
			now,
		);
		const deduplicator = new CallDeduplicator<Payload>(limits);
		const runTimes = this.#runTimes;
		const dispatcher = new Dispatcher({limits, crashes, runTimes, reports: this.#reports});
		const bulk = new BulkForecast(link);
		const admission = new GateAdmission({limits, crashes, dispatcher, runTimes, bulk});
		const failures = this.#failures;
		this.#crashes = crashes;
		this.#deduplicator = deduplicator;
		this.#dispatcher = dispatcher;
		this.#admission = admission;
		this.#answers = new GateAnswers({
			admission,
			crashes,
			deduplicator,
			dispatcher,
			failures,
			runTimes,
			bulk,
		});
	}

	/** Returns the load by which entry nodes choose between workers. */
	loadAt(now: number): WorkerLoad {
		const latest = Number.POSITIVE_INFINITY;
		const slotWaitMs = this.#dispatcher.expectedWaitMs(leastUrgent, latest, now);
		const hostTime = this.#reports.hostTimeAt(now);
		return {
			callsPerSlot: this.#dispatcher.callsPerSlotAt(now),
			waitMs: Math.max(slotWaitMs, this.#admission.linkWaitMs({isBulk: true}, now)),
			runMs: this.#runTimes.meanAt(now),
			failureShare: this.#failures.shareAt(now),
			allowance: this.#dispatcher.allowanceAt(now),
			...(hostTime !== undefined && {hostTime}),
		};
	}

	/** Number of calls that the worker is running. */
	get runningCount(): number {
		return this.#dispatcher.runningCount;
	}

	/** Number of calls that wait for a slot. */
	get waitingCount(): number {
		return this.#dispatcher.waitingCount;
	}

	/** Number of requests sent to workers since the start. */
	get sentCount(): number {
		return this.#dispatcher.sentCount;
	}

	/** Calls a second that the worker takes from all nodes together; undefined if it states no limit. */
	get limitPerSecond(): number | undefined {
		return this.#notices.perSecond;
	}

	/** What the worker said of itself, for the entry nodes; undefined if it said nothing. */
	get notice(): ReportedNotice | undefined {
		const {perSecond: limitPerSecond, isLeaving} = this.#notices;
		if (limitPerSecond === undefined && !isLeaving) {
			return undefined;
		}

		const worker = this.#workerIdentity;
		return worker === undefined ? undefined : {worker, limitPerSecond, isLeaving};
	}

	/** Whether no call is running or waiting. */
	get isIdle(): boolean {
		return this.runningCount === 0 && this.waitingCount === 0;
	}

	/**
	 * Applies the worker's announcement. Refuses the waiting calls of other services, and all of them if the worker
	 * runs another version or isn't ready.
	 */
	setWorker(worker: Worker | undefined, now: number): Array<GateEffect<Payload>> {
		const previous = this.#worker;
		const isNewInstance =
			worker?.instance !== previous?.instance || worker?.startedAt !== previous?.startedAt;
		this.#worker = worker;
		if (isNewInstance) {
			this.#dispatcher.reset(now);
			this.#runTimes.reset();
			this.#admission.reset();
			this.#reports.reset(now);
			this.#failures.reset();
			this.#notices = new WorkerNotices();
		}

		this.#dispatcher.resize(worker?.slots ?? 1);
		// The entry nodes chose the service and, in a rollout, the version.
		const isOtherVersion = worker?.version !== previous?.version;
		const misplaced = this.#refuseWaiting(
			'worker-absent',
			now,
			({service}) => isOtherVersion || service !== worker?.service,
		);
		const effects = this.#acceptsCalls()
			? this.#dispatchWaiting(now)
			: this.#refuseWaiting('draining', now);
		return [...misplaced, ...effects];
	}

	/** Begins a planned stop: refuses new and waiting calls and lets running ones finish. */
	stop(now: number): Array<GateEffect<Payload>> {
		this.#isStopping = true;
		return this.#refuseWaiting('draining', now);
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

		const refusal = this.#admission.refusalOf(call, this.#worker, this.#acceptsCalls(), now);
		if (refusal) {
			return [this.#answers.refuse(call, refusal, now)];
		}

		this.#dispatcher.onAsked(call);
		const adopted = this.#adoptLimit(call, now);
		const decision = this.#admission.decide(call, now);
		if (decision.type === 'refused') {
			return [...adopted, this.#answers.refuse(call, decision.reason, now, decision.retryAfterMs)];
		}

		const hasRoom = this.#dispatcher.hasRoom(call, now);
		const displaced = hasRoom ? undefined : this.#dispatcher.displace(call);
		if (!hasRoom && displaced === undefined) {
			return [...adopted, this.#answers.refuse(call, 'queue-full', now)];
		}

		this.#deduplicator.recordAdmission(call, now);
		this.#dispatcher.add(call, this.#admission.dueAtOf(call, now));
		const effects = displaced ? [this.#answers.refuse(displaced, 'displaced', now)] : [];
		return [...adopted, ...effects, ...this.#dispatchWaiting(now)];
	}

	/**
	 * Handles what the worker says of itself in a response, as soon as its head has arrived.
	 *
	 * @param sentAt - when the call was sent that the response answers.
	 */
	onNotice(notice: WorkerNotice, sentAt: number, now: number): Array<GateEffect<Payload>> {
		const effects = this.#applyChanges(this.#notices.apply(notice, sentAt, now), now);
		if (notice.load?.type === 'stated') {
			this.#reports.record(notice.load.report, this.runningCount, now);
		}

		return this.#acceptsCalls() ? effects : [...effects, ...this.#refuseWaiting('draining', now)];
	}

	/** Handles the result of a dispatched call. */
	finish(key: string, result: WorkerResult<Payload>, now: number): Array<GateEffect<Payload>> {
		const running = this.#dispatcher.finish(key);
		if (running === undefined) {
			return [];
		}

		// The end of an earlier process says nothing of the one that has taken its place.
		const effects = this.#answers
			.onResult(running, result, now)
			.filter(({type}) => type !== 'worker-gone' || this.#dispatcher.isCurrent(running));
		return [...effects, ...this.#dispatchWaiting(now)];
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
		const [waiting] = this.#dispatcher.removeWaiting(
			(call) => call.id === id && call.ticket === undefined,
		);
		if (waiting) {
			return [this.#answers.refuse(waiting, 'cancelled', now)];
		}

		return this.#dispatcher.isRunning(id) ? [{type: 'abort', key: id}] : [];
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
		const expired = this.#dispatcher.removeWaiting((call) => this.#hasWaitedTooLong(call, now));
		const stalled = this.#dispatcher.isStalled(now)
			? this.#dispatcher.removeWaiting(() => true)
			: [];
		return [
			...expired.map((call) => this.#answers.refuse(call, 'waited-too-long', now)),
			...stalled.map((call) => this.#answers.refuse(call, 'worker-stalled', now)),
			...this.#dispatchWaiting(now),
		];
	}

	/** Applies the limit that the entry node of a call knows of, if it is this worker's. */
	#adoptLimit({knownLimit}: GateCall, now: number): Array<GateEffect<Payload>> {
		return knownLimit !== undefined && knownLimit.worker === this.#workerIdentity
			? this.#applyChanges(this.#notices.adopt(knownLimit.perSecond, now), now)
			: [];
	}

	#applyChanges(changes: readonly NoticeChange[], now: number): Array<GateEffect<Payload>> {
		return changes.map((change) => {
			if (change.type === 'limit-changed') {
				this.#dispatcher.setLimit(change.perSecond, now);
			}

			return {type: 'notice-changed', change};
		});
	}

	get #workerIdentity(): string | undefined {
		return this.#worker && workerIdentityOf(this.#worker);
	}

	/** Whether the worker's responses say that it leaves. Without an identity, a new process would count too. */
	get #isWorkerLeaving(): boolean {
		return this.#notices.isLeaving && this.#worker?.instance !== undefined;
	}

	#hasWaitedTooLong(call: GateCall, now: number): boolean {
		const admittedAt = this.#deduplicator.admittedAt(call) ?? now;
		return this.#admission.hasWaitedTooLong(call, admittedAt, now);
	}

	#acceptsCalls(): boolean {
		return !this.#isStopping && this.#worker?.state === 'ready' && !this.#isWorkerLeaving;
	}

	#dispatchWaiting(now: number): Array<GateEffect<Payload>> {
		const effects: Array<GateEffect<Payload>> = [];
		while (this.#acceptsCalls()) {
			const call = this.#dispatcher.takeNext(now);
			if (call === undefined) {
				break;
			}

			if (this.#crashes.suspicionOf(call, now) === 'quarantined') {
				effects.push(this.#answers.refuse(call, 'quarantined', now));
				continue;
			}

			this.#dispatcher.start(this.keyOf(call), call, now);
			effects.push({type: 'dispatch', call});
		}

		return effects;
	}

	/** Refuses the selected waiting calls, by default all. */
	#refuseWaiting(
		reason: NotRunReason,
		now: number,
		isSelected: (call: GateCall) => boolean = () => true,
	): Array<GateEffect<Payload>> {
		return this.#dispatcher
			.removeWaiting(isSelected)
			.map((call) => this.#answers.refuse(call, reason, now));
	}
}

import {type IncomingHttpHeaders} from 'node:http';
import {type Pool} from 'undici';
import {
	Gate,
	type Answer,
	type CrashNotice,
	type CrashReport,
	type GateCall,
	type GateEffect,
	type GateIdentity,
	type GateLimits,
	type NoticeChange,
	type ReportedNotice,
	type RolloutOrder,
	type ResponseLink,
	type SuspicionReport,
	type Withdrawal,
	type Worker,
	type WorkerEvidence,
	type WorkerLoad,
	type WorkerResult,
} from 'redwingmill-core';
import {DeadlineTimer} from './deadline-timer.js';
import {EvidenceCounter} from './evidence-counter.js';
import {beginExchange, type Exchange, type ExchangeResult} from './exchange.js';
import {fingerprintOf} from './fingerprint.js';
import {createWorkerPool} from './http-pool.js';
import {isAlive} from './is-alive.js';
import {type CallRequest, type Payload} from './payload.js';
import {type WorkerProtocol, type WorkerResponseClass} from './worker-protocol.js';

/** A call submitted to the gate, with the caller's request. */
export type GateRequest = Omit<GateCall, 'fingerprint'> & {
	/** Calling service, as named in the entry node's settings; absent when they name none. */
	readonly caller?: string;
	readonly request: CallRequest;
};

/** Receives the answer to a call. */
export type AnswerHandler = (answer: Answer<Payload>) => void;

/** Limits, worker protocol and callbacks of a {@link GateService}. */
export type GateServiceOptions = {
	readonly limits: GateLimits;
	readonly workerConnections: number;
	readonly answerLimitBytes: number;
	readonly identity: GateIdentity;
	/** Link over which bulk responses are sent; absent if its bandwidth isn't known. */
	readonly link?: ResponseLink;
	readonly protocol: WorkerProtocol;
	/** Called when a request is suspected of crashing the worker, or cleared of the suspicion. */
	readonly onCrashReport: (report: CrashReport) => void;
	/** Called with the crashes on a request that this node should keep for nodes that start later. */
	readonly onQuarantine?: (report: SuspicionReport) => void;
	/** Called with what became of a crash or of a report on one. */
	readonly onCrashNotice?: (notice: CrashNotice) => void;
	/** Called when the worker says something new of itself in a response. */
	readonly onNotice?: (change: NoticeChange, worker: Worker) => void;
	/** Called when the worker crashed, is unreachable, or another worker answers at its address. */
	readonly onWorkerGone: () => void;
	/** Called for each call once it has been answered. */
	readonly onAnswered?: (record: GateCallRecord) => void;
};

/** Record of an answered call at the gate, for the call log. */
export type GateCallRecord = {
	readonly request: GateRequest;
	readonly answer: Answer<Payload>;
	/** Instance of the worker at the time of the answer; absent when the worker announces none. */
	readonly instance?: string;
	/** Version of the worker's software; absent when the worker announces none. */
	readonly workerVersion?: string;
	/** Load of the worker at the time of the answer. */
	readonly load: WorkerLoad;
	/** Calls a second that the worker takes; absent when it states no limit. */
	readonly limitPerSecond?: number;
	/** Monotonic milliseconds at which the call arrived. */
	readonly arrivedAt: number;
	/** Monotonic milliseconds at which the call was sent to the worker; absent when it was not. */
	readonly dispatchedAt?: number;
};

/** A call that has not been answered yet. */
type PendingRequest = {
	readonly request: GateRequest;
	readonly arrivedAt: number;
	dispatchedAt?: number;
};

type Waiter = {
	readonly id: string;
	readonly respond: AnswerHandler;
};

const evictionIntervalMs = 1000;
const waitingCheckIntervalMs = 20;
const firstServerErrorStatus = 500;
/** Errors that no worker at the address causes, only its absence. */
const connectFailureCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	'EHOSTUNREACH',
	'ENETUNREACH',
]);
/** Status with which a worker ends a call at its deadline. */
const gatewayTimeoutStatus = 504;

/** Carries out the decisions of a {@link Gate}: worker exchanges, answers and crash reports. */
export class GateService {
	readonly #gate: Gate<Payload>;
	readonly #options: GateServiceOptions;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #requests = new Map<string, PendingRequest>();
	readonly #exchanges = new Map<string, Exchange>();
	readonly #deadlines = new DeadlineTimer();
	readonly #evidence: EvidenceCounter;
	readonly #evictionTimer: NodeJS.Timeout;
	#waitingTimer: NodeJS.Timeout | undefined;
	#pool: Pool | undefined;
	#worker: Worker | undefined;
	/** Classes of the current worker's responses that name the call that they answer. */
	readonly #identifiedClasses = new Set<WorkerResponseClass>();

	constructor(options: GateServiceOptions) {
		this.#options = options;
		const {limits, identity, link} = options;
		this.#evidence = new EvidenceCounter(identity);
		this.#gate = new Gate(limits, identity, performance.now(), link);
		this.#evictionTimer = setInterval(() => {
			this.#perform(this.#gate.tick(performance.now()));
		}, evictionIntervalMs);
	}

	get load(): WorkerLoad {
		return this.#gate.loadAt(performance.now());
	}

	get isIdle(): boolean {
		return this.#gate.isIdle;
	}

	get runningCount(): number {
		return this.#gate.runningCount;
	}

	get waitingCount(): number {
		return this.#gate.waitingCount;
	}

	/** What the worker said of itself, for the entry nodes; undefined if it said nothing. */
	get notice(): ReportedNotice | undefined {
		return this.#gate.notice;
	}

	/** Number of requests sent to workers since the start. */
	get sentCount(): number {
		return this.#gate.sentCount;
	}

	/** Calls a second that the worker takes from all nodes together; undefined if it states no limit. */
	get limitPerSecond(): number | undefined {
		return this.#gate.limitPerSecond;
	}

	setWorker(worker: Worker): void {
		const isReplaced = !isSameProcess(worker, this.#worker);
		this.#worker = worker;
		this.#evidence.setWorker(worker);
		if (isReplaced) {
			void this.#pool?.close();
			this.#identifiedClasses.clear();
			this.#pool = createWorkerPool(worker.address, this.#options.workerConnections);
		}

		this.#perform(this.#gate.setWorker(worker, performance.now()));
	}

	/** Leaves the runs that begin before this time in monotonic milliseconds out of the evidence. */
	setColdUntil(coldUntil: number): void {
		this.#evidence.setColdUntil(coldUntil);
	}

	/**
	 * Returns the worker's runs since an order of its service; undefined if nothing is counted.
	 *
	 * @param order - order whose rollout runs; the first invocation with a new one begins to count.
	 */
	evidenceSince(order: RolloutOrder | undefined): WorkerEvidence | undefined {
		this.#evidence.follow(order);
		return this.#evidence.evidence(this.runningCount + this.waitingCount);
	}

	/** Begins a planned stop: refuses new and waiting calls, while running ones finish. */
	stop(): void {
		this.#perform(this.#gate.stop(performance.now()));
	}

	async close(): Promise<void> {
		clearInterval(this.#evictionTimer);
		clearInterval(this.#waitingTimer);
		await this.#pool?.destroy();
	}

	issueTicket(): number {
		return this.#gate.issueTicket();
	}

	submit(request: GateRequest, respond: AnswerHandler): void {
		let fingerprint: string | undefined;
		const call: GateCall = {
			...request,
			fingerprint() {
				const {caller, workspace} = request;
				fingerprint ??= fingerprintOf(request.request, {caller, workspace: workspace?.name});
				return fingerprint;
			},
		};
		const key = this.#gate.keyOf(call);
		this.#addWaiter(key, request.id, respond);
		if (!this.#requests.has(key)) {
			this.#requests.set(key, {request, arrivedAt: performance.now()});
		}

		this.#perform(this.#gate.submit(call, performance.now()));
		this.#startWaitingTimer();
	}

	/**
	 * Withdraws an attempt. If the gate has already admitted it, `respond` receives its answer, at once
	 * or when the call ends.
	 */
	withdraw(
		call: Pick<GateCall, 'id' | 'ticket'>,
		ageMs: number,
		respond: AnswerHandler,
	): Withdrawal<Payload>['type'] {
		const result = this.#gate.withdraw(call, ageMs, performance.now());
		if (result.type === 'open') {
			this.#addWaiter(result.key, call.id, respond);
		} else if (result.type === 'done') {
			respond(result.answer);
		}

		return result.type;
	}

	cancel(id: string): void {
		this.#perform(this.#gate.cancel(id, performance.now()));
	}

	get crashDigest(): number {
		return this.#gate.crashDigestAt(performance.now());
	}

	/** Crash reports for a node whose digest of crashes differs. */
	get crashReports(): readonly CrashReport[] {
		return this.#gate.crashReports(performance.now());
	}

	applyCrashReport(report: CrashReport, node: string): void {
		this.#perform(this.#gate.onCrashReport(report, node, performance.now()));
	}

	/** Starts the timer that refuses overdue waiting calls; it runs only while calls are waiting. */
	#startWaitingTimer(): void {
		if (this.#gate.waitingCount === 0 || this.#waitingTimer) {
			return;
		}

		this.#waitingTimer = setInterval(() => {
			this.#perform(this.#gate.tick(performance.now()));
			if (this.#gate.waitingCount === 0) {
				clearInterval(this.#waitingTimer);
				this.#waitingTimer = undefined;
			}
		}, waitingCheckIntervalMs);
	}

	#addWaiter(key: string, id: string, respond: AnswerHandler): void {
		const waiters = this.#waiters.get(key);
		if (waiters) {
			waiters.push({id, respond});
		} else {
			this.#waiters.set(key, [{id, respond}]);
		}
	}

	#perform(effects: ReadonlyArray<GateEffect<Payload>>): void {
		for (const effect of effects) {
			switch (effect.type) {
				case 'dispatch': {
					this.#dispatch(effect.call);
					break;
				}

				case 'answer': {
					this.#answer(effect.key, effect.id, effect.answer);
					break;
				}

				case 'abort': {
					this.#abort(effect.key);
					break;
				}

				case 'suspect': {
					this.#options.onCrashReport(effect.report);
					break;
				}

				case 'keep-crashes': {
					this.#options.onQuarantine?.(effect.report);
					break;
				}

				case 'check-worker': {
					void this.#checkWorker(effect.call);
					break;
				}

				case 'crash-notice': {
					this.#options.onCrashNotice?.(effect.notice);
					break;
				}

				case 'notice-changed': {
					if (this.#worker) {
						this.#options.onNotice?.(effect.change, this.#worker);
					}

					break;
				}

				case 'worker-gone': {
					this.#options.onWorkerGone();
					break;
				}
			}
		}
	}

	#answer(key: string, id: string | undefined, answer: Answer<Payload>): void {
		const waiters = this.#waiters.get(key) ?? [];
		const others = id === undefined ? [] : waiters.filter((waiter) => waiter.id !== id);
		if (others.length > 0) {
			this.#waiters.set(key, others);
		} else {
			this.#reportAnswer(key, answer);
			this.#waiters.delete(key);
			this.#requests.delete(key);
		}

		for (const waiter of waiters) {
			if (!others.includes(waiter)) {
				waiter.respond(answer);
			}
		}
	}

	#reportAnswer(key: string, answer: Answer<Payload>): void {
		const pending = this.#requests.get(key);
		if (pending) {
			const {instance, version: workerVersion} = this.#worker ?? {};
			const {load, limitPerSecond} = this;
			this.#options.onAnswered?.({
				...pending,
				answer,
				instance,
				workerVersion,
				load,
				limitPerSecond,
			});
		}
	}

	#dispatch(call: GateCall): void {
		const key = this.#gate.keyOf(call);
		const pending = this.#requests.get(key);
		if (pending === undefined || this.#pool === undefined) {
			this.#perform(this.#gate.finish(key, {type: 'unreachable'}, performance.now()));
			return;
		}

		pending.dispatchedAt = performance.now();
		const {answerLimitBytes} = this.#options;
		const worker = this.#worker;
		const sentAt = pending.dispatchedAt;
		this.#evidence.onDispatch();
		const request = this.#workerRequest(pending.request, worker?.instance);
		const disarm = this.#deadlines.arm(call.deadlineAt, () => {
			this.#finishEarly(key, {type: 'timed-out'});
		});
		const exchange = beginExchange(
			this.#pool,
			request,
			{
				answerLimitBytes,
				isMatchingResponse: (status, headers, isFirst) =>
					this.#acceptHead(status, headers, request, {worker, sentAt, isFirst}),
			},
			(result) => {
				disarm();
				const isAwaited = this.#exchanges.delete(key);
				if (isAwaited && isSameProcess(worker, this.#worker)) {
					this.#countRun(call.group, sentAt, result);
				}

				this.#onExchangeEnded(key, request, result);
			},
		);
		this.#exchanges.set(key, exchange);
	}

	/** Counts a run as evidence for a rollout, unless it ended for a cause outside of the worker. */
	#countRun(group: string, sentAt: number, result: ExchangeResult): void {
		if (result.type === 'broken') {
			this.#evidence.onRun(group, sentAt, performance.now(), true);
		} else if (result.type === 'complete' && result.payload.status !== gatewayTimeoutStatus) {
			const isFailure = isServerFailure(result.payload.status);
			this.#evidence.onRun(group, sentAt, performance.now(), isFailure);
		}
	}

	/** Reads a response's head as it arrives. Returns whether the response may belong to the request. */
	#acceptHead(
		status: number,
		headers: IncomingHttpHeaders,
		request: CallRequest,
		{
			worker,
			sentAt,
			isFirst,
		}: {
			readonly worker: Worker | undefined;
			readonly sentAt: number;
			/** Whether it is the first response on its connection. */
			readonly isFirst: boolean;
		},
	): boolean {
		const {protocol} = this.#options;
		const responseClass = protocol.classify(status, headers, request.headers);
		const isMatching = this.#isMatching(responseClass, headers, isFirst);
		// Another process at the address says nothing of the worker, nor does an earlier process of it.
		const isOfWorker =
			isMatching && responseClass !== 'misdirected' && isSameProcess(worker, this.#worker);
		if (isOfWorker) {
			this.#perform(this.#gate.onNotice(protocol.noticeOf(headers), sentAt, performance.now()));
		}

		return isMatching;
	}

	/**
	 * Whether a response may belong to the call that waits for one. A worker that has named the call in a
	 * response of one class does so in all of them; one that doesn't is a late copy of an earlier one. A
	 * refusal promises that the call never runs, so one that names no call is believed only where no earlier
	 * one can have been sent.
	 */
	#isMatching(
		responseClass: WorkerResponseClass,
		headers: IncomingHttpHeaders,
		isFirst: boolean,
	): boolean {
		if (responseClass === 'foreign') {
			return false;
		}

		const {isIdentified} = this.#options.protocol;
		if (isIdentified?.(headers)) {
			this.#identifiedClasses.add(responseClass);
			return true;
		}

		const mayBeEarlier = isIdentified !== undefined && !isFirst && responseClass !== 'ran';
		return !mayBeEarlier && !this.#identifiedClasses.has(responseClass);
	}

	#workerRequest(
		{request, deadlineAt, caller, workspace}: GateRequest,
		instance: string | undefined,
	): CallRequest {
		const deadlineMs = Math.max(1, Math.floor(deadlineAt - performance.now()));
		const headers = this.#options.protocol.requestHeaders({
			deadlineMs,
			instance,
			caller,
			workspace: workspace?.name,
		});
		return {...request, headers: {...request.headers, ...headers}};
	}

	#onExchangeEnded(key: string, request: CallRequest, result: ExchangeResult): void {
		const finish = (workerResult: WorkerResult<Payload>) => {
			this.#perform(this.#gate.finish(key, workerResult, performance.now()));
		};

		if (result.type === 'broken' && this.#worker) {
			void isAlive(this.#worker.address).then((isWorkerAlive) => {
				finish({type: isWorkerAlive ? 'lost' : 'died'});
			});
			return;
		}

		finish(this.#workerResult(request, result));
	}

	async #checkWorker(call: GateCall): Promise<void> {
		const worker = this.#worker;
		if (worker && !(await isAlive(worker.address)) && worker === this.#worker) {
			this.#perform(this.#gate.onWorkerFoundDead(call, performance.now()));
		}
	}

	#workerResult({headers}: CallRequest, result: ExchangeResult): WorkerResult<Payload> {
		switch (result.type) {
			case 'complete': {
				const {payload} = result;
				const responseClass = this.#options.protocol.classify(
					payload.status,
					result.headers,
					headers,
				);
				return responseClass === 'shed' || responseClass === 'misdirected'
					? {type: responseClass}
					: {
							type: 'answered',
							payload,
							bytes: payload.body.length,
							isFailure: isServerFailure(payload.status),
							isExpired: payload.status === gatewayTimeoutStatus,
						};
			}

			case 'refused': {
				// A worker with too many connections resets new ones, and is no less there.
				return {type: connectFailureCodes.has(result.reason) ? 'unreachable' : 'shed'};
			}

			case 'foreign':
			case 'malformed':
			case 'broken': {
				return {type: 'lost'};
			}

			case 'too-large': {
				return {type: 'too-large'};
			}
		}
	}

	#abort(key: string): void {
		this.#finishEarly(key, {type: 'aborted'});
	}

	/** Finishes a call before its exchange has ended; the gate ignores the exchange's later result. */
	#finishEarly(key: string, result: WorkerResult<Payload>): void {
		const exchange = this.#exchanges.get(key);
		this.#exchanges.delete(key);
		this.#perform(this.#gate.finish(key, result, performance.now()));
		exchange?.abort();
	}
}

function isSameProcess(one: Worker | undefined, other: Worker | undefined): boolean {
	if (one === undefined || other === undefined) {
		return false;
	}

	return (
		one.address === other.address &&
		one.instance === other.instance &&
		one.startedAt === other.startedAt
	);
}

/** A 504 is not the worker's failure: the call was delayed before it reached the worker. */
function isServerFailure(status: number): boolean {
	return status >= firstServerErrorStatus && status !== gatewayTimeoutStatus;
}

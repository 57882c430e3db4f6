import {type Pool} from 'undici';
import {
	Gate,
	type Answer,
	type GateCall,
	type GateEffect,
	type GateLimits,
	type Withdrawal,
	type Worker,
	type WorkerLoad,
	type WorkerResult,
} from 'redwingmill-core';
import {beginExchange, type Exchange, type ExchangeResult} from './exchange.js';
import {DeadlineTimer} from './deadline-timer.js';
import {fingerprintOf} from './fingerprint.js';
import {isAlive} from './is-alive.js';
import {type CallRequest, type Payload} from './payload.js';
import {createWorkerPool} from './worker-pool.js';
import {type WorkerProtocol} from './worker-protocol.js';

/** A call on its way through the gate. */
export type GateRequest = Omit<GateCall, 'fingerprint'> & {
	/** Service whose host the call came from; absent when the node has none. */
	readonly caller?: string;
	readonly request: CallRequest;
};

/** Takes the answer to a call. */
export type AnswerHandler = (answer: Answer<Payload>) => void;

/** Bounds of the exchange with the worker. */
export type GateServiceOptions = {
	readonly limits: GateLimits;
	readonly workerConnections: number;
	readonly answerLimitBytes: number;
	/** Control address of the node. */
	readonly node: string;
	readonly protocol: WorkerProtocol;
	readonly onCrashReport: (fingerprint: string, isCleared: boolean) => void;
	/** The worker can't be reached, or another one has its address. */
	readonly onWorkerGone: () => void;
	/** Called with each call that has its answer. */
	readonly onAnswered?: (facts: GateCallRecord) => void;
};

/** What the gate decided on a call, for the log. */
export type GateCallRecord = {
	readonly request: GateRequest;
	readonly answer: Answer<Payload>;
	/** Identity of the worker at the end; absent when it tells none. */
	readonly instance?: string;
	/** Load of the worker at the end. */
	readonly load: WorkerLoad;
	/** Monotonic milliseconds at which the call came. */
	readonly arrivedAt: number;
	/** Monotonic milliseconds at which it was given to the worker; absent when it wasn't. */
	readonly dispatchedAt?: number;
};

/** A call that has no answer yet. */
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
/** A worker's answer at the deadline of a call. */
const gatewayTimeoutStatus = 504;

/** Runs the gate's decisions against the worker. */
export class GateService {
	readonly #gate: Gate<Payload>;
	readonly #options: GateServiceOptions;
	readonly #waiters = new Map<string, Waiter[]>();
	readonly #requests = new Map<string, PendingRequest>();
	readonly #exchanges = new Map<string, Exchange>();
	readonly #deadlines = new DeadlineTimer();
	readonly #evictionTimer: NodeJS.Timeout;
	#waitingTimer: NodeJS.Timeout | undefined;
	#pool: Pool | undefined;
	#worker: Worker | undefined;

	constructor(options: GateServiceOptions) {
		this.#options = options;
		this.#gate = new Gate(options.limits, options.node, performance.now());
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

	setWorker(worker: Worker): void {
		const isAnother =
			worker.address !== this.#worker?.address ||
			worker.instance !== this.#worker.instance ||
			worker.startedAt !== this.#worker.startedAt;
		this.#worker = worker;
		if (isAnother) {
			void this.#pool?.close();
			this.#pool = createWorkerPool(worker.address, this.#options.workerConnections);
		}

		this.#perform(this.#gate.setWorker(worker, performance.now()));
	}

	/** Begins a planned stop. */
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
				fingerprint ??= fingerprintOf(request.request);
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

	/** Withdraws an attempt; when it was admitted, `respond` gets its answer, now or later. */
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

	applyCrashReport(fingerprint: string, node: string, isCleared: boolean): void {
		this.#perform(this.#gate.onCrashReport(fingerprint, node, isCleared, performance.now()));
	}

	/** Refuses waiting calls in time; the timer runs only while there are any. */
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
					this.#options.onCrashReport(effect.fingerprint, effect.isCleared);
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
		const open = this.#requests.get(key);
		if (open) {
			const {instance} = this.#worker ?? {};
			this.#options.onAnswered?.({...open, answer, instance, load: this.load});
		}
	}

	#dispatch(call: GateCall): void {
		const key = this.#gate.keyOf(call);
		const open = this.#requests.get(key);
		if (open === undefined || this.#pool === undefined) {
			this.#perform(this.#gate.finish(key, {type: 'unreachable'}, performance.now()));
			return;
		}

		open.dispatchedAt = performance.now();
		const {protocol, answerLimitBytes} = this.#options;
		const {instance} = this.#worker ?? {};
		const request = this.#workerRequest(open.request, instance);
		const disarm = this.#deadlines.arm(call.deadlineAt, () => {
			this.#finishEarly(key, {type: 'timed-out'});
		});
		const exchange = beginExchange(
			this.#pool,
			request,
			{
				answerLimitBytes,
				isMatchingResponse: (status, headers) =>
					protocol.classify(status, headers, request.headers) !== 'foreign',
			},
			(result) => {
				disarm();
				this.#exchanges.delete(key);
				this.#onExchangeEnded(key, request, result);
			},
		);
		this.#exchanges.set(key, exchange);
	}

	#workerRequest(
		{request, deadlineAt, caller}: GateRequest,
		instance: string | undefined,
	): CallRequest {
		const deadlineMs = Math.max(1, Math.floor(deadlineAt - performance.now()));
		const headers = this.#options.protocol.requestHeaders({deadlineMs, instance, caller});
		return {...request, headers: {...request.headers, ...headers}};
	}

	#onExchangeEnded(key: string, request: CallRequest, result: ExchangeResult): void {
		const finish = (workerResult: WorkerResult<Payload>) => {
			this.#perform(this.#gate.finish(key, workerResult, performance.now()));
		};

		if (result.type === 'broken' && !result.hasResponseHead && this.#worker) {
			void isAlive(this.#worker.address).then((isWorkerAlive) => {
				finish({type: isWorkerAlive ? 'lost' : 'died'});
			});
			return;
		}

		finish(this.#workerResult(request, result));
	}

	#workerResult({headers}: CallRequest, result: ExchangeResult): WorkerResult<Payload> {
		switch (result.type) {
			case 'complete': {
				const {payload} = result;
				const verdict = this.#options.protocol.classify(payload.status, result.headers, headers);
				return verdict === 'shed' || verdict === 'misdirected'
					? {type: verdict}
					: {
							type: 'answered',
							payload,
							bytes: payload.body.length,
							isFailure: isServerFailure(payload.status),
						};
			}

			case 'refused': {
				return {type: 'unreachable'};
			}

			case 'foreign':
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

	/** Concludes a call before its exchange has ended; the exchange's own result comes too late. */
	#finishEarly(key: string, result: WorkerResult<Payload>): void {
		const exchange = this.#exchanges.get(key);
		this.#exchanges.delete(key);
		this.#perform(this.#gate.finish(key, result, performance.now()));
		exchange?.abort();
	}
}

/** A worker that ends at the deadline isn't at fault; what was late was so before. */
function isServerFailure(status: number): boolean {
	return status >= firstServerErrorStatus && status !== gatewayTimeoutStatus;
}

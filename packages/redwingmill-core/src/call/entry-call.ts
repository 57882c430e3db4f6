import {invariant} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {type Answer} from './call-ledger.js';
import {type EndpointChooser} from './endpoint-chooser.js';
import {isTransient, type NotRunReason, type Outcome, type UnknownReason} from './outcome.js';
import {type RetryAllowance, type RetryBudget} from './retry-budget.js';
import {type WorkerLoad} from './worker-load.js';

/** A gate's answer to an attempt. */
export type GateAnswer<Payload> = Answer<Payload> & {
	/** Load of the worker; absent when the gate didn't say. */
	readonly load?: WorkerLoad;
	/** A node further down has retried already. */
	readonly isRetried: boolean;
};

/** How the exchange of an attempt ended. */
export type AttemptResult<Payload> =
	| {readonly type: 'answered'; readonly answer: GateAnswer<Payload>}
	/** No connection: no byte was sent. */
	| {readonly type: 'refused'}
	/** The exchange broke; the gate may have admitted the call. */
	| {readonly type: 'broken'};

/** How the gate answered to withdrawing an attempt. */
export type WithdrawResult<Payload> =
	| {readonly type: 'answered'; readonly answer: GateAnswer<Payload>}
	/** The gate will never run the attempt. */
	| {readonly type: 'never-admitted'}
	| {readonly type: 'forgotten'}
	| {readonly type: 'unreachable'};

/** What the entry node does next. */
export type EntryAction<Payload> =
	| {
			readonly type: 'attempt';
			readonly endpoint: Endpoint;
			/** Nodes whose workers died of this call. */
			readonly crashedNodes: readonly string[];
	  }
	| {readonly type: 'withdraw'; readonly endpoint: Endpoint}
	| {readonly type: 'answer'; readonly answer: Answer<Payload>; readonly attempts: number};

/** Fixed facts of a call at its entry node. */
export type EntryCallOptions = {
	/** Names calls that take similar time. */
	readonly group: string;
	/** Bytes of the request and its expected answer; absent when they don't matter. */
	readonly bytes?: number;
	readonly retryAllowance: RetryAllowance;
	readonly isIdempotent: boolean;
	/** Monotonic milliseconds by which an answer is worth most; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Monotonic milliseconds at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Endpoints of the route's service when the call came. */
	readonly endpoints: readonly Endpoint[];
	/** The only endpoint that may run the call, when it carries a ticket. */
	readonly pinned?: Endpoint;
	readonly withdraws: boolean;
	/** Workers that the call may reach. Refusals by a gate don't count: its worker never saw the call. */
	readonly maximumAttempts: number;
};

const noEndpointRetryMs = 500;
/** Gates asked for one call; each costs a round trip. */
const maximumGateAttempts = 4;
/** Refusals after which the worker may have seen the call. */
const reachedWorkerReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'worker-shed',
	'worker-replaced',
]);
/** Refusals for lack of room. */
const capacityReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'queue-full',
	'queue-too-slow',
	'waited-too-long',
	'displaced',
	'deadline-too-close',
]);
/** Refusals by which an endpoint shows that it isn't what it announces. */
const workerFaultReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
]);

/** Decides the attempts of one call at its entry node, until there is a final answer. */
export class EntryCall<Payload> {
	readonly #options: EntryCallOptions;
	readonly #chooser: EndpointChooser;
	readonly #budget: RetryBudget;
	readonly #triedNodes = new Set<string>();
	#endpoint: Endpoint | undefined;
	/** Why an earlier attempt may have run; then no later one can make the call not run. */
	#unknownReason: UnknownReason | undefined;
	/** Attempts begun, including those that a gate refused. */
	#attempts = 0;
	/** Attempts that may have reached a worker. */
	#workerAttempts = 0;
	/** Whether only lack of room has kept the call from running so far. */
	#hasOnlyLackedCapacity = true;
	/** Shortest time after which one of the gates that refused wants the call back. */
	#retryAfterMs: number | undefined;
	#crashedNodes: readonly string[] = [];

	constructor(options: EntryCallOptions, chooser: EndpointChooser, budget: RetryBudget) {
		this.#options = options;
		this.#chooser = chooser;
		this.#budget = budget;
	}

	/** First action. */
	begin(now: number): EntryAction<Payload> {
		this.#budget.recordFirstAttempt(now);
		return this.#attempt(now) ?? this.#refuse('no-endpoint', noEndpointRetryMs);
	}

	/** Action after an attempt ended. */
	onAttempt(result: AttemptResult<Payload>, now: number): EntryAction<Payload> {
		const endpoint = this.#currentEndpoint();
		switch (result.type) {
			case 'answered': {
				this.#chooser.onFinished(endpoint, result.answer.load, now);
				return this.#onAnswer(result.answer, now);
			}

			case 'refused': {
				this.#chooser.onFinished(endpoint, undefined, now);
				this.#chooser.onFailure(endpoint, now);
				if (this.#options.pinned) {
					// An earlier send of the same ticket may have run at this gate.
					return this.#final({outcome: {type: 'unknown', reason: 'gate-gone'}});
				}

				return this.#onNotRun(
					{
						outcome: {type: 'not-run', reason: 'connection-refused'},
						retryAfterMs: noEndpointRetryMs,
					},
					now,
				);
			}

			case 'broken': {
				this.#chooser.onFailure(endpoint, now);
				if (this.#options.withdraws) {
					return {type: 'withdraw', endpoint};
				}

				this.#chooser.onFinished(endpoint, undefined, now);
				return this.#onUnknown('gate-gone', now);
			}
		}
	}

	/** Action after the node of the attempt fell silent: its gate can't be asked what became of it. */
	onNodeUnresponsive(now: number): EntryAction<Payload> {
		this.#chooser.onFinished(this.#currentEndpoint(), undefined, now);
		return this.#onUnknown('gate-silent', now);
	}

	/** Action after the gate was asked to withdraw the attempt. */
	onWithdraw(result: WithdrawResult<Payload>, now: number): EntryAction<Payload> {
		this.#chooser.onFinished(this.#currentEndpoint(), undefined, now);
		switch (result.type) {
			case 'answered': {
				return this.#onAnswer(result.answer, now);
			}

			case 'never-admitted': {
				return this.#onNotRun({outcome: {type: 'not-run', reason: 'withdrawn'}}, now);
			}

			case 'forgotten': {
				return this.#onUnknown('evicted', now);
			}

			case 'unreachable': {
				return this.#onUnknown('gate-gone', now);
			}
		}
	}

	#onAnswer(answer: GateAnswer<Payload>, now: number): EntryAction<Payload> {
		switch (answer.outcome.type) {
			case 'ran': {
				this.#chooser.onSuccess(this.#currentEndpoint());
				this.#chooser.onRunTime(this.#currentEndpoint(), this.#options.group, answer.ranMs);
				return this.#final(answer);
			}

			case 'not-run': {
				if (workerFaultReasons.has(answer.outcome.reason)) {
					this.#chooser.onFailure(this.#currentEndpoint(), now);
				}

				return answer.isRetried ? this.#final(answer) : this.#onNotRun(answer, now);
			}

			case 'unknown': {
				if (answer.outcome.reason === 'worker-died') {
					this.#crashedNodes = [...this.#crashedNodes, this.#currentEndpoint().node];
					this.#chooser.onFailure(this.#currentEndpoint(), now);
				}

				return answer.isRetried ? this.#final(answer) : this.#onUnknown(answer.outcome.reason, now);
			}
		}
	}

	/** The call wasn't run, so any method may be tried elsewhere. */
	#onNotRun(answer: Answer<Payload>, now: number): EntryAction<Payload> {
		const {outcome, retryAfterMs} = answer;
		const reason = outcome.type === 'not-run' ? outcome.reason : undefined;
		const mayRetry = reason !== undefined && (isTransient(reason) || reason === 'withdrawn');
		const isHopeless = reason === 'quarantined';
		const hasArrived = reason !== undefined && reachedWorkerReasons.has(reason);
		this.#recordRetryAfter(retryAfterMs);
		this.#hasOnlyLackedCapacity &&= reason !== undefined && capacityReasons.has(reason);
		if (!mayRetry || isHopeless) {
			return this.#final(answer);
		}

		const retry = hasArrived ? this.#tryAnotherWorker(now) : this.#tryAnotherGate(now);
		return retry ?? this.#final({...answer, retryAfterMs: this.#retryAfterMs});
	}

	/** The call may have run, so only idempotent ones are tried again. */
	#onUnknown(reason: UnknownReason, now: number): EntryAction<Payload> {
		this.#unknownReason ??= reason;
		this.#hasOnlyLackedCapacity = false;
		const retry = this.#options.isIdempotent ? this.#tryAnotherWorker(now) : undefined;
		return retry ?? this.#final({outcome: {type: 'unknown', reason}});
	}

	/** Another worker, at the cost of the budget: one may have been reached already. */
	#tryAnotherWorker(now: number): EntryAction<Payload> | undefined {
		this.#workerAttempts += 1;
		const isAllowed =
			this.#workerAttempts < this.#options.maximumAttempts &&
			this.#canAttempt(now) &&
			this.#budget.tryTake(this.#options.retryAllowance, now);
		return isAllowed ? this.#attempt(now) : undefined;
	}

	/** Another gate, free of cost: no worker has seen the call in this attempt. */
	#tryAnotherGate(now: number): EntryAction<Payload> | undefined {
		return this.#canAttempt(now) ? this.#attempt(now) : undefined;
	}

	#canAttempt(now: number): boolean {
		return (
			this.#attempts < maximumGateAttempts &&
			now < this.#options.deadlineAt &&
			this.#hasOtherEndpoint()
		);
	}

	#recordRetryAfter(retryAfterMs: number | undefined): void {
		if (retryAfterMs !== undefined) {
			this.#retryAfterMs = Math.min(retryAfterMs, this.#retryAfterMs ?? retryAfterMs);
		}
	}

	#hasOtherEndpoint(): boolean {
		const {pinned, endpoints} = this.#options;
		return pinned === undefined && endpoints.some(({node}) => !this.#triedNodes.has(node));
	}

	#attempt(now: number): EntryAction<Payload> | undefined {
		const {pinned, endpoints, group, bytes} = this.#options;
		// A call that failed goes wherever it can be run; one that finds no room looks at the costs.
		const targetAt = this.#hasOnlyLackedCapacity ? this.#options.targetAt : undefined;
		const endpoint =
			pinned ?? this.#chooser.choose(endpoints, this.#triedNodes, now, {group, targetAt, bytes});
		if (endpoint === undefined) {
			return undefined;
		}

		this.#endpoint = endpoint;
		this.#attempts += 1;
		this.#triedNodes.add(endpoint.node);
		this.#chooser.onSent(endpoint);
		return {
			type: 'attempt',
			endpoint,
			crashedNodes: this.#crashedNodes,
		};
	}

	#refuse(reason: NotRunReason, retryAfterMs: number): EntryAction<Payload> {
		const outcome: Outcome = {type: 'not-run', reason};
		return this.#final({outcome, retryAfterMs});
	}

	#final(answer: Answer<Payload>): EntryAction<Payload> {
		const attempts = this.#attempts;
		if (this.#unknownReason !== undefined && answer.outcome.type === 'not-run') {
			const outcome: Outcome = {type: 'unknown', reason: this.#unknownReason};
			return {type: 'answer', answer: {...answer, outcome}, attempts};
		}

		return {type: 'answer', answer, attempts};
	}

	#currentEndpoint(): Endpoint {
		invariant(this.#endpoint, 'An attempt ended that was not begun');
		return this.#endpoint;
	}
}

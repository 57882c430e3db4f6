import {invariant} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {
	lacksProcessorTime,
	type AdaptiveThrottle,
	type ThrottledCall,
} from './adaptive-throttle.js';
import {type Answer} from './call-ledger.js';
import {type CallProfile, type ChoiceReason} from './choice/choice-policy.js';
import {type EndpointChooser} from './endpoint-chooser.js';
import {isTransient, type NotRunReason, type Outcome, type UnknownReason} from './outcome.js';
import {type KnownLimit, type ReportedNotice} from './reported-notices.js';
import {type RetryAllowance, type RetryBudget} from './retry-budget.js';
import {type WorkerLoad} from './worker-load.js';

/** A gate's answer to an attempt. */
export type GateAnswer<Payload> = Answer<Payload> & {
	/** Load of the worker; absent when the gate reported none. */
	readonly load?: WorkerLoad;
	/** What the worker said of itself; absent when it said nothing. */
	readonly notice?: ReportedNotice;
	/** Whether a node further along the call's path has already retried. */
	readonly isRetried: boolean;
	/** Time from the attempt's arrival at the gate to the answer, in milliseconds; absent if it isn't known. */
	readonly heldMs?: number;
};

/** Result of an attempt's exchange with a gate. */
export type AttemptResult<Payload> =
	| {readonly type: 'answered'; readonly answer: GateAnswer<Payload>}
	/** No connection: no byte was sent. */
	| {readonly type: 'refused'}
	/** The exchange broke; the gate may have admitted the call. */
	| {readonly type: 'broken'};

/** Result of asking a gate to withdraw an attempt. */
export type WithdrawResult<Payload> =
	| {readonly type: 'answered'; readonly answer: GateAnswer<Payload>}
	/** The gate will never run the attempt. */
	| {readonly type: 'never-admitted'}
	/** The gate may have evicted the outcome of the attempt. */
	| {readonly type: 'forgotten'}
	/** The gate's process refused the connection, so it has ended, and the attempt with it. */
	| {readonly type: 'gone'}
	/** The gate didn't answer. It may be cut off, and its worker may be running the attempt. */
	| {readonly type: 'unreachable'};

/** Next action of the entry node. */
export type EntryAction<Payload> =
	| {
			readonly type: 'attempt';
			readonly endpoint: Endpoint;
			/** Nodes whose workers crashed while running this call. */
			readonly crashedNodes: readonly string[];
			/** Limit that the endpoint's worker has stated; absent when none is known. */
			readonly knownLimit?: KnownLimit;
			/**
			 * Expected time of the attempt on its way there and back, in milliseconds: the gate has to answer by so much
			 * before the call's target and deadline.
			 */
			readonly transitMs: number;
			/** Why the endpoint was chosen; absent when it is pinned or the policy gives no reason. */
			readonly reason?: ChoiceReason;
	  }
	| {
			readonly type: 'withdraw';
			readonly endpoint: Endpoint;
			/** Delay before the gate is asked, in milliseconds. */
			readonly delayMs: number;
			/** Time after which the gate counts as unreachable, in milliseconds. */
			readonly timeoutMs: number;
	  }
	| {readonly type: 'answer'; readonly answer: Answer<Payload>; readonly attempts: number};

/** Options of a call at its entry node. */
export type EntryCallOptions = Omit<ThrottledCall, 'transitShare'> & {
	/** Size of the request and its expected answer; absent when it doesn't count. */
	readonly bytes?: number;
	/** Whether the answer is so large that it is scheduled by the host's link. */
	readonly isBulk?: boolean;
	readonly retryAllowance: RetryAllowance;
	readonly isIdempotent: boolean;
	/** Latency target in monotonic milliseconds; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Time from a caller's first try to the target in milliseconds; absent when only the deadline counts. */
	readonly targetMs?: number;
	/** Monotonic milliseconds at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Endpoints of the route's service at the time the call arrived. */
	readonly endpoints: readonly Endpoint[];
	/** Endpoints for every attempt but the first; absent when they are the same. */
	readonly fallback?: readonly Endpoint[];
	/** The only endpoint that may run the call; absent when the call has no ticket. */
	readonly pinned?: Endpoint;
	/** Whether to withdraw an attempt whose exchange broke, to learn its outcome. */
	readonly withdraws: boolean;
	/**
	 * Maximum number of workers that may see the call. Refusals by a gate itself don't count, because
	 * its worker never saw the call.
	 */
	readonly maximumAttempts: number;
};

const noEndpointRetryMs = 500;
/** Time in which a gate that can be reached answers a withdrawal, although its host is busy. */
const withdrawalTimeoutMs = 400;
/** The same for a gate that is asked again: TCP repeats a lost connection request only after a second. */
const repeatedWithdrawalTimeoutMs = 250;
const withdrawalIntervalMs = 100;
/** Maximum number of gates tried for one call; each costs a round trip. */
const maximumGateAttempts = 4;
/** Refusals for which the worker may have seen the call. */
const reachedWorkerReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'worker-shed',
	'worker-replaced',
]);
/** Refusals of a gate whose worker has more calls than it can run in time. */
const occupancyReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'queue-full',
	'queue-too-slow',
	'waited-too-long',
	'displaced',
	'deadline-too-close',
]);
/** Refusals for lack of capacity. */
const capacityReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'worker-limited',
	...occupancyReasons,
]);
/** Refusals that contradict what the endpoint announced, and so count as its failures. */
const workerFaultReasons: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
	'worker-absent',
	'worker-shed',
	'worker-unreachable',
	'worker-replaced',
	'worker-stalled',
]);

/** Decides on the attempts of one call at its entry node until there is a final answer. */
export class EntryCall<Payload> {
	readonly #options: EntryCallOptions;
	readonly #chooser: EndpointChooser;
	readonly #budget: RetryBudget;
	readonly #throttle: AdaptiveThrottle | undefined;
	readonly #triedNodes = new Set<string>();
	#endpoint: Endpoint | undefined;
	/** When the attempt in progress was begun. */
	#sentAt = 0;
	/** Why an earlier attempt may have run; if so, no later refusal makes the call `not-run`. */
	#unknownReason: UnknownReason | undefined;
	/** Number of attempts begun, including those that a gate refused. */
	#attempts = 0;
	/** Number of attempts that may have reached a worker. */
	#workerAttempts = 0;
	/** Whether nothing but a lack of capacity has kept the call from running so far. */
	#hasOnlyLackedCapacity = true;
	/** Shortest retry delay in milliseconds that any of the refusing gates has asked for. */
	#retryAfterMs: number | undefined;
	#crashedNodes: readonly string[] = [];
	/** Lowest occupancy of a worker whose gate has refused the call for it, see `EndpointChooser`. */
	#refusedAt: number | undefined;

	/** @param throttle - may refuse the call before any gate is asked; absent if nothing may. */
	constructor(
		options: EntryCallOptions,
		chooser: EndpointChooser,
		budget: RetryBudget,
		throttle?: AdaptiveThrottle,
	) {
		this.#options = options;
		this.#chooser = chooser;
		this.#budget = budget;
		this.#throttle = throttle;
	}

	/** Returns the first action. */
	begin(now: number): EntryAction<Payload> {
		this.#budget.recordFirstAttempt(now);
		const throttle = this.#throttle;
		if (throttle && !this.#hasRoomAtOwnNode(now) && throttle.refuses(this.#throttled(now), now)) {
			return this.#refuse('throttled', throttle.retryAfterMs(this.#options), now);
		}

		return this.#attempt(now) ?? this.#refuse('no-endpoint', noEndpointRetryMs, now);
	}

	/** Returns the action after an attempt has ended. */
	onAttempt(result: AttemptResult<Payload>, now: number): EntryAction<Payload> {
		const endpoint = this.#currentEndpoint();
		switch (result.type) {
			case 'answered': {
				this.#chooser.onFinished(endpoint, result.answer.load, now);
				this.#recordTransit(result.answer, now);
				return this.#onAnswer(result.answer, now);
			}

			case 'refused': {
				this.#chooser.onFinished(endpoint, undefined, now);
				this.#chooser.onFailure(endpoint, now);
				if (this.#options.pinned) {
					// An earlier attempt with the same ticket may have run at this gate.
					return this.#final({outcome: {type: 'unknown', reason: 'gate-gone'}}, now);
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
					return this.#withdraw(0);
				}

				this.#chooser.onFinished(endpoint, undefined, now);
				return this.#onUnknown('gate-gone', now);
			}
		}
	}

	/** Returns the action after the gate was asked to withdraw the attempt. */
	onWithdraw(result: WithdrawResult<Payload>, now: number): EntryAction<Payload> {
		if (result.type === 'unreachable' && this.#mayStillAnswer(now)) {
			return this.#withdraw(withdrawalIntervalMs);
		}

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

			case 'gone': {
				return this.#onUnknown('gate-gone', now);
			}

			case 'unreachable': {
				return this.#onUnknown('gate-silent', now);
			}
		}
	}

	/**
	 * Whether to keep asking a gate that doesn't answer. A call that can't be repeated elsewhere has no
	 * other way to its answer, which the gate still has when it is reached again.
	 */
	#mayStillAnswer(now: number): boolean {
		return this.#isAskedAgain() && now + withdrawalIntervalMs < this.#options.deadlineAt;
	}

	#isAskedAgain(): boolean {
		return !this.#options.isIdempotent || this.#options.pinned !== undefined;
	}

	#withdraw(delayMs: number): EntryAction<Payload> {
		const endpoint = this.#currentEndpoint();
		const timeoutMs = this.#isAskedAgain() ? repeatedWithdrawalTimeoutMs : withdrawalTimeoutMs;
		return {type: 'withdraw', endpoint, delayMs, timeoutMs};
	}

	#onAnswer(answer: GateAnswer<Payload>, now: number): EntryAction<Payload> {
		const hasRun = answer.outcome.type === 'ran';
		this.#chooser.onNotice(this.#currentEndpoint(), answer.notice, hasRun);
		switch (answer.outcome.type) {
			case 'ran': {
				this.#chooser.onSuccess(this.#currentEndpoint());
				this.#chooser.onRunTime(this.#currentEndpoint(), this.#options.group, answer.ranMs);
				return this.#final(answer, now);
			}

			case 'not-run': {
				if (workerFaultReasons.has(answer.outcome.reason)) {
					this.#chooser.onFailure(this.#currentEndpoint(), now);
				}

				return answer.isRetried ? this.#final(answer, now) : this.#onNotRun(answer, now);
			}

			case 'unknown': {
				if (answer.outcome.reason === 'worker-died') {
					this.#crashedNodes = [...this.#crashedNodes, this.#currentEndpoint().node];
					this.#chooser.onFailure(this.#currentEndpoint(), now);
				}

				return answer.isRetried
					? this.#final(answer, now)
					: this.#onUnknown(answer.outcome.reason, now);
			}
		}
	}

	/** Handles an attempt that wasn't run, after which calls of any method may be retried. */
	#onNotRun(answer: Answer<Payload>, now: number): EntryAction<Payload> {
		const {outcome, retryAfterMs} = answer;
		const reason = outcome.type === 'not-run' ? outcome.reason : undefined;
		const mayRetry = reason !== undefined && (isTransient(reason) || reason === 'withdrawn');
		const isQuarantined = reason === 'quarantined';
		const hasReachedWorker = reason !== undefined && reachedWorkerReasons.has(reason);
		this.#recordRetryAfter(retryAfterMs);
		if (reason !== undefined && occupancyReasons.has(reason)) {
			this.#recordOccupancy(now);
		}

		this.#hasOnlyLackedCapacity &&= reason !== undefined && capacityReasons.has(reason);
		if (!mayRetry || isQuarantined) {
			return this.#final(answer, now);
		}

		const retry = hasReachedWorker ? this.#tryAnotherWorker(now) : this.#tryAnotherGate(now);
		return retry ?? this.#final({...answer, retryAfterMs: this.#retryAfterMs}, now);
	}

	/** Handles an attempt that may have run, after which only idempotent calls are retried. */
	#onUnknown(reason: UnknownReason, now: number): EntryAction<Payload> {
		this.#unknownReason ??= reason;
		this.#hasOnlyLackedCapacity = false;
		const retry = this.#options.isIdempotent ? this.#tryAnotherWorker(now) : undefined;
		return retry ?? this.#final({outcome: {type: 'unknown', reason}}, now);
	}

	/** Tries another worker, within the retry budget since one may have been reached already. */
	#tryAnotherWorker(now: number): EntryAction<Payload> | undefined {
		this.#workerAttempts += 1;
		const isAllowed =
			this.#workerAttempts < this.#options.maximumAttempts &&
			this.#canAttempt(now) &&
			this.#budget.tryTake(this.#options.retryAllowance, now);
		return isAllowed ? this.#attempt(now) : undefined;
	}

	/** Tries another gate, outside the retry budget since no worker has seen this attempt. */
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

	/** Records how busy the endpoint is that has just refused the call, as its gate reported with the refusal. */
	#recordOccupancy(now: number): void {
		const occupancy = this.#chooser.occupancyOf(this.#currentEndpoint(), now);
		if (occupancy !== undefined) {
			this.#refusedAt = Math.min(occupancy, this.#refusedAt ?? occupancy);
		}
	}

	/** Bulk answers wait for the host's link, which gates and entries expect by other means. */
	#recordTransit({heldMs}: GateAnswer<Payload>, now: number): void {
		if (heldMs !== undefined && !this.#options.isBulk) {
			this.#chooser.onTransit(now - this.#sentAt - heldMs, now);
		}
	}

	#hasOtherEndpoint(): boolean {
		const {pinned, endpoints, fallback = endpoints} = this.#options;
		return pinned === undefined && fallback.some(({node}) => !this.#triedNodes.has(node));
	}

	#throttled(now: number): ThrottledCall {
		const {group, workspace, targetMs} = this.#options;
		const transitShare = targetMs === undefined ? 0 : this.#chooser.fadedTransitMs(now) / targetMs;
		return {group, workspace, transitShare};
	}

	#hasRoomAtOwnNode(now: number): boolean {
		return this.#chooser.hasRoomAtOwnNode(this.#options.endpoints, now, this.#profile(now));
	}

	#profile(now: number): CallProfile {
		const {group, bytes} = this.#options;
		// After a failure the call goes wherever it can run. Otherwise the target decides whether a remote
		// endpoint is worth its cost.
		const targetAt = this.#hasOnlyLackedCapacity ? this.#options.targetAt : undefined;
		const refusedAt = this.#refusedAt;
		// A call of a worker's run, which isn't throttled, holds a slot: its refusal costs more than an exchange.
		const needsFreeSlot =
			refusedAt !== undefined &&
			this.#throttle !== undefined &&
			lacksProcessorTime(this.#throttled(now));
		return {group, targetAt, bytes, refusedAt, needsFreeSlot};
	}

	#attempt(now: number): EntryAction<Payload> | undefined {
		const {pinned, fallback} = this.#options;
		const endpoints = (this.#attempts > 0 ? fallback : undefined) ?? this.#options.endpoints;
		const endpoint =
			pinned ?? this.#chooser.choose(endpoints, this.#triedNodes, now, this.#profile(now));
		if (endpoint === undefined) {
			return undefined;
		}

		const reason = pinned ? undefined : this.#chooser.reasonOf(endpoint);
		this.#endpoint = endpoint;
		this.#sentAt = now;
		this.#attempts += 1;
		this.#triedNodes.add(endpoint.node);
		this.#chooser.onSent(endpoint, now);
		return {
			type: 'attempt',
			endpoint,
			crashedNodes: this.#crashedNodes,
			knownLimit: this.#chooser.limitOf(endpoint),
			transitMs: this.#chooser.transitMsTo(endpoint),
			...(reason !== undefined && {reason}),
		};
	}

	#refuse(reason: NotRunReason, retryAfterMs: number, now: number): EntryAction<Payload> {
		const outcome: Outcome = {type: 'not-run', reason};
		return this.#final({outcome, retryAfterMs}, now);
	}

	#recordAdmission({outcome, retryAfterMs}: Answer<Payload>, now: number): void {
		if (outcome.type === 'not-run' && capacityReasons.has(outcome.reason)) {
			this.#throttle?.onRefused(this.#throttled(now), retryAfterMs, now);
		} else {
			this.#throttle?.onAdmitted(this.#throttled(now), now);
		}
	}

	#final(answer: Answer<Payload>, now: number): EntryAction<Payload> {
		const attempts = this.#attempts;
		if (attempts > 0) {
			this.#recordAdmission(answer, now);
		}

		if (this.#unknownReason !== undefined && answer.outcome.type === 'not-run') {
			const outcome: Outcome = {type: 'unknown', reason: this.#unknownReason};
			return {type: 'answer', answer: {...answer, outcome}, attempts};
		}

		return {type: 'answer', answer, attempts};
	}

	#currentEndpoint(): Endpoint {
		invariant(this.#endpoint, 'Result of an attempt received before any attempt was begun');
		return this.#endpoint;
	}
}

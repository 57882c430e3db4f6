import {
	AdaptiveThrottle,
	allowanceOfNode,
	EndpointChooser,
	EntryCall,
	formatTicket,
	GroupMeans,
	matchRoute,
	parseTicket,
	RefusedCalls,
	RetryBudget,
	VersionChooser,
	workerIdentityOf,
	type Answer,
	type AttemptResult,
	type Endpoint,
	type NotRunReason,
	type QuotaDecision,
	type ReportedLoad,
	type RoutingTable,
	type Ticket,
	type VersionChoice,
} from 'redwingmill-core';
import {digestOf, type Random} from 'redwingmill-shared';
import {anyMethod, type Route, type Workspace} from 'redwingmill-text';
import {type ControlPlane} from '../control/control-plane.js';
import {type Metrics} from '../observe/metrics.js';
import {type Settings} from '../settings/settings.js';
import {DeadlineTimer, type Disarm} from './deadline-timer.js';
import {EntryExchange, type EntryCallRecord} from './entry-exchange.js';
import {type Exchange} from './exchange.js';
import {type Attempt, type GateClient} from './gate-client.js';
import {type GateService} from './gate-service.js';
import {headerNames} from './headers.js';
import {type CallRequest, type Payload} from './payload.js';
import {SplitChooser} from './split-chooser.js';

/** Answer to a caller. */
export type EntryAnswer = Answer<Payload> & {
	readonly isRetried: boolean;
};

/** A call received from a caller. Times are monotonic milliseconds. */
export type CallerCall = {
	readonly request: CallRequest;
	readonly route: Route;
	/** Workspace of the caller; absent when the call needs none. */
	readonly workspace?: Workspace;
	/** Request id given by the caller; absent when it gave none. */
	readonly requestId?: string;
	/** Method, host and path, by which a repeated request is recognised. */
	readonly requestKey: string;
	readonly startedAt: number;
	/** Time at which the caller first sent the request. */
	readonly firstTryAt: number;
	/** Time by which an answer is most useful; absent when only the deadline counts. */
	readonly targetAt?: number;
	readonly deadlineAt: number;
};

/** A caller's call in progress. */
export type EntryHandle = {
	/** Ends the call when its caller has disconnected. */
	readonly cancel: () => void;
};

/** Result of looking up the route of a call. */
export type RouteLookup =
	| {
			readonly type: 'found';
			readonly route: Route;
			/** Workspace of the caller; absent when the call needs none. */
			readonly workspace?: Workspace;
	  }
	| {readonly type: 'refused'; readonly reason: NotRunReason; readonly retryAfterMs?: number};

const withinQuota: QuotaDecision = {type: 'admitted'};
const routeRetryMs = 1000;
/** Long enough to fetch the newer version from another node. */
const behindRetryMs = 300;
const notServingRetryMs = 1000;
const unconfirmedRetryMs = 1000;
/** Interval at which the confirmation is checked: a check reads the state of all nodes. */
const confirmationCheckMs = 50;
/** Time after the deadline within which the gate's own answer may still arrive. */
const deadlineGraceMs = 20;
const msPerSecond = 1000;
const noEndpoints: readonly Endpoint[] = [];
const initialResponseBytes = 1024;
const idRadix = 36;
const addressDigestDigits = 4;
/**
 * Share of the mesh's retry budget that nodes spend on retries; the rest is for the calls that the
 * repeated run of a call makes.
 */
const nodeRetryShare = 0.6;

/** Sends callers' calls to gates and retries them until each has a final answer. */
export class EntryService {
	#settings: Settings;
	readonly #control: ControlPlane;
	readonly #chooser: EndpointChooser;
	readonly #gate: GateService;
	readonly #client: GateClient;
	readonly #metrics: Metrics;
	readonly #random: Random;
	readonly #throttles = new Map<string, AdaptiveThrottle>();
	readonly #budgets = new Map<string, RetryBudget>();
	readonly #splitChooser: SplitChooser;
	/** Absent where operators order no rollouts. */
	readonly #versionChooser: VersionChooser | undefined;
	#endpointsByNode: ReadonlyMap<string, Endpoint> = new Map();
	readonly #refusedCalls = new RefusedCalls();
	/** Mean time to the answer of a worker in milliseconds, by route. */
	readonly #answerMs = new GroupMeans(0);
	/** Mean response size in bytes, by route. */
	readonly #responseBytes = new GroupMeans(initialResponseBytes);
	readonly #onAnswered: ((record: EntryCallRecord) => void) | undefined;
	readonly #deadlines = new DeadlineTimer();
	readonly #exchanges = new Set<EntryExchange>();
	readonly #idPrefix: string;
	/** Whether the configuration was unconfirmed when that was last checked. */
	#confirmation = {at: Number.NEGATIVE_INFINITY, isUnconfirmed: false};
	#sequence = 0;

	constructor(
		settings: Settings,
		dependencies: {
			readonly control: ControlPlane;
			readonly gate: GateService;
			readonly client: GateClient;
			readonly metrics: Metrics;
			readonly random: Random;
			readonly onAnswered?: (record: EntryCallRecord) => void;
		},
	) {
		const {dataCentre, calls, rollouts} = settings;
		this.#settings = settings;
		this.#control = dependencies.control;
		this.#onAnswered = dependencies.onAnswered;
		this.#splitChooser = new SplitChooser(dependencies.random);
		this.#versionChooser = rollouts && new VersionChooser(dependencies.random);
		this.#gate = dependencies.gate;
		this.#client = dependencies.client;
		this.#metrics = dependencies.metrics;
		this.#random = dependencies.random;
		const {choice, slowStartMs} = calls;
		const {address, incarnation} = dependencies.control.self;
		const ownNode = {node: address, load: () => dependencies.gate.load};
		this.#chooser = new EndpointChooser(
			{policy: choice, slowStartMs, dataCentre, ownNode},
			dependencies.random,
		);
		this.#idPrefix = idPrefixOf(address, incarnation);
	}

	/** Applies changed settings of the caller and of calls. */
	reload({caller, calls}: Settings): void {
		this.#settings = {...this.#settings, caller, calls};
	}

	get inProgressCount(): number {
		return this.#exchanges.size;
	}

	/** Applies a new routing table and discards the state of endpoints and routes that it lacks. */
	onRouting(routing: RoutingTable): void {
		const endpoints = [...routing.endpoints.values()].flat();
		const now = performance.now();
		this.#chooser.retain(endpoints, now);
		this.#endpointsByNode = new Map(endpoints.map((endpoint) => [endpoint.node, endpoint]));
		this.#client.retain(new Set(endpoints.map((endpoint) => endpoint.gateAddress)));
		this.#splitChooser.retain(routing.routes.map(({route}) => route));
		for (const service of this.#throttles.keys()) {
			if (!routing.endpoints.has(service)) {
				this.#throttles.delete(service);
			}
		}

		for (const [service, budget] of this.#budgets) {
			// A later configuration may have the service again.
			if (!routing.endpoints.has(service) && budget.isUnusedAt(now)) {
				this.#budgets.delete(service);
			}
		}
	}

	/**
	 * Handles a node that became unresponsive. Its connections are closed, after which the attempts that
	 * wait there ask its gate on a new one: the node may only have been slow to report.
	 */
	onNodeUnresponsive(node: string): void {
		this.#client.destroyConnections(node);
	}

	/** Records the loads that other nodes reported of their workers, by control address. */
	onLoads(loads: ReadonlyMap<string, ReportedLoad>): void {
		const now = performance.now();
		for (const [node, {load, ageMs}] of loads) {
			const endpoint = this.#endpointsByNode.get(node);
			if (endpoint) {
				this.#chooser.onLoad(endpoint, load, now - ageMs);
			}
		}
	}

	/** Expected time of a call on its way to the gate of another node and back, in milliseconds. */
	get transitMs(): number {
		return this.#chooser.transitMs;
	}

	/** How unevenly the replicas of each service in this data centre are loaded, see `EndpointChooser`. */
	get busyShareSpreads(): ReadonlyMap<string, number> {
		const spreads = new Map<string, number>();
		for (const [service, endpoints] of this.#control.routing.endpoints) {
			const spread = this.#chooser.busyShareSpread(endpoints);
			if (spread !== undefined) {
				spreads.set(service, spread);
			}
		}

		return spreads;
	}

	/** Whether calls on routes that aren't public need a workspace's key. */
	get hasWorkspaces(): boolean {
		return this.#control.routing.workspaces !== undefined;
	}

	/**
	 * Finds the route and the workspace of a call, or the reason to refuse it.
	 *
	 * @param host - host that the call names, in lower case and without a port.
	 * @param key - key of a workspace that the call carries.
	 */
	findRoute(method: string, path: string, host?: string, key?: string): RouteLookup {
		const {isServing, routing} = this.#control;
		if (!isServing) {
			return {type: 'refused', reason: 'not-serving', retryAfterMs: notServingRetryMs};
		}

		const found = matchRoute(routing.routes, method, path, host);
		if (found === undefined) {
			return this.#refuseUnknown('no-route');
		}

		if (routing.workspaces && !found.route.isPublic && key !== undefined && this.#isUnconfirmed()) {
			const reason = 'configuration-unconfirmed';
			return {type: 'refused', reason, retryAfterMs: unconfirmedRetryMs};
		}

		const authorization = routing.workspaces?.authorize(found.route, key);
		if (authorization?.type === 'denied') {
			return this.#refuseUnknown('key-unknown');
		}

		return found.type === 'active'
			? {type: 'found', route: found.route, workspace: authorization?.workspace}
			: {type: 'refused', reason: 'route-inactive', retryAfterMs: routeRetryMs};
	}

	/** Takes a call from its workspace's quota. The call that is refused has not run. */
	admitToQuota(workspace: Workspace | undefined): QuotaDecision {
		const {quotas} = this.#control;
		return workspace?.quota === undefined || quotas === undefined
			? withinQuota
			: quotas.admit(workspace);
	}

	/** Gives the credit of a call back that was admitted and ended before an attempt began. */
	refundQuota(workspace: Workspace | undefined): void {
		if (workspace?.quota !== undefined) {
			this.#control.quotas?.refund(workspace);
		}
	}

	/**
	 * Returns the time at which the caller first sent a request, in monotonic milliseconds, and forgets
	 * an earlier refusal of it.
	 */
	firstTryAt(request: string, now: number): number {
		return this.#refusedCalls.takeFirstTry(request, now);
	}

	/** Returns the usual time to an answer on a route, in milliseconds; 0 while it isn't known. */
	usualAnswerMs(route: Route): number {
		return this.#answerMs.expected(route.path);
	}

	/** Answers all calls in progress, whose outcome isn't known, as this node stops. */
	stopCalls(): void {
		for (const exchange of this.#exchanges) {
			exchange.giveUp('node-stopped');
		}
	}

	/** Carries out a call. `onAnswer` is called exactly once, unless the call is cancelled. */
	begin(call: CallerCall, onAnswer: (answer: EntryAnswer) => void): EntryHandle {
		const {request, route} = call;
		const service = this.#splitChooser.choose(route);
		const ticket = parseTicket(String(request.headers[headerNames.idempotencyKey] ?? ''));
		const pinned = ticket && this.#endpointOf(ticket, service);
		if (ticket && pinned === undefined) {
			onAnswer({outcome: {type: 'unknown', reason: 'gate-gone'}, isRetried: false});
			return {cancel: () => undefined};
		}

		const exchange = new EntryExchange({
			...call,
			call: this.#newCall(call, service, pinned),
			destination: service,
			caller: this.#settings.caller,
			ticket: ticket?.sequence,
			service: this,
			onAnswer,
		});
		this.#exchanges.add(exchange);
		exchange.begin();
		return exchange;
	}

	/** Requests a ticket from a gate of the route's service. `onTicket` gets undefined on failure. */
	requestTicket(route: Route, onTicket: (ticket: string | undefined) => void): void {
		const {endpoints} = this.#chooseVersion(route.service);
		const endpoint = this.#chooser.choose(endpoints, new Set(), performance.now());
		if (endpoint === undefined) {
			onTicket(undefined);
			return;
		}

		const {node, dataCentre, incarnation} = endpoint;
		const onSequence = (sequence: number | undefined) => {
			onTicket(
				sequence === undefined
					? undefined
					: formatTicket({node, dataCentre, incarnation, sequence}),
			);
		};

		if (this.#isLocal(endpoint)) {
			onSequence(this.#gate.issueTicket());
		} else {
			this.#client.requestTicket(endpoint, onSequence);
		}
	}

	/** Returns a random fraction from 0 to 1, to spread the retries of callers. */
	jitter(): number {
		return this.#random.fraction();
	}

	/** @internal */
	nextId(): string {
		this.#sequence += 1;
		return this.#idPrefix + this.#sequence.toString(idRadix);
	}

	/** @internal */
	armDeadline(deadlineAt: number, onDeadline: () => void): Disarm {
		return this.#deadlines.arm(deadlineAt + deadlineGraceMs, onDeadline);
	}

	/** @internal Sends an attempt, directly when its gate is in this process. */
	send(attempt: Attempt, onResult: (result: AttemptResult<Payload>) => void): Exchange {
		if (!this.#isLocal(attempt.endpoint)) {
			return this.#client.send(attempt, (result) => {
				if (result.type === 'answered') {
					this.#control.markNodeAlive(attempt.endpoint.node);
				}

				onResult(result);
			});
		}

		this.#gate.submit({...attempt, service: attempt.endpoint.service}, (answer) => {
			const {load, notice} = this.#gate;
			onResult({type: 'answered', answer: {...answer, load, notice, isRetried: false}});
		});
		return {abort: () => undefined};
	}

	/** @internal */
	get client(): GateClient {
		return this.#client;
	}

	/** @internal */
	cancel(attempt: Attempt): void {
		if (this.#isLocal(attempt.endpoint)) {
			this.#gate.cancel(attempt.id);
		} else {
			this.#client.cancel(attempt);
		}
	}

	/** @internal */
	onRetry(reason: string): void {
		this.#metrics.countRetry(reason);
	}

	/** @internal */
	onFinished(exchange: EntryExchange, record: EntryCallRecord): void {
		this.#exchanges.delete(exchange);
		const {call, answer} = record;
		if (answer?.payload) {
			this.#responseBytes.record(call.route.path, answer.payload.body.length);
			this.#answerMs.record(call.route.path, performance.now() - call.startedAt);
		}

		if (answer?.outcome.type === 'not-run') {
			this.refundQuota(call.workspace);
			this.#refusedCalls.recordRefusal(call.requestKey, call.firstTryAt, performance.now());
		}

		this.#onAnswered?.(record);
	}

	/** Refuses a call for what the configuration lacks; a newer version, known but not held here, may have it. */
	#refuseUnknown(reason: NotRunReason): RouteLookup {
		return this.#control.configurationBehindMs > 0
			? {type: 'refused', reason: 'configuration-behind', retryAfterMs: behindRetryMs}
			: {type: 'refused', reason};
	}

	/** Whether a key may have been withdrawn without this node's knowledge, and must not count then. */
	#isUnconfirmed(): boolean {
		const {revocation} = this.#settings;
		if (!revocation?.isStrict) {
			return false;
		}

		const now = performance.now();
		if (now - this.#confirmation.at >= confirmationCheckMs) {
			const isUnconfirmed = this.#control.configurationUnconfirmedMs >= revocation.withinMs;
			this.#confirmation = {at: now, isUnconfirmed};
		}

		return this.#confirmation.isUnconfirmed;
	}

	#newCall(
		{request, route, workspace, targetAt, deadlineAt}: CallerCall,
		service: string,
		pinned: Endpoint | undefined,
	): EntryCall<Payload> {
		const {withdraws, maximumAttempts, meshRetrySlack} = this.#settings.calls;
		const {idempotent} = route;
		// Without a workspace it is a call of a worker, one of whose slots waits for it.
		const mayBeThrottled = pinned === undefined && (workspace !== undefined || !this.hasWorkspaces);
		return new EntryCall(
			{
				group: route.path,
				workspace,
				bytes: (request.body?.length ?? 0) + this.#responseBytes.expected(route.path),
				isBulk: route.isBulk,
				retryAllowance: allowanceOfNode(
					{share: nodeRetryShare * route.retryShare, slack: nodeRetryShare * meshRetrySlack},
					this.#control.nodeCount,
				),
				isIdempotent: idempotent.includes(anyMethod) || idempotent.includes(request.method),
				targetAt,
				targetMs: route.targetMs,
				deadlineAt,
				...(pinned ? {endpoints: [pinned]} : this.#chooseVersion(service)),
				pinned,
				withdraws,
				maximumAttempts: route.maximumAttempts ?? maximumAttempts,
			},
			this.#chooser,
			this.#budgetOf(service),
			mayBeThrottled ? this.#throttleOf(service) : undefined,
		);
	}

	/** Returns the endpoints for the next call to a service, by the stage of its rollout. */
	#chooseVersion(service: string): VersionChoice {
		const endpoints = this.#control.routing.endpoints.get(service) ?? noEndpoints;
		if (this.#versionChooser === undefined) {
			return {endpoints};
		}

		const stage = this.#control.rolloutStageOf(service);
		return this.#versionChooser.choose(service, endpoints, stage, performance.now());
	}

	/** Returns the endpoint that issued a ticket, also while it drains; undefined when it is gone. */
	#endpointOf(ticket: Ticket, service: string): Endpoint | undefined {
		const record = this.#control.findNode(ticket.dataCentre, ticket.node);
		const isSame = record?.incarnation === ticket.incarnation && record.worker?.service === service;
		if (!isSame || record.worker === undefined) {
			return undefined;
		}

		const {address, gateAddress, dataCentre, incarnation, worker} = record;
		const {slots} = worker;
		const identity = workerIdentityOf(worker);
		return {node: address, gateAddress, dataCentre, incarnation, service, slots, worker: identity};
	}

	#throttleOf(service: string): AdaptiveThrottle {
		const throttle = this.#throttles.get(service) ?? new AdaptiveThrottle(this.#random);
		this.#throttles.set(service, throttle);
		return throttle;
	}

	#budgetOf(service: string): RetryBudget {
		const existing = this.#budgets.get(service);
		if (existing) {
			return existing;
		}

		const budget = new RetryBudget(this.#settings.calls.retryWindowSeconds * msPerSecond);
		this.#budgets.set(service, budget);
		return budget;
	}

	#isLocal(endpoint: Endpoint): boolean {
		return endpoint.node === this.#control.self.address;
	}
}

/** Returns a prefix for attempt ids, unique by node and incarnation; short, as attempts carry it. */
function idPrefixOf(address: string, incarnation: number): string {
	return `${digestOf(address).slice(0, addressDigestDigits)}${incarnation.toString(idRadix)}-`;
}

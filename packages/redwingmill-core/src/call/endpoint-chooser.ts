import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {
	type CallProfile,
	type ChoiceReason,
	type ChoiceOptions,
	type ChoiceStrategy,
	type StrategyFactory,
} from './choice/choice-policy.js';
import {EarliestAnswer} from './choice/earliest-answer.js';
import {EvenLoad, forecastOf} from './choice/even-load.js';
import {EndpointStates} from './choice/endpoint-state.js';
import {OwnLoad} from './choice/own-load.js';
import {type CompletionState} from './expected-completion.js';
import {GroupMeans} from './group-means.js';
import {ReportedNotices, type KnownLimit, type ReportedNotice} from './reported-notices.js';
import {TransitTimes} from './transit-times.js';
import {type WorkerLoad} from './worker-load.js';

const ejectionBaseMs = 1000;
const maximumEjectionMs = 30_000;
const maximumEjectedShare = 0.5;
const failureSmoothing = 0.1;
const emptyProfile: CallProfile = {group: ''};
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;

/** Chooses the endpoint of each attempt from this node's observations and the gates' reports. */
export class EndpointChooser {
	readonly #options: ChoiceOptions;
	readonly #states = new EndpointStates();
	/** Run times by group, scaled to a worker of the service's mean speed. */
	readonly #runTimes = new GroupMeans(initialRunMs);
	readonly #notices = new ReportedNotices();
	readonly #transitTimes = new TransitTimes();
	readonly #strategy: ChoiceStrategy;
	/** For services whose workers say how long work takes on their hosts. */
	readonly #evenLoad: ChoiceStrategy;
	/** Whether any worker has said so. */
	#hasHostTimes = false;

	/** @param newStrategy - by default that of the policy; simulations compare others. */
	constructor(options: ChoiceOptions, random: Random, newStrategy: StrategyFactory = strategyOf) {
		this.#options = options;
		this.#strategy = newStrategy(options, this.#states, this.#runTimes, random);
		this.#evenLoad = new EvenLoad(options, this.#states, this.#runTimes, random);
	}

	/** Removes the state of endpoints that are gone and begins the slow start of new ones. */
	retain(endpoints: Iterable<Endpoint>, now: number): void {
		this.#states.retain(endpoints, now);
	}

	/**
	 * Returns an endpoint whose node isn't in `excluded` and whose worker hasn't said that it leaves,
	 * preferring local ones; undefined if there is none.
	 */
	choose(
		endpoints: readonly Endpoint[],
		excluded: ReadonlySet<string>,
		now: number,
		profile: CallProfile = emptyProfile,
	): Endpoint | undefined {
		if (endpoints.length === 1) {
			const [only] = endpoints;
			return excluded.has(only.node) || this.#notices.isLeaving(only) ? undefined : only;
		}

		const open = endpoints.filter(
			(endpoint) => !excluded.has(endpoint.node) && !this.#notices.isLeaving(endpoint),
		);
		const healthy = this.#withoutEjected(open, endpoints.length, now);
		const usable = this.#withoutLikelyRefusals(healthy, profile, now);
		if (usable.length === 0) {
			return undefined;
		}

		// An ejected local endpoint can't serve the call, so it is no reason to keep the call local.
		const hasLocal = endpoints.some(
			(endpoint) =>
				this.#isLocal(endpoint) && (excluded.has(endpoint.node) || usable.includes(endpoint)),
		);
		const strategy = this.#knowsHostTimes(usable) ? this.#evenLoad : this.#strategy;
		return strategy.choose({usable, hasLocal, now, profile});
	}

	/**
	 * Returns how busy an endpoint is expected to be: running and waiting calls per slot, times its run time
	 * relative to the others. Undefined if it hasn't reported its load.
	 */
	occupancyOf(endpoint: Endpoint, now: number): number | undefined {
		const state = this.#states.of(endpoint);
		const {load} = state.completion;
		if (load === undefined) {
			return undefined;
		}

		const {callsPerSlot} = forecastOf(state, Math.min(1, load.callsPerSlot), load.runMs, now);
		return callsPerSlot * state.relativeRunTime;
	}

	/** Records that an attempt was sent to the endpoint. */
	onSent(endpoint: Endpoint, now: number): void {
		const state = this.#states.of(endpoint);
		state.sentAt = now;
		state.inFlight += 1;
		state.completion = {...state.completion, sentSinceReport: state.completion.sentSinceReport + 1};
	}

	/**
	 * Applies the load that an endpoint's gate reported, with an answer or separately. A report that is
	 * older than one already known is ignored, and calls sent after it are still counted.
	 *
	 * @param reportedAt - monotonic milliseconds at which the gate reported it.
	 */
	onLoad(endpoint: Endpoint, load: WorkerLoad, reportedAt: number): void {
		const state = this.#states.of(endpoint);
		if (reportedAt < state.completion.loadAt) {
			return;
		}

		this.#hasHostTimes ||= load.hostTime !== undefined && this.#mayFollowHostTimes;
		if (this.#hasHostTimes || this.#options.policy === 'even-load') {
			state.history.record(load, reportedAt);
		}

		const sentSinceReport = state.sentAt > reportedAt ? state.completion.sentSinceReport : 0;
		state.reportedCallsPerSlot = load.callsPerSlot;
		state.loadAt = reportedAt;
		state.completion = {...state.completion, load, loadAt: reportedAt, sentSinceReport};
	}

	/**
	 * Records that an attempt ended.
	 *
	 * @param load - load that the gate reported; absent when it didn't answer.
	 */
	onFinished(endpoint: Endpoint, load: WorkerLoad | undefined, now: number): void {
		const state = this.#states.of(endpoint);
		state.inFlight = Math.max(0, state.inFlight - 1);
		if (load !== undefined) {
			state.answeredAt = now;
			this.onLoad(endpoint, load, now);
		}
	}

	/**
	 * Records what the endpoint's worker said of itself, as its gate reported it with an answer.
	 *
	 * @param notice - absent when it said nothing.
	 * @param hasRun - whether the answer is the worker's own.
	 */
	onNotice(endpoint: Endpoint, notice: ReportedNotice | undefined, hasRun: boolean): void {
		this.#notices.record(endpoint, notice, hasRun);
	}

	/** Returns the limit that the endpoint's worker has stated last; undefined if it has none. */
	limitOf(endpoint: Endpoint): KnownLimit | undefined {
		return this.#notices.limitOf(endpoint);
	}

	/**
	 * Records how long an attempt was on its way to the gate of another node and back, in milliseconds.
	 *
	 * @param now - monotonic milliseconds.
	 */
	onTransit(transitMs: number, now: number): void {
		this.#transitTimes.record(transitMs, now);
	}

	/** Expected time of an attempt on its way to the gate of another node and back, in milliseconds. */
	get transitMs(): number {
		return this.#transitTimes.expectedMs;
	}

	/** Returns the same, less the longer ago the last attempt was. */
	fadedTransitMs(now: number): number {
		return this.#transitTimes.fadedMs(now);
	}

	/** Expected time for the gate of an endpoint, which may be in this process. */
	transitMsTo({node}: Endpoint): number {
		return node === this.#options.ownNode?.node ? 0 : this.transitMs;
	}

	/** Whether the worker of this node is among the endpoints and should run a new call. */
	hasRoomAtOwnNode(endpoints: readonly Endpoint[], now: number, profile: CallProfile): boolean {
		const {ownNode} = this.#options;
		const own = ownNode && endpoints.find(({node}) => node === ownNode.node);
		if (own === undefined || this.#notices.isLeaving(own)) {
			return false;
		}

		const strategy = this.#knowsHostTimes(endpoints) ? this.#evenLoad : this.#strategy;
		return strategy.hasRoomAtOwnNode?.({usable: endpoints, hasLocal: true, now, profile}) ?? false;
	}

	/** Returns why the endpoint was chosen last; undefined under policies that give no reason. */
	reasonOf(endpoint: Endpoint): ChoiceReason | undefined {
		return this.#states.of(endpoint).choiceReason;
	}

	/**
	 * Returns how much busier than their mean the busiest of the local endpoints is, in calls per slot as
	 * reported over the last seconds; undefined with fewer than two reports or without `even-load`.
	 */
	busyShareSpread(endpoints: readonly Endpoint[]): number | undefined {
		const shares = endpoints
			.filter((endpoint) => this.#isLocal(endpoint))
			.map((endpoint) => this.#states.of(endpoint).history.busyShare)
			.filter((share) => share !== undefined);
		const sum = shares.reduce((total, share) => total + share, 0);
		return shares.length < 2 ? undefined : Math.max(...shares) - sum / shares.length;
	}

	/** Records a successful call; ends the series of failures and ejections. */
	onSuccess(endpoint: Endpoint): void {
		const state = this.#states.of(endpoint);
		state.failures = 0;
		state.ejections = 0;
		state.completion = withOutcome(state.completion, 0);
		this.#states.failures.record(endpoint.service, false);
	}

	/**
	 * Records the run time of a call.
	 *
	 * @param ranMs - run time in milliseconds; absent when the gate reported none.
	 */
	onRunTime(endpoint: Endpoint, group: string, ranMs: number | undefined): void {
		const state = this.#states.of(endpoint);
		if (ranMs !== undefined) {
			this.#runTimes.record(group, ranMs / state.relativeRunTime);
		}
	}

	/**
	 * Records a failure of the endpoint itself; more in a row than the service's others make likely eject it for
	 * a limited time.
	 */
	onFailure(endpoint: Endpoint, now: number): void {
		const state = this.#states.of(endpoint);
		state.failures += 1;
		state.completion = withOutcome(state.completion, 1);
		this.#states.failures.record(endpoint.service, true);
		if (state.failures >= this.#states.failures.failuresToEject(endpoint.service)) {
			const durationMs = Math.min(maximumEjectionMs, ejectionBaseMs * 2 ** state.ejections);
			state.ejections += 1;
			state.failures = 0;
			state.ejectedUntil = now + durationMs;
		}
	}

	/** Removes ejected endpoints, unless they are too many: when most fail, the cause is elsewhere. */
	#withoutEjected(open: readonly Endpoint[], total: number, now: number): readonly Endpoint[] {
		const usable = open.filter((endpoint) => this.#states.of(endpoint).ejectedUntil <= now);
		const ejected = open.length - usable.length;
		return ejected > total * maximumEjectedShare ? open : usable;
	}

	/**
	 * Removes endpoints that are likely to refuse a call which a gate has refused already: the exchange costs
	 * both nodes more than it gains.
	 */
	#withoutLikelyRefusals(
		endpoints: readonly Endpoint[],
		{refusedAt, needsFreeSlot = false}: CallProfile,
		now: number,
	): readonly Endpoint[] {
		if (refusedAt === undefined) {
			return endpoints;
		}

		return endpoints.filter((endpoint) =>
			needsFreeSlot ? this.#hasFreeSlot(endpoint) : this.#isLessBusy(endpoint, refusedAt, now),
		);
	}

	/** Whether, with one more call, the endpoint would be less busy than one whose gate has refused the call. */
	#isLessBusy(endpoint: Endpoint, refusedAt: number, now: number): boolean {
		const occupancy = this.occupancyOf(endpoint, now);
		const {relativeRunTime} = this.#states.of(endpoint);
		return occupancy === undefined || occupancy + relativeRunTime / endpoint.slots <= refusedAt;
	}

	/**
	 * Whether the endpoint's last report, with the calls that this node has sent since, leaves a free slot; not
	 * without a report. A forecast would say of workers with one slot that none is ever free.
	 */
	#hasFreeSlot(endpoint: Endpoint): boolean {
		const {load, sentSinceReport} = this.#states.of(endpoint).completion;
		return load !== undefined && load.callsPerSlot + (sentSinceReport + 1) / endpoint.slots <= 1;
	}

	/**
	 * Whether workers of the service say how long work takes on their hosts, which the policies
	 * `two-choices` and `expected-completion` leave to `even-load`.
	 */
	#knowsHostTimes(usable: readonly Endpoint[]): boolean {
		return (
			this.#hasHostTimes &&
			usable.some((endpoint) => this.#states.of(endpoint).completion.load?.hostTime !== undefined)
		);
	}

	get #mayFollowHostTimes(): boolean {
		const {policy, followsHostTimes = true} = this.#options;
		return followsHostTimes && (policy === 'two-choices' || policy === 'expected-completion');
	}

	#isLocal({dataCentre}: Endpoint): boolean {
		return dataCentre === this.#options.dataCentre;
	}
}

function strategyOf(
	options: ChoiceOptions,
	states: EndpointStates,
	runTimes: GroupMeans,
	random: Random,
): ChoiceStrategy {
	switch (options.policy) {
		case 'expected-completion': {
			return new EarliestAnswer(options.dataCentre, states, runTimes);
		}

		case 'even-load': {
			return new EvenLoad(options, states, runTimes, random);
		}

		case 'two-choices':
		case 'least-loaded':
		case 'random':
		case 'round-robin': {
			return new OwnLoad(options, states, random);
		}
	}
}

function withOutcome(state: CompletionState, failure: 0 | 1): CompletionState {
	const failureShare = state.failureShare + failureSmoothing * (failure - state.failureShare);
	return {...state, failureShare};
}

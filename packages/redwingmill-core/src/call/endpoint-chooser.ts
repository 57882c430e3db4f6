import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {
	expectedCompletionMs,
	initialCompletion,
	type CompletionState,
} from './expected-completion.js';
import {GroupMeans} from './group-means.js';
import {ReportedNotices, type KnownLimit, type ReportedNotice} from './reported-notices.js';
import {type WorkerLoad} from './worker-load.js';

/**
 * Load-balancing policies. `least-loaded`, `random` and `round-robin` are baselines for measurements.
 */
export const choicePolicies = [
	'two-choices',
	'expected-completion',
	'least-loaded',
	'random',
	'round-robin',
] as const;
export type ChoicePolicy = (typeof choicePolicies)[number];

/** Options for choosing endpoints. */
export type ChoiceOptions = {
	readonly policy: ChoicePolicy;
	/** Time over which a new endpoint ramps up to its full share; 0 gives the full share at once. */
	readonly slowStartMs: number;
	/** Data centre whose endpoints are preferred: the local one. */
	readonly dataCentre: string;
};

/** Properties of a call that the choice takes into account. */
export type CallProfile = {
	/** Identifies calls with similar run times. */
	readonly group: string;
	/** Latency target in monotonic milliseconds; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Size of the request and its expected answer; absent when it doesn't count. */
	readonly bytes?: number;
};

/** An endpoint and the milliseconds until it is expected to answer. */
type Candidate = {readonly endpoint: Endpoint; readonly expectedMs: number};

/** State of an endpoint, from this node's calls and the gate's reports. */
type EndpointState = {
	/** Time at which the endpoint was added, in monotonic milliseconds. */
	readonly addedAt: number;
	inFlight: number;
	completion: CompletionState;
	/** Run time relative to the mean of the service's workers, at the last choice. */
	relativeRunTime: number;
	/** Running and waiting calls per slot, as the gate last reported. */
	reportedCallsPerSlot: number;
	loadAt: number;
	/** Time at which this node last sent an attempt there. */
	sentAt: number;
	/** Consecutive failures. */
	failures: number;
	/** Consecutive ejections; each doubles the duration of the next. */
	ejections: number;
	ejectedUntil: number;
};

const loadHalfLifeMs = 200;
const failuresToEject = 3;
const ejectionBaseMs = 1000;
const maximumEjectionMs = 30_000;
const maximumEjectedShare = 0.5;
const minimumRampUpShare = 0.1;
const failureSmoothing = 0.1;
/** A local endpoint is preferred if expected to answer within this share of the time to the target. */
const localTimeShare = 0.8;
const emptyProfile: CallProfile = {group: ''};
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;
/** Additional wait that is accepted to avoid sending one kilobyte to another data centre. */
const remoteCostPerKbMs = 12;
const bytesPerKb = 1024;
/** Bounds of a worker's run time relative to the mean. */
const relativeRunTimeBounds = {least: 0.2, most: 8} as const;
/** Calls per slot at which a local endpoint counts as full. */
const fullCallsPerSlot = 2;

/** Chooses the endpoint of each attempt from this node's observations and the gates' reports. */
export class EndpointChooser {
	readonly #options: ChoiceOptions;
	readonly #random: Random;
	#states = new Map<string, EndpointState>();
	/** Spares composing the key for each endpoint at each choice. */
	#statesByEndpoint = new WeakMap<Endpoint, EndpointState>();
	/** Run times by group, scaled to a worker of the service's mean speed. */
	readonly #runTimes = new GroupMeans(initialRunMs);
	readonly #notices = new ReportedNotices();
	#roundRobinTurn = 0;

	constructor(options: ChoiceOptions, random: Random) {
		this.#options = options;
		this.#random = random;
	}

	/** Removes the state of endpoints that are gone and begins the slow start of new ones. */
	retain(endpoints: Iterable<Endpoint>, now: number): void {
		const states = new Map<string, EndpointState>();
		const isFirst = this.#states.size === 0;
		for (const endpoint of endpoints) {
			const key = keyOf(endpoint);
			// Endpoints found at start-up are new to this node only, so they need no slow start.
			const addedAt = isFirst ? Number.NEGATIVE_INFINITY : now;
			states.set(key, this.#states.get(key) ?? newState(addedAt));
		}

		this.#states = states;
		this.#statesByEndpoint = new WeakMap();
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
		const usable = this.#withoutEjected(open, endpoints.length, now);
		if (this.#options.policy === 'expected-completion') {
			// An ejected local endpoint can't serve the call, so it is no reason to keep the call local.
			const hasLocal = endpoints.some(
				(endpoint) =>
					this.#isLocal(endpoint) && (excluded.has(endpoint.node) || usable.includes(endpoint)),
			);
			return this.#earliestEndpoint(usable, hasLocal, now, profile);
		}

		const local = usable.filter((endpoint) => this.#isLocal(endpoint));
		const hasCapacity = local.some((endpoint) => this.#loadOf(endpoint, now) < fullCallsPerSlot);
		return this.#chooseByPolicy(hasCapacity ? local : usable, now);
	}

	/** Records that an attempt was sent to the endpoint. */
	onSent(endpoint: Endpoint, now: number): void {
		const state = this.#stateOf(endpoint);
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
		const state = this.#stateOf(endpoint);
		if (reportedAt < state.completion.loadAt) {
			return;
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
		const state = this.#stateOf(endpoint);
		state.inFlight = Math.max(0, state.inFlight - 1);
		if (load !== undefined) {
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

	/** Records a successful call; ends the series of failures and ejections. */
	onSuccess(endpoint: Endpoint): void {
		const state = this.#stateOf(endpoint);
		state.failures = 0;
		state.ejections = 0;
		state.completion = withOutcome(state.completion, 0);
	}

	/**
	 * Records the run time of a call.
	 *
	 * @param ranMs - run time in milliseconds; absent when the gate reported none.
	 */
	onRunTime(endpoint: Endpoint, group: string, ranMs: number | undefined): void {
		const state = this.#stateOf(endpoint);
		if (ranMs !== undefined) {
			this.#runTimes.record(group, ranMs / state.relativeRunTime);
		}
	}

	/** Records a failure of the endpoint itself; several in a row eject it for a limited time. */
	onFailure(endpoint: Endpoint, now: number): void {
		const state = this.#stateOf(endpoint);
		state.failures += 1;
		state.completion = withOutcome(state.completion, 1);
		if (state.failures >= failuresToEject) {
			const durationMs = Math.min(maximumEjectionMs, ejectionBaseMs * 2 ** state.ejections);
			state.ejections += 1;
			state.failures = 0;
			state.ejectedUntil = now + durationMs;
		}
	}

	/** Removes ejected endpoints, unless they are too many: when most fail, the cause is elsewhere. */
	#withoutEjected(open: readonly Endpoint[], total: number, now: number): readonly Endpoint[] {
		const usable = open.filter((endpoint) => this.#stateOf(endpoint).ejectedUntil <= now);
		const ejected = open.length - usable.length;
		return ejected > total * maximumEjectedShare ? open : usable;
	}

	/**
	 * Returns the endpoint with the earliest expected answer. A local one is preferred while it can
	 * answer in time, since a call to another data centre costs bytes on the links between them. A
	 * remote one is chosen only if it is expected to answer in time, and earlier by a margin that grows
	 * with the call's size: under overload everywhere, calls refused by one data centre after another
	 * would load the links for nothing. Without a local endpoint, the earliest one is chosen.
	 */
	#earliestEndpoint(
		endpoints: readonly Endpoint[],
		hasLocal: boolean,
		now: number,
		{group, targetAt, bytes = 0}: CallProfile,
	): Endpoint | undefined {
		const meanRunMs = this.#meanRunMs(endpoints);
		const groupRunMs = this.#runTimes.expected(group);
		const baseFailureShare = this.#commonFailureShare(endpoints);
		let earliest: Candidate | undefined;
		let earliestLocal: Candidate | undefined;
		for (const endpoint of endpoints) {
			const state = this.#stateOf(endpoint);
			const {completion, inFlight} = state;
			const isLocal = this.#isLocal(endpoint);
			state.relativeRunTime = relativeRunTimeOf(completion.load, meanRunMs);
			const runMs = groupRunMs * state.relativeRunTime;
			const excessFailureShare =
				(completion.load?.failureShare ?? baseFailureShare) - baseFailureShare;
			const {slots} = endpoint;
			const inputs = {slots, inFlight, isLocal, excessFailureShare, runMs, now};
			const expectedMs = expectedCompletionMs(completion, inputs);
			if (earliest === undefined || expectedMs < earliest.expectedMs) {
				earliest = {endpoint, expectedMs};
			}

			if (isLocal && (earliestLocal === undefined || expectedMs < earliestLocal.expectedMs)) {
				earliestLocal = {endpoint, expectedMs};
			}
		}

		const leftMs = targetAt === undefined ? Number.POSITIVE_INFINITY : targetAt - now;
		if (earliestLocal && earliestLocal.expectedMs <= leftMs * localTimeShare) {
			return earliestLocal.endpoint;
		}

		const marginMs = (bytes / bytesPerKb) * remoteCostPerKbMs;
		const isInTime = earliest !== undefined && earliest.expectedMs <= leftMs;
		const isEarlierEnough =
			earliestLocal === undefined || isEarlier(earliest, earliestLocal, marginMs);
		return (!hasLocal || (isInTime && isEarlierEnough) ? earliest : earliestLocal)?.endpoint;
	}

	#isLocal({dataCentre}: Endpoint): boolean {
		return dataCentre === this.#options.dataCentre;
	}

	/** Returns the failure share that all workers have in common; its cause lies elsewhere. */
	#commonFailureShare(endpoints: readonly Endpoint[]): number {
		let least = Number.POSITIVE_INFINITY;
		for (const endpoint of endpoints) {
			least = Math.min(least, this.#stateOf(endpoint).completion.load?.failureShare ?? 0);
		}

		return least;
	}

	/** Returns the mean run time over the endpoints whose load is known; undefined if none is. */
	#meanRunMs(endpoints: readonly Endpoint[]): number | undefined {
		let sumMs = 0;
		let count = 0;
		for (const endpoint of endpoints) {
			const {load} = this.#stateOf(endpoint).completion;
			sumMs += load?.runMs ?? 0;
			count += load ? 1 : 0;
		}

		return count === 0 ? undefined : sumMs / count;
	}

	#chooseByPolicy(endpoints: readonly Endpoint[], now: number): Endpoint | undefined {
		if (endpoints.length <= 1) {
			return endpoints[0];
		}

		switch (this.#options.policy) {
			case 'round-robin': {
				this.#roundRobinTurn += 1;
				return endpoints[this.#roundRobinTurn % endpoints.length];
			}

			case 'random': {
				return endpoints[this.#random.below(endpoints.length)];
			}

			case 'least-loaded': {
				return this.#leastLoaded(endpoints, now);
			}

			case 'expected-completion':
			case 'two-choices': {
				const first = this.#random.below(endpoints.length);
				const step = 1 + this.#random.below(endpoints.length - 1);
				const second = (first + step) % endpoints.length;
				return this.#lessLoaded(endpoints[first], endpoints[second], now);
			}
		}
	}

	#leastLoaded(endpoints: readonly Endpoint[], now: number): Endpoint {
		let best = endpoints[0];
		for (const endpoint of endpoints) {
			best = this.#lessLoaded(best, endpoint, now);
		}

		return best;
	}

	#lessLoaded(a: Endpoint, b: Endpoint, now: number): Endpoint {
		return this.#cost(a, now) <= this.#cost(b, now) ? a : b;
	}

	/** Returns the expected calls per slot, raised during the endpoint's slow start. */
	#cost(endpoint: Endpoint, now: number): number {
		const {slowStartMs} = this.#options;
		const ageMs = now - this.#stateOf(endpoint).addedAt;
		const rampUp = slowStartMs > 0 ? ageMs / slowStartMs : 1;
		const share = Math.min(1, Math.max(minimumRampUpShare, rampUp));
		return (this.#loadOf(endpoint, now) + 1 / endpoint.slots) / share;
	}

	/** Returns the calls per slot: this node's own, or the reported ones with decay, if higher. */
	#loadOf(endpoint: Endpoint, now: number): number {
		const {inFlight, reportedCallsPerSlot, loadAt} = this.#stateOf(endpoint);
		const decayed = reportedCallsPerSlot * 0.5 ** ((now - loadAt) / loadHalfLifeMs);
		return Math.max(inFlight / endpoint.slots, decayed);
	}

	#stateOf(endpoint: Endpoint): EndpointState {
		const cached = this.#statesByEndpoint.get(endpoint);
		if (cached) {
			return cached;
		}

		const key = keyOf(endpoint);
		const state = this.#states.get(key) ?? newState(Number.NEGATIVE_INFINITY);
		this.#states.set(key, state);
		this.#statesByEndpoint.set(endpoint, state);
		return state;
	}
}

/** Whether `one` is expected to answer more than `marginMs` before `other`. */
function isEarlier(
	one: {readonly expectedMs: number} | undefined,
	other: {readonly expectedMs: number},
	marginMs: number,
): boolean {
	return one !== undefined && one.expectedMs + marginMs < other.expectedMs;
}

/** Returns a worker's run time relative to the mean of its service; 1 when it is unknown. */
function relativeRunTimeOf(load: WorkerLoad | undefined, meanRunMs: number | undefined): number {
	if (load === undefined || meanRunMs === undefined || meanRunMs <= 0) {
		return 1;
	}

	return Math.min(
		relativeRunTimeBounds.most,
		Math.max(relativeRunTimeBounds.least, load.runMs / meanRunMs),
	);
}

function withOutcome(state: CompletionState, failure: 0 | 1): CompletionState {
	const failureShare = state.failureShare + failureSmoothing * (failure - state.failureShare);
	return {...state, failureShare};
}

function newState(addedAt: number): EndpointState {
	return {
		addedAt,
		inFlight: 0,
		completion: initialCompletion,
		relativeRunTime: 1,
		reportedCallsPerSlot: 0,
		loadAt: 0,
		sentAt: Number.NEGATIVE_INFINITY,
		failures: 0,
		ejections: 0,
		ejectedUntil: 0,
	};
}

function keyOf({node, incarnation}: Endpoint): string {
	return `${node}/${incarnation}`;
}

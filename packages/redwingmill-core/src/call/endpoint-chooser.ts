import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {
	expectedCompletionMs,
	initialCompletion,
	type CompletionState,
} from './expected-completion.js';
import {GroupMeans} from './group-means.js';
import {type WorkerLoad} from './worker-load.js';

/** How an endpoint is chosen; `least-loaded`, `random` and `round-robin` are baselines of measurements. */
export const choicePolicies = [
	'two-choices',
	'expected-completion',
	'least-loaded',
	'random',
	'round-robin',
] as const;
export type ChoicePolicy = (typeof choicePolicies)[number];

/** Bounds of choice. */
export type ChoiceOptions = {
	readonly policy: ChoicePolicy;
	/** Time in which a new endpoint comes to its full share; 0 gives it at once. */
	readonly slowStartMs: number;
	/** Data centre whose endpoints go first. */
	readonly dataCentre: string;
};

/** What choosing may take into account of a call. */
export type CallProfile = {
	/** Names calls that take similar time. */
	readonly group: string;
	/** Monotonic milliseconds by which an answer is worth most; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Bytes of the request and its expected answer; absent when they don't matter. */
	readonly bytes?: number;
};

/** What this node knows of an endpoint by its own calls. */
type EndpointState = {
	readonly addedAt: number;
	inFlight: number;
	completion: CompletionState;
	/** Run time relative to the mean of the service's workers, when an endpoint was last chosen. */
	relativeRunTime: number;
	/** Calls in progress per slot, as the gate said with its last answer. */
	reportedCallsPerSlot: number;
	loadAt: number;
	failures: number;
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
/** Part of the time left for a call within which the own data centre must be expected to answer. */
const localTimeShare = 0.8;
const emptyProfile: CallProfile = {group: ''};
/** Run time assumed until the first call has finished. */
const initialRunMs = 20;
/** Time that is worth waiting rather than sending a kilobyte to another data centre. */
const remoteCostPerKbMs = 12;
const bytesPerKb = 1024;
/** Bounds of how much slower or faster than the mean a worker is taken to be. */
const relativeRunTimeBounds = {least: 0.2, most: 8} as const;
/** Load at which the local data centre lacks capacity. */
const fullCallsPerSlot = 2;

/** Chooses the endpoint for each attempt from own observations and loads reported with answers. */
export class EndpointChooser {
	readonly #options: ChoiceOptions;
	readonly #random: Random;
	#states = new Map<string, EndpointState>();
	/** Run times by group, as a worker of the service's mean speed would take. */
	readonly #runTimes = new GroupMeans(initialRunMs);
	#roundRobinTurn = 0;

	constructor(options: ChoiceOptions, random: Random) {
		this.#options = options;
		this.#random = random;
	}

	/** Forgets endpoints that are gone and starts to warm up those that are new. */
	retain(endpoints: Iterable<Endpoint>, now: number): void {
		const states = new Map<string, EndpointState>();
		const isFirst = this.#states.size === 0;
		for (const endpoint of endpoints) {
			const key = keyOf(endpoint);
			// Endpoints found at start-up are not cold just because this node is.
			const since = isFirst ? Number.NEGATIVE_INFINITY : now;
			states.set(key, this.#states.get(key) ?? newState(since));
		}

		this.#states = states;
	}

	/** An endpoint outside `excluded`, local ones first; undefined when there is none. */
	choose(
		endpoints: readonly Endpoint[],
		excluded: ReadonlySet<string>,
		now: number,
		needs: CallProfile = emptyProfile,
	): Endpoint | undefined {
		if (endpoints.length === 1) {
			return excluded.has(endpoints[0].node) ? undefined : endpoints[0];
		}

		const open = endpoints.filter((endpoint) => !excluded.has(endpoint.node));
		const usable = this.#withoutEjected(open, endpoints.length, now);
		if (this.#options.policy === 'expected-completion') {
			// One that was ejected can't serve the call, so it doesn't hold it here.
			const hasLocal = endpoints.some(
				(endpoint) =>
					this.#isLocal(endpoint) && (excluded.has(endpoint.node) || usable.includes(endpoint)),
			);
			return this.#earliestEndpoint(usable, hasLocal, now, needs);
		}

		const local = usable.filter((endpoint) => this.#isLocal(endpoint));
		const hasCapacity = local.some((endpoint) => this.#loadOf(endpoint, now) < fullCallsPerSlot);
		return this.#chooseByPolicy(hasCapacity ? local : usable, now);
	}

	onSent(endpoint: Endpoint): void {
		const state = this.#stateOf(endpoint);
		state.inFlight += 1;
		state.completion = {...state.completion, sentSinceReport: state.completion.sentSinceReport + 1};
	}

	/** Takes the load of a worker as its gate tells it, with an answer or by itself. */
	onLoad(endpoint: Endpoint, load: WorkerLoad, now: number): void {
		const state = this.#stateOf(endpoint);
		state.reportedCallsPerSlot = load.callsPerSlot;
		state.loadAt = now;
		state.completion = {...state.completion, load, loadAt: now, sentSinceReport: 0};
	}

	/** @param load - load that the gate reported; absent when it didn't answer. */
	onFinished(endpoint: Endpoint, load: WorkerLoad | undefined, now: number): void {
		const state = this.#stateOf(endpoint);
		state.inFlight = Math.max(0, state.inFlight - 1);
		if (load !== undefined) {
			this.onLoad(endpoint, load, now);
		}
	}

	onSuccess(endpoint: Endpoint): void {
		const state = this.#stateOf(endpoint);
		state.failures = 0;
		state.ejections = 0;
		state.completion = withOutcome(state.completion, 0);
	}

	/** @param ranMs - time that the worker ran a call of the group; absent when the gate didn't say. */
	onRunTime(endpoint: Endpoint, group: string, ranMs: number | undefined): void {
		const state = this.#stateOf(endpoint);
		if (ranMs !== undefined) {
			this.#runTimes.record(group, ranMs / state.relativeRunTime);
		}
	}

	/** Counts a failure of the endpoint itself; several in a row eject it for a while. */
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

	/** Ejection never takes out more than a share: when most seem to fail, the cause is elsewhere. */
	#withoutEjected(open: readonly Endpoint[], total: number, now: number): readonly Endpoint[] {
		const usable = open.filter((endpoint) => this.#stateOf(endpoint).ejectedUntil <= now);
		const ejected = open.length - usable.length;
		return ejected > total * maximumEjectedShare ? open : usable;
	}

	/**
	 * The endpoint with the soonest expected answer. One in the own data centre goes first while it
	 * can answer in time: a call that leaves costs bytes on the links between data centres. One
	 * elsewhere is asked only while it is expected to answer in time, and sooner by what the call's
	 * bytes are worth; where all are overloaded, calls that are refused at one data centre after the
	 * other would load the links for nothing.
	 */
	#earliestEndpoint(
		endpoints: readonly Endpoint[],
		hasLocal: boolean,
		now: number,
		{group, targetAt, bytes = 0}: CallProfile,
	): Endpoint | undefined {
		const meanRunMs = this.#meanRunMs(endpoints);
		const groupRunMs = this.#runTimes.expected(group);
		const leastFailure = this.#commonFailureShare(endpoints);
		const candidates = endpoints.map((endpoint) => {
			const state = this.#stateOf(endpoint);
			const {completion, inFlight} = state;
			const isLocal = this.#isLocal(endpoint);
			state.relativeRunTime = relativeRunTimeOf(completion.load, meanRunMs);
			const runMs = groupRunMs * state.relativeRunTime;
			const excessFailureShare = (completion.load?.failureShare ?? leastFailure) - leastFailure;
			const {slots} = endpoint;
			const inputs = {slots, inFlight, isLocal, excessFailureShare, runMs, now};
			return {endpoint, isLocal, expectedMs: expectedCompletionMs(completion, inputs)};
		});
		const bySoonest = candidates.toSorted((a, b) => a.expectedMs - b.expectedMs);
		const leftMs = targetAt === undefined ? Number.POSITIVE_INFINITY : targetAt - now;
		const soonestLocal = bySoonest.find(({isLocal}) => isLocal);
		const soonest = bySoonest.at(0);
		if (soonestLocal && soonestLocal.expectedMs <= leftMs * localTimeShare) {
			return soonestLocal.endpoint;
		}

		const bytesMs = (bytes / bytesPerKb) * remoteCostPerKbMs;
		const isInTime = soonest !== undefined && soonest.expectedMs <= leftMs;
		const isSooner = soonestLocal === undefined || isEarlier(soonest, soonestLocal, bytesMs);
		return (!hasLocal || (isInTime && isSooner) ? soonest : soonestLocal)?.endpoint;
	}

	#isLocal({dataCentre}: Endpoint): boolean {
		return dataCentre === this.#options.dataCentre;
	}

	/** Failures that all workers share have a cause elsewhere and don't tell one from another. */
	#commonFailureShare(endpoints: readonly Endpoint[]): number {
		const shares = endpoints.map(
			(endpoint) => this.#stateOf(endpoint).completion.load?.failureShare ?? 0,
		);
		return Math.min(...shares);
	}

	/** Mean run time of the endpoints whose load is known, for those whose isn't. */
	#meanRunMs(endpoints: readonly Endpoint[]): number | undefined {
		const known = endpoints.flatMap((endpoint) => {
			const {load} = this.#stateOf(endpoint).completion;
			return load ? [load.runMs] : [];
		});
		return known.length === 0
			? undefined
			: known.reduce((sum, each) => sum + each, 0) / known.length;
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

	/** Expected calls in progress per slot, dearer while the endpoint warms up. */
	#cost(endpoint: Endpoint, now: number): number {
		const {slowStartMs} = this.#options;
		const ageMs = now - this.#stateOf(endpoint).addedAt;
		const warmth = slowStartMs > 0 ? ageMs / slowStartMs : 1;
		const share = Math.min(1, Math.max(minimumRampUpShare, warmth));
		return (this.#loadOf(endpoint, now) + 1 / endpoint.slots) / share;
	}

	#loadOf(endpoint: Endpoint, now: number): number {
		const {inFlight, reportedCallsPerSlot: load, loadAt} = this.#stateOf(endpoint);
		const reported = load * 0.5 ** ((now - loadAt) / loadHalfLifeMs);
		return Math.max(inFlight / endpoint.slots, reported);
	}

	#stateOf(endpoint: Endpoint): EndpointState {
		const key = keyOf(endpoint);
		const known = this.#states.get(key);
		if (known) {
			return known;
		}

		const state = newState(Number.NEGATIVE_INFINITY);
		this.#states.set(key, state);
		return state;
	}
}

/** Whether one endpoint is expected to answer more than `marginMs` before another. */
function isEarlier(
	one: {readonly expectedMs: number} | undefined,
	other: {readonly expectedMs: number},
	marginMs: number,
): boolean {
	return one !== undefined && one.expectedMs + marginMs < other.expectedMs;
}

/** Run time of a worker relative to the mean of its service's; 1 for one that is unknown. */
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

function newState(since: number): EndpointState {
	return {
		addedAt: since,
		inFlight: 0,
		completion: initialCompletion,
		relativeRunTime: 1,
		reportedCallsPerSlot: 0,
		loadAt: 0,
		failures: 0,
		ejections: 0,
		ejectedUntil: 0,
	};
}

function keyOf({node, incarnation}: Endpoint): string {
	return `${node}/${incarnation}`;
}

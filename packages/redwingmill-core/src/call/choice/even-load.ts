import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../../model/routing-table.js';
import {
	excessFailureShareOf,
	failureCostMs,
	limitedWaitMs,
	othersFailureShare,
	remoteCostMs,
	type ServiceFailureShares,
} from '../expected-completion.js';
import {type GroupMeans} from '../group-means.js';
import {
	type ChoiceInputs,
	type ChoiceOptions,
	type ChoiceReason,
	type ChoiceStrategy,
} from './choice-policy.js';
import {
	boundedRunTime,
	isLocalInTime,
	localOrEarliest,
	meanRunMsOf,
	relativeRunTimeOf,
	serviceFailureShares,
	type Candidate,
} from './earliest-answer.js';
import {type EndpointState, type EndpointStates} from './endpoint-state.js';
import {forecastLoad, type Forecast} from './load-forecast.js';
import {mayRunAtOwnNode} from './own-node.js';
import {slowStartShare} from './slow-start.js';

/**
 * Exponents per call per slot by which a replica's weight changes. What only this node knows, its own
 * calls and the reports in their answers, weighs more than what all nodes are told at the same time and
 * would all act on.
 */
const weightOf = {answeredReport: 12, commonReport: 4, ownCalls: 40, meanBusyShare: 2} as const;
/**
 * Mean busy share of a service below which calls prefer fast workers beyond their capacity: while there
 * is room, there is no reason to have a call run on a slow worker.
 */
const spareBusyShare = 0.6;
/** Additional exponent of a worker's speed in its weight while the service is idle. */
const idleSpeedExponent = 5;
/** Smallest sum by which own calls are shared out; guards against a division by zero. */
const leastCapacity = 1e-6;
const initialRunMs = 20;
/** Certainty from which a report counts as recent in the reason of a choice. */
const recentCertainty = 0.5;

/** What a choice knows of a replica. */
type Replica = {
	readonly endpoint: Endpoint;
	readonly state: EndpointState;
	readonly isLocal: boolean;
};

/** Means over the replicas of a service that a choice compares. */
type Service = {
	readonly meanBusyShare: number;
	readonly failures: ServiceFailureShares;
	/** Calls of this node in progress in the local data centre, per capacity. */
	readonly ownCallsPerCapacity: number;
	readonly groupRunMs: number;
	readonly slowStartMs: number;
	readonly now: number;
};

type Weighed = Candidate & {readonly weight: number};

/**
 * Chooses at random, by weights that follow what replicas can run, so that many nodes that know the same
 * don't all choose the same replica; policy `even-load`. Recent reports and this node's own calls shift
 * the weights.
 */
export class EvenLoad implements ChoiceStrategy {
	readonly #options: ChoiceOptions;
	readonly #states: EndpointStates;
	readonly #runTimes: GroupMeans;
	readonly #random: Random;

	/** @param runTimes - run times by group, scaled to a worker of the service's mean speed. */
	constructor(
		options: ChoiceOptions,
		states: EndpointStates,
		runTimes: GroupMeans,
		random: Random,
	) {
		this.#options = options;
		this.#states = states;
		this.#runTimes = runTimes;
		this.#random = random;
	}

	choose(inputs: ChoiceInputs): Endpoint | undefined {
		const {usable, now, profile} = inputs;
		const {dataCentre, slowStartMs} = this.#options;
		const groupRunMs = this.#runTimes.expected(profile.group);
		const own = this.#ownReplica(inputs, groupRunMs);
		if (own) {
			this.#states.of(own).choiceReason = 'own-node';
			return own;
		}

		const replicas = usable.map((endpoint) => ({
			endpoint,
			state: this.#states.of(endpoint),
			isLocal: endpoint.dataCentre === dataCentre,
		}));
		const {reportedSum, ...means} = meansOf(replicas);
		const failures = serviceFailureShares(usable, this.#states, reportedSum);
		const service: Service = {...means, failures, groupRunMs, slowStartMs, now};
		const local = this.#draw(
			replicas.filter(({isLocal}) => isLocal).map((replica) => weigh(replica, service)),
		);
		const isEnough = local !== undefined && isLocalInTime(local, profile.targetAt, now);
		const any = isEnough ? local : this.#draw(replicas.map((replica) => weigh(replica, service)));
		const chosen = localOrEarliest(any, local, inputs);
		if (chosen) {
			const state = this.#states.of(chosen);
			const runMs = groupRunMs * state.relativeRunTime;
			state.choiceReason =
				chosen.dataCentre === dataCentre ? reasonOf(state, runMs, now) : 'other-data-centre';
		}

		return chosen;
	}

	hasRoomAtOwnNode(inputs: ChoiceInputs): boolean {
		const groupRunMs = this.#runTimes.expected(inputs.profile.group);
		return this.#ownReplica(inputs, groupRunMs) !== undefined;
	}

	/** Returns the replica of this node if it should run the call. */
	#ownReplica({usable, now, profile}: ChoiceInputs, groupRunMs: number): Endpoint | undefined {
		const {ownNode} = this.#options;
		const own = ownNode && usable.find(({node}) => node === ownNode.node);
		if (ownNode === undefined || own === undefined) {
			return undefined;
		}

		const load = ownNode.load();
		const state = this.#states.of(own);
		state.relativeRunTime = relativeRunTimeOf(load, meanRunMsOf(usable, this.#states));
		return mayRunAtOwnNode({
			load,
			relativeRunTime: state.relativeRunTime,
			commonFailureShare:
				load.failureShare > 0
					? othersFailureShare(load.failureShare, serviceFailureShares(usable, this.#states))
					: 0,
			groupRunMs,
			leftMs: (profile.targetAt ?? Number.POSITIVE_INFINITY) - now,
		})
			? own
			: undefined;
	}

	/** Draws one at random by weight; undefined if there is none. */
	#draw(weighed: readonly Weighed[]): Weighed | undefined {
		let sum = 0;
		for (const {weight} of weighed) {
			sum += weight;
		}

		let rest = this.#random.fraction() * sum;
		for (const candidate of weighed) {
			rest -= candidate.weight;
			if (rest < 0) {
				return candidate;
			}
		}

		return weighed.at(-1);
	}
}

/** Also sets the relative run times of the replicas. */
function meansOf(
	replicas: readonly Replica[],
): Pick<Service, 'meanBusyShare' | 'ownCallsPerCapacity'> &
	Pick<ServiceFailureShares, 'reportedSum'> {
	let reportedSum = 0;
	let runMs = 0;
	let busy = 0;
	let known = 0;
	for (const {state} of replicas) {
		const {history, completion} = state;
		reportedSum += completion.load?.failureShare ?? 0;
		if (history.runMs !== undefined) {
			runMs += history.runMs;
			busy += history.busyShare ?? 0;
			known += 1;
		}
	}

	const meanRunMs = known === 0 ? initialRunMs : runMs / known;
	let ownCalls = 0;
	let capacity = 0;
	for (const {state, isLocal, endpoint} of replicas) {
		state.relativeRunTime = boundedRunTime((state.history.runMs ?? meanRunMs) / meanRunMs);
		if (isLocal) {
			ownCalls += state.inFlight;
			capacity += endpoint.slots / state.relativeRunTime;
		}
	}

	return {
		reportedSum,
		meanBusyShare: known === 0 ? 0 : busy / known,
		ownCallsPerCapacity: ownCalls / Math.max(leastCapacity, capacity),
	};
}

/** Returns the forecast of a replica's load. Without any report, it is as busy as the others. */
export function forecastOf(
	{completion, history}: EndpointState,
	meanBusyShare: number,
	runMs: number,
	now: number,
): Forecast {
	const {load, loadAt} = completion;
	const mean = history.busyShare ?? meanBusyShare;
	return load === undefined
		? {callsPerSlot: mean, certainty: 0}
		: forecastLoad({
				callsPerSlot: load.callsPerSlot,
				meanBusyShare: mean,
				ageMs: Math.max(0, now - loadAt),
				runMs,
			});
}

function reasonOf(state: EndpointState, runMs: number, now: number): ChoiceReason {
	const {certainty} = forecastOf(state, 0, runMs, now);
	if (certainty < recentCertainty) {
		return 'capacity';
	}

	return state.answeredAt === state.completion.loadAt ? 'answered-report' : 'common-report';
}

function weigh({endpoint, state, isLocal}: Replica, service: Service): Weighed {
	const {meanBusyShare, failures, ownCallsPerCapacity, groupRunMs, slowStartMs, now} = service;
	const {completion, history, inFlight, answeredAt} = state;
	const {slots} = endpoint;
	const runMs = groupRunMs * state.relativeRunTime;
	const capacity = slots / state.relativeRunTime;
	const {callsPerSlot, certainty} = forecastOf(state, meanBusyShare, runMs, now);
	const mean = history.busyShare ?? meanBusyShare;
	const isOwnReport = answeredAt === completion.loadAt;
	const reportWeight = isOwnReport ? weightOf.answeredReport : weightOf.commonReport;
	const ownExcess = (inFlight - ownCallsPerCapacity * capacity) / slots;
	const busyShare = Math.max(
		inFlight / slots,
		callsPerSlot + (completion.sentSinceReport / slots) * certainty,
	);
	const failureMs = excessFailureShareOf(completion, failures) * failureCostMs;
	const limitMs = limitedWaitMs(completion, now);
	const exponent =
		(callsPerSlot - mean) * reportWeight +
		ownExcess * weightOf.ownCalls +
		(mean - meanBusyShare) * weightOf.meanBusyShare +
		(failureMs + limitMs) / groupRunMs +
		Math.log(state.relativeRunTime) * idleSpeedExponent * spareShareOf(service);
	const queueMs = Math.max(0, busyShare + 1 / slots - 1) * runMs;
	const waitMs = Math.max(queueMs, limitMs);
	const expectedMs = waitMs + runMs + (isLocal ? 0 : remoteCostMs) + failureMs;
	const share = slowStartShare(now - state.addedAt, slowStartMs);
	const weight = share * capacity * Math.exp(-exponent);
	return {endpoint, expectedMs, hasRoom: waitMs === 0, weight};
}

/** Returns how much room a service has, from 1 when it is idle to 0 from {@link spareBusyShare} on. */
function spareShareOf({meanBusyShare}: Service): number {
	return Math.max(0, 1 - meanBusyShare / spareBusyShare);
}

import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../../model/routing-table.js';
import {failureMsOf, limitedWaitMs, remoteCostMs} from '../expected-completion.js';
import {type GroupMeans} from '../group-means.js';
import {type ChoiceInputs, type ChoiceStrategy} from './choice-policy.js';
import {
	boundedRunTime,
	commonFailureShare,
	localOrEarliest,
	type Candidate,
} from './earliest-answer.js';
import {type EndpointState, type EndpointStates} from './endpoint-state.js';
import {forecastLoad, type Forecast} from './load-forecast.js';

/**
 * Exponents per call per slot by which a replica's weight changes. What only this node knows, its own
 * calls and the reports in their answers, weighs more than what all nodes are told at the same time and
 * would all act on.
 */
const weightOf = {answeredReport: 12, commonReport: 1, ownCalls: 12, meanBusyShare: 1} as const;
/** Smallest sum by which own calls are shared out; guards against a division by zero. */
const leastCapacity = 1e-6;
const initialRunMs = 20;

/** What a choice knows of a replica. */
type Replica = {
	readonly endpoint: Endpoint;
	readonly state: EndpointState;
	readonly isLocal: boolean;
	/** Calls that it can run in the mean run time of its service. */
	readonly capacity: number;
	readonly runMs: number;
};

/** Means over the replicas of a service that a choice compares. */
type Service = {
	readonly meanBusyShare: number;
	readonly baseFailureShare: number;
	/** Calls of this node in progress in the local data centre, per capacity. */
	readonly ownCallsPerCapacity: number;
	readonly groupRunMs: number;
	readonly now: number;
};

type Weighed = Candidate & {readonly weight: number; readonly isLocal: boolean};

/**
 * Chooses at random, by weights that follow what replicas can run, so that many nodes that know the same
 * don't all choose the same replica; policy `even-load`. Recent reports and this node's own calls shift
 * the weights.
 */
export class EvenLoad implements ChoiceStrategy {
	readonly #dataCentre: string;
	readonly #states: EndpointStates;
	readonly #runTimes: GroupMeans;
	readonly #random: Random;

	/** @param runTimes - run times by group, scaled to a worker of the service's mean speed. */
	constructor(dataCentre: string, states: EndpointStates, runTimes: GroupMeans, random: Random) {
		this.#dataCentre = dataCentre;
		this.#states = states;
		this.#runTimes = runTimes;
		this.#random = random;
	}

	choose(inputs: ChoiceInputs): Endpoint | undefined {
		const {usable, now, profile} = inputs;
		const groupRunMs = this.#runTimes.expected(profile.group);
		const replicas = this.#replicas(usable, groupRunMs);
		const service = this.#serviceOf(replicas, groupRunMs, now);
		const weighed = replicas.map((replica) => weigh(replica, service));
		const local = weighed.filter(({isLocal}) => isLocal);
		return localOrEarliest(this.#draw(weighed), this.#draw(local), inputs);
	}

	#replicas(usable: readonly Endpoint[], groupRunMs: number): readonly Replica[] {
		let sumMs = 0;
		let count = 0;
		for (const endpoint of usable) {
			const {runMs} = this.#states.of(endpoint).history;
			sumMs += runMs ?? 0;
			count += runMs === undefined ? 0 : 1;
		}

		const meanRunMs = count === 0 ? initialRunMs : sumMs / count;
		return usable.map((endpoint) => {
			const state = this.#states.of(endpoint);
			state.relativeRunTime = boundedRunTime((state.history.runMs ?? meanRunMs) / meanRunMs);
			const runMs = groupRunMs * state.relativeRunTime;
			const capacity = endpoint.slots / state.relativeRunTime;
			return {endpoint, state, isLocal: endpoint.dataCentre === this.#dataCentre, capacity, runMs};
		});
	}

	#serviceOf(replicas: readonly Replica[], groupRunMs: number, now: number): Service {
		let busy = 0;
		let known = 0;
		let ownCalls = 0;
		let capacity = 0;
		for (const {state, isLocal, capacity: own} of replicas) {
			busy += state.history.busyShare ?? 0;
			known += state.history.busyShare === undefined ? 0 : 1;
			ownCalls += isLocal ? state.inFlight : 0;
			capacity += isLocal ? own : 0;
		}

		return {
			meanBusyShare: known === 0 ? 0 : busy / known,
			baseFailureShare: commonFailureShare(
				replicas.map(({endpoint}) => endpoint),
				this.#states,
			),
			ownCallsPerCapacity: ownCalls / Math.max(leastCapacity, capacity),
			groupRunMs,
			now,
		};
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

function weigh({endpoint, state, isLocal, capacity, runMs}: Replica, service: Service): Weighed {
	const {meanBusyShare, baseFailureShare, ownCallsPerCapacity, groupRunMs, now} = service;
	const {completion, history, inFlight, answeredAt} = state;
	const {slots} = endpoint;
	const {callsPerSlot, certainty} = forecastOf(state, meanBusyShare, runMs, now);
	const mean = history.busyShare ?? meanBusyShare;
	const isOwnReport = answeredAt === completion.loadAt;
	const reportWeight = isOwnReport ? weightOf.answeredReport : weightOf.commonReport;
	const ownExcess = (inFlight - ownCallsPerCapacity * capacity) / slots;
	const busyShare = Math.max(
		inFlight / slots,
		callsPerSlot + (completion.sentSinceReport / slots) * certainty,
	);
	const excessFailureShare = (completion.load?.failureShare ?? baseFailureShare) - baseFailureShare;
	const failureMs = failureMsOf(completion, excessFailureShare);
	const limitMs = limitedWaitMs(completion, now);
	const exponent =
		(callsPerSlot - mean) * reportWeight +
		ownExcess * weightOf.ownCalls +
		(mean - meanBusyShare) * weightOf.meanBusyShare +
		(failureMs + limitMs) / groupRunMs;
	const queueMs = Math.max(0, busyShare + 1 / slots - 1) * runMs;
	const waitMs = Math.max(queueMs, limitMs);
	const expectedMs = waitMs + runMs + (isLocal ? 0 : remoteCostMs) + failureMs;
	return {endpoint, expectedMs, weight: capacity * Math.exp(-exponent), isLocal};
}

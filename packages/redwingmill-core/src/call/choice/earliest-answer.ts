import {type Endpoint} from '../../model/routing-table.js';
import {
	excessFailureShareOf,
	expectedCompletionMs,
	type CompletionState,
	type ServiceFailureShares,
} from '../expected-completion.js';
import {type GroupMeans} from '../group-means.js';
import {type WorkerLoad} from '../worker-load.js';
import {type ChoiceInputs, type ChoiceStrategy} from './choice-policy.js';
import {type EndpointStates} from './endpoint-state.js';

/** An endpoint with what is expected of a call there. */
export type Candidate = {
	readonly endpoint: Endpoint;
	/** Milliseconds until it answers. */
	readonly expectedMs: number;
	/** Whether it has a free slot, so that the call need not wait. */
	readonly hasRoom: boolean;
};

/** A local endpoint is preferred if expected to answer within this share of the time to the target. */
const localTimeShare = 0.8;
/** Additional wait that is accepted to avoid sending one kilobyte to another data centre. */
const remoteCostPerKbMs = 12;
const bytesPerKb = 1024;
/** Bounds of a worker's run time relative to the mean. */
const relativeRunTimeBounds = {least: 0.2, most: 8} as const;

/** Chooses the endpoint that is expected to answer first: policy `expected-completion`. */
export class EarliestAnswer implements ChoiceStrategy {
	readonly #dataCentre: string;
	readonly #states: EndpointStates;
	readonly #runTimes: GroupMeans;

	/** @param runTimes - run times by group, scaled to a worker of the service's mean speed. */
	constructor(dataCentre: string, states: EndpointStates, runTimes: GroupMeans) {
		this.#dataCentre = dataCentre;
		this.#states = states;
		this.#runTimes = runTimes;
	}

	choose(inputs: ChoiceInputs): Endpoint | undefined {
		const {usable, now, profile} = inputs;
		const meanRunMs = meanRunMsOf(usable, this.#states);
		const groupRunMs = this.#runTimes.expected(profile.group);
		const failures = serviceFailureShares(usable, this.#states);
		let earliest: Candidate | undefined;
		let earliestLocal: Candidate | undefined;
		for (const endpoint of usable) {
			const state = this.#states.of(endpoint);
			const {completion, inFlight} = state;
			const isLocal = endpoint.dataCentre === this.#dataCentre;
			state.relativeRunTime = relativeRunTimeOf(completion.load, meanRunMs);
			const runMs = groupRunMs * state.relativeRunTime;
			const excessFailureShare = excessFailureShareOf(completion, failures);
			const {slots} = endpoint;
			const estimate = {slots, inFlight, isLocal, excessFailureShare, runMs, now};
			const expectedMs = expectedCompletionMs(completion, estimate);
			const candidate = {endpoint, expectedMs, hasRoom: hasRoom(completion, slots)};
			if (earliest === undefined || expectedMs < earliest.expectedMs) {
				earliest = candidate;
			}

			if (isLocal && (earliestLocal === undefined || expectedMs < earliestLocal.expectedMs)) {
				earliestLocal = candidate;
			}
		}

		return localOrEarliest(earliest, earliestLocal, inputs);
	}
}

/**
 * Decides between the endpoint with the earliest expected answer and the earliest local one. A local
 * one is preferred while it can answer in time, since a call to another data centre costs bytes on the
 * links between them. A remote one is chosen only if it is expected to answer in time, and earlier by a
 * margin that grows with the call's size: under overload everywhere, calls refused by one data centre
 * after another would load the links for nothing. A call that is late anyway and that the local ones have
 * refused goes to a remote one that has room. Without a local endpoint, the earliest one is chosen.
 */
export function localOrEarliest(
	earliest: Candidate | undefined,
	earliestLocal: Candidate | undefined,
	{hasLocal, now, profile: {targetAt, bytes = 0}}: ChoiceInputs,
): Endpoint | undefined {
	if (earliestLocal && isLocalInTime(earliestLocal, targetAt, now)) {
		return earliestLocal.endpoint;
	}

	if (!hasLocal || earliest === undefined) {
		return earliest?.endpoint;
	}

	const isInTime = earliest.expectedMs <= leftMsOf(targetAt, now);
	if (earliestLocal === undefined) {
		return isInTime || earliest.hasRoom ? earliest.endpoint : undefined;
	}

	const marginMs = (bytes / bytesPerKb) * remoteCostPerKbMs;
	const isEarlierEnough = earliest.expectedMs + marginMs < earliestLocal.expectedMs;
	return (isInTime && isEarlierEnough ? earliest : earliestLocal).endpoint;
}

/** Whether a local endpoint answers early enough that others need not be looked at. */
export function isLocalInTime(
	{expectedMs}: Candidate,
	targetAt: number | undefined,
	now: number,
): boolean {
	return expectedMs <= leftMsOf(targetAt, now) * localTimeShare;
}

function leftMsOf(targetAt: number | undefined, now: number): number {
	return targetAt === undefined ? Number.POSITIVE_INFINITY : targetAt - now;
}

/**
 * Returns the failure shares that all endpoints have in common; their cause lies elsewhere.
 *
 * @param reportedSum - sum of the failure shares that gates reported, where the caller has it already.
 */
export function serviceFailureShares(
	endpoints: readonly Endpoint[],
	states: EndpointStates,
	reportedSum = reportedFailureSum(endpoints, states),
): ServiceFailureShares {
	const service = endpoints.at(0)?.service ?? '';
	return {
		reportedSum,
		endpointCount: endpoints.length,
		observed: states.failures.shareOf(service),
	};
}

function reportedFailureSum(endpoints: readonly Endpoint[], states: EndpointStates): number {
	let sum = 0;
	for (const endpoint of endpoints) {
		sum += states.of(endpoint).completion.load?.failureShare ?? 0;
	}

	return sum;
}

/** Returns the mean run time over the endpoints whose load is known; undefined if none is. */
export function meanRunMsOf(
	endpoints: readonly Endpoint[],
	states: EndpointStates,
): number | undefined {
	let sumMs = 0;
	let count = 0;
	for (const endpoint of endpoints) {
		const {load} = states.of(endpoint).completion;
		sumMs += load?.runMs ?? 0;
		count += load ? 1 : 0;
	}

	return count === 0 ? undefined : sumMs / count;
}

/** Returns a worker's run time relative to the mean of its service; 1 when it is unknown. */
export function relativeRunTimeOf(
	load: WorkerLoad | undefined,
	meanRunMs: number | undefined,
): number {
	if (load === undefined || meanRunMs === undefined || meanRunMs <= 0) {
		return 1;
	}

	return boundedRunTime(load.runMs / meanRunMs);
}

/** Bounds a worker's run time relative to the mean of its service. */
export function boundedRunTime(relative: number): number {
	return Math.min(relativeRunTimeBounds.most, Math.max(relativeRunTimeBounds.least, relative));
}

function hasRoom({load, sentSinceReport}: CompletionState, slots: number): boolean {
	return (load?.callsPerSlot ?? 0) + (sentSinceReport + 1) / slots <= 1;
}

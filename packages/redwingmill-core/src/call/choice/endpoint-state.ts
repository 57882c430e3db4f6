import {type Endpoint} from '../../model/routing-table.js';
import {initialCompletion, type CompletionState} from '../expected-completion.js';
import {type ChoiceReason} from './choice-policy.js';
import {LoadHistory} from './load-history.js';
import {ServiceFailures} from './service-failures.js';

/** State of an endpoint, from this node's calls and the gate's reports. */
export type EndpointState = {
	/** Time at which the endpoint was added, in monotonic milliseconds. */
	readonly addedAt: number;
	inFlight: number;
	/** Why it was chosen last; absent under policies that give no reason. */
	choiceReason?: ChoiceReason;
	completion: CompletionState;
	/** Means of the reports, only where the policy `even-load` is in use. */
	readonly history: LoadHistory;
	/** Run time relative to the mean of the service's workers, at the last choice. */
	relativeRunTime: number;
	/** Running and waiting calls per slot, as the gate last reported. */
	reportedCallsPerSlot: number;
	loadAt: number;
	/** Time at which it last reported its load with an answer to this node, in monotonic milliseconds. */
	answeredAt: number;
	/** Time at which this node last sent an attempt there. */
	sentAt: number;
	/** Consecutive failures. */
	failures: number;
	/** Consecutive ejections; each doubles the duration of the next. */
	ejections: number;
	ejectedUntil: number;
};

/** States of all endpoints that a node knows of. */
export class EndpointStates {
	/** Failures of attempts by service, whichever endpoint they went to. */
	readonly failures = new ServiceFailures();
	#states = new Map<string, EndpointState>();
	/** Spares composing the key for each endpoint at each choice. */
	#statesByEndpoint = new WeakMap<Endpoint, EndpointState>();

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

	of(endpoint: Endpoint): EndpointState {
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

function newState(addedAt: number): EndpointState {
	return {
		addedAt,
		inFlight: 0,
		completion: initialCompletion,
		history: new LoadHistory(),
		relativeRunTime: 1,
		reportedCallsPerSlot: 0,
		loadAt: 0,
		answeredAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		failures: 0,
		ejections: 0,
		ejectedUntil: 0,
	};
}

function keyOf({node, incarnation}: Endpoint): string {
	return `${node}/${incarnation}`;
}

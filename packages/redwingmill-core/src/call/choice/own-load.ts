import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../../model/routing-table.js';
import {type ChoiceInputs, type ChoiceOptions, type ChoiceStrategy} from './choice-policy.js';
import {type EndpointStates} from './endpoint-state.js';
import {slowStartShare} from './slow-start.js';

const loadHalfLifeMs = 200;
/** Calls per slot at which a local endpoint counts as full. */
const fullCallsPerSlot = 2;

/**
 * Chooses by calls per slot, or regardless of load: policies `two-choices`, `least-loaded`, `random` and
 * `round-robin`. Local endpoints are preferred until all of them are full.
 */
export class OwnLoad implements ChoiceStrategy {
	readonly #options: ChoiceOptions;
	readonly #states: EndpointStates;
	readonly #random: Random;
	#roundRobinTurn = 0;

	constructor(options: ChoiceOptions, states: EndpointStates, random: Random) {
		this.#options = options;
		this.#states = states;
		this.#random = random;
	}

	choose({usable, now}: ChoiceInputs): Endpoint | undefined {
		const {dataCentre} = this.#options;
		const local = usable.filter((endpoint) => endpoint.dataCentre === dataCentre);
		const hasCapacity = local.some((endpoint) => this.#loadOf(endpoint, now) < fullCallsPerSlot);
		return this.#chooseByPolicy(hasCapacity ? local : usable, now);
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
			case 'even-load':
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
		const share = slowStartShare(now - this.#states.of(endpoint).addedAt, slowStartMs);
		return (this.#loadOf(endpoint, now) + 1 / endpoint.slots) / share;
	}

	/** Returns the calls per slot: this node's own, or the reported ones with decay, if higher. */
	#loadOf(endpoint: Endpoint, now: number): number {
		const {inFlight, reportedCallsPerSlot, loadAt} = this.#states.of(endpoint);
		const decayed = reportedCallsPerSlot * 0.5 ** ((now - loadAt) / loadHalfLifeMs);
		return Math.max(inFlight / endpoint.slots, decayed);
	}
}

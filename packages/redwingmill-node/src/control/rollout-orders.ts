import {
	type DirectoryEffect,
	type DirectoryEvent,
	type StoredRollout,
	type StoredStatus,
} from 'redwingmill-core';
import {type Random, type Teardown} from 'redwingmill-shared';
import {logEvents} from '../observe/log-event.js';
import {type Log} from '../observe/log.js';
import {MalformedObjects} from './malformed-objects.js';
import {RolloutWatch} from './rollout-watch.js';
import {type RolloutsReadResult, type RolloutStore} from './store-ports.js';

/** Dependencies of {@link RolloutOrders}. */
export type RolloutOrdersOptions = {
	readonly store: RolloutStore;
	readonly log: Log;
	readonly random: Random;
	/** Returns the duration of the next long poll in milliseconds. */
	readonly longPollMs: () => number;
	/** Passes what the store answered to the directory. */
	readonly dispatch: (event: DirectoryEvent) => void;
};

/** Effects of the directory that concern the orders. */
export type RolloutEffect = Extract<
	DirectoryEffect,
	{type: 'list-rollouts' | 'write-rollout-status'}
>;

type Listing = Extract<RolloutsReadResult, {type: 'listed'}>;

/** Access of a node to the orders of rollouts in the store. */
export class RolloutOrders {
	readonly #options: RolloutOrdersOptions;
	/** Undefined while this node relies on other nodes for the orders. */
	#watch: RolloutWatch | undefined;
	#stopWatch: Teardown | undefined;
	readonly #malformed = new MalformedObjects(({name, faults}) => {
		this.#options.log.write(logEvents.rolloutRefused, {service: name, faults});
	});

	constructor(options: RolloutOrdersOptions) {
		this.#options = options;
	}

	/** Starts or stops watching the orders. */
	setWatch(isOn: boolean): void {
		this.#stopWatch?.();
		this.#watch = isOn ? this.#createWatch() : undefined;
		this.#stopWatch = this.#watch?.start();
	}

	/** Abandons the poll in progress, if there is one, and lists the orders again. */
	renew(): void {
		this.#watch?.renew();
	}

	perform(effect: RolloutEffect): void {
		if (effect.type === 'list-rollouts') {
			void this.#list();
		} else {
			void this.#writeStatus(effect.rollout, effect.status);
		}
	}

	async #list(): Promise<void> {
		const result = await this.#options.store.list();
		if (result.type === 'listed') {
			this.#onListed(result);
		}
	}

	async #writeStatus(rollout: StoredRollout, status: StoredStatus): Promise<void> {
		const {store, dispatch} = this.#options;
		const result = await store.writeStatus(rollout, status);
		dispatch({type: 'rollout-status-written', rollout, status, result});
	}

	#createWatch(): RolloutWatch {
		const {store, random, longPollMs} = this.#options;
		const handlers = {
			onListed: (listing: Listing) => {
				this.#onListed(listing);
			},
			longPollMs,
		};
		return new RolloutWatch(store, handlers, random);
	}

	#onListed({rollouts, malformed, position}: Listing): void {
		const {dispatch} = this.#options;
		this.#malformed.update(malformed);
		dispatch({type: 'rollouts-listed', ...position, rollouts});
	}
}

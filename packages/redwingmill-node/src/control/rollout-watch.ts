import {setTimeout as delay} from 'node:timers/promises';
import {backoffDelay, type Backoff, type Random, type Teardown} from 'redwingmill-shared';
import {type RolloutsReadResult, type RolloutStore, type StorePosition} from './store-ports.js';

/** Callbacks of a {@link RolloutWatch}. */
export type RolloutWatchHandlers = {
	readonly onListed: (result: Extract<RolloutsReadResult, {type: 'listed'}>) => void;
	/** Returns the duration of the next long poll in milliseconds. */
	readonly longPollMs: () => number;
};

/** Pause after a change, so that changes in quick succession need one list. */
const pauseAfterChangeMs = 50;
const retryBackoff: Backoff = {baseMs: 100, ceilingMs: 800};

/** Long-polls the store for changes of orders and lists them after each; retries with backoff. */
export class RolloutWatch {
	readonly #store: RolloutStore;
	readonly #handlers: RolloutWatchHandlers;
	readonly #random: Random;
	readonly #stopped = new AbortController();
	/** Aborts the poll in progress; absent between two polls. */
	#poll: AbortController | undefined;
	#failures = 0;

	constructor(store: RolloutStore, handlers: RolloutWatchHandlers, random: Random) {
		this.#store = store;
		this.#handlers = handlers;
		this.#random = random;
	}

	/** Starts the watch. The returned teardown stops it; a stopped watch can't be started again. */
	start(): Teardown {
		void this.#run();
		return () => {
			this.#stopped.abort();
			this.#poll?.abort();
		};
	}

	/** Abandons the poll in progress, if there is one, and lists the orders again. */
	renew(): void {
		this.#poll?.abort();
	}

	async #run(): Promise<void> {
		let position: StorePosition | undefined;
		while (!this.#stopped.signal.aborted) {
			position = position === undefined ? await this.#list() : await this.#wait(position);
		}
	}

	/** Returns the position to wait from; undefined if the list failed. */
	async #list(): Promise<StorePosition | undefined> {
		const result = await this.#store.list();
		if (this.#stopped.signal.aborted) {
			return undefined;
		}

		if (result.type === 'failed') {
			await this.#backOff();
			return undefined;
		}

		this.#failures = 0;
		this.#handlers.onListed(result);
		return result.position;
	}

	/** Returns the position to wait from; undefined if the orders have to be listed again. */
	async #wait(position: StorePosition): Promise<StorePosition | undefined> {
		const poll = new AbortController();
		this.#poll = poll;
		const waitMs = this.#handlers.longPollMs();
		const result = await this.#store.waitForChange(position, waitMs, poll.signal);
		this.#poll = undefined;
		switch (result.type) {
			case 'unchanged': {
				this.#failures = 0;
				return result.position;
			}

			case 'changed': {
				await this.#sleep(pauseAfterChangeMs);
				return undefined;
			}

			case 'expired': {
				return undefined;
			}

			case 'failed': {
				if (!poll.signal.aborted) {
					await this.#backOff();
				}

				return undefined;
			}
		}
	}

	async #backOff(): Promise<void> {
		const delayMs = backoffDelay(retryBackoff, this.#failures, this.#random);
		this.#failures += 1;
		await this.#sleep(delayMs);
	}

	async #sleep(ms: number): Promise<void> {
		await delay(ms, undefined, {signal: this.#stopped.signal}).catch(() => undefined);
	}
}

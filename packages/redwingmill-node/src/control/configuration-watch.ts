import {setTimeout as delay} from 'node:timers/promises';
import {backoffDelay, type Backoff, type Random, type Teardown} from 'redwingmill-shared';
import {type ConfigurationReadResult, type ConfigurationSource} from './store-ports.js';

/** What the watch reports. */
export type ConfigurationWatchHandlers = {
	readonly onSource: (source: unknown) => void;
	/** Called when contact with the store is lost or regained. */
	readonly onReachabilityChange: (isInContact: boolean, reason: string) => void;
};

/** One wait; a connection that fell silent is noticed after it. */
const longPollTimeoutMs = 4000;
/** Shortest time between two waits: changes in quick succession come in one answer. */
const pauseAfterChangeMs = 150;
const retryBackoff: Backoff = {baseMs: 100, ceilingMs: 800};

/** Watches the configuration in the store for as long as it runs. */
export class ConfigurationWatch {
	readonly #source: ConfigurationSource;
	readonly #handlers: ConfigurationWatchHandlers;
	readonly #random: Random;
	readonly #stopped = new AbortController();
	#isReachable = false;
	#failures = 0;

	constructor(source: ConfigurationSource, handlers: ConfigurationWatchHandlers, random: Random) {
		this.#source = source;
		this.#handlers = handlers;
		this.#random = random;
	}

	/** Starts watching. The returned teardown ends it for good. */
	start(): Teardown {
		void this.#run();
		return () => {
			this.#stopped.abort();
		};
	}

	async #run(): Promise<void> {
		let revision: number | undefined;
		while (!this.#stopped.signal.aborted) {
			const {signal} = this.#stopped;
			const reading =
				revision === undefined
					? await this.#source.read()
					: await this.#source.waitForChange(revision, longPollTimeoutMs, signal);
			if (signal.aborted) {
				return;
			}

			revision = this.#handleResult(reading);
			await this.#delayNextRead(reading);
		}
	}

	/** Revision to go on from; undefined to read anew. */
	#handleResult(reading: ConfigurationReadResult): number | undefined {
		switch (reading.type) {
			case 'found': {
				this.#setReachable(true, 'answered');
				this.#handlers.onSource(reading.source);
				return reading.revision;
			}

			case 'missing':
			case 'unchanged': {
				this.#setReachable(true, 'answered');
				return reading.revision;
			}

			case 'expired': {
				this.#setReachable(true, 'history dropped');
				return undefined;
			}

			case 'failed': {
				this.#setReachable(false, reading.reason);
				return undefined;
			}
		}
	}

	async #delayNextRead({type}: ConfigurationReadResult): Promise<void> {
		if (type === 'failed') {
			await this.#sleep(backoffDelay(retryBackoff, this.#failures, this.#random));
			this.#failures += 1;
		} else {
			this.#failures = 0;
			await this.#sleep(type === 'found' ? pauseAfterChangeMs : 0);
		}
	}

	async #sleep(ms: number): Promise<void> {
		if (ms > 0) {
			await delay(ms, undefined, {signal: this.#stopped.signal}).catch(() => undefined);
		}
	}

	#setReachable(isInContact: boolean, reason: string): void {
		if (isInContact !== this.#isReachable) {
			this.#isReachable = isInContact;
			this.#handlers.onReachabilityChange(isInContact, reason);
		}
	}
}

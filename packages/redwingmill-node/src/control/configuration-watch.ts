import {setTimeout as delay} from 'node:timers/promises';
import {backoffDelay, type Backoff, type Random, type Teardown} from 'redwingmill-shared';
import {type ConfigurationReading, type ConfigurationSource} from './store-ports.js';

/** What the watch reports. */
export type ConfigurationHandlers = {
	readonly onSource: (source: unknown) => void;
	/** Called when contact with the store is lost or regained. */
	readonly onContact: (isInContact: boolean, reason: string) => void;
};

/** One wait; a connection that fell silent is noticed after it. */
const waitMs = 4000;
/** Shortest time between two waits: changes in quick succession come in one answer. */
const spacingMs = 150;
const retryBackoff: Backoff = {baseMs: 100, ceilingMs: 800};

/** Watches the configuration in the store for as long as it runs. */
export class ConfigurationWatch {
	readonly #source: ConfigurationSource;
	readonly #handlers: ConfigurationHandlers;
	readonly #random: Random;
	readonly #stopped = new AbortController();
	#isInContact = false;
	#failures = 0;

	constructor(source: ConfigurationSource, handlers: ConfigurationHandlers, random: Random) {
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
					: await this.#source.waitForChange(revision, waitMs, signal);
			if (signal.aborted) {
				return;
			}

			revision = this.#take(reading);
			await this.#pause(reading);
		}
	}

	/** Revision to go on from; undefined to read anew. */
	#take(reading: ConfigurationReading): number | undefined {
		switch (reading.type) {
			case 'found': {
				this.#setContact(true, 'answered');
				this.#handlers.onSource(reading.source);
				return reading.revision;
			}

			case 'missing':
			case 'unchanged': {
				this.#setContact(true, 'answered');
				return reading.revision;
			}

			case 'expired': {
				this.#setContact(true, 'history dropped');
				return undefined;
			}

			case 'failed': {
				this.#setContact(false, reading.reason);
				return undefined;
			}
		}
	}

	async #pause({type}: ConfigurationReading): Promise<void> {
		if (type === 'failed') {
			await this.#sleep(backoffDelay(retryBackoff, this.#failures, this.#random));
			this.#failures += 1;
		} else {
			this.#failures = 0;
			await this.#sleep(type === 'found' ? spacingMs : 0);
		}
	}

	async #sleep(ms: number): Promise<void> {
		if (ms > 0) {
			await delay(ms, undefined, {signal: this.#stopped.signal}).catch(() => undefined);
		}
	}

	#setContact(isInContact: boolean, reason: string): void {
		if (isInContact !== this.#isInContact) {
			this.#isInContact = isInContact;
			this.#handlers.onContact(isInContact, reason);
		}
	}
}

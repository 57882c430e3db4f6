import {setTimeout as delay} from 'node:timers/promises';
import {objectKinds, type ObjectKind, type PlatformObject} from 'redwingmill-core';
import {backoffDelay, type Backoff, type Random, type Teardown} from 'redwingmill-shared';
import {WatchExpiredError} from './errors.js';
import {type PlatformClient} from './platform-client.js';

/** What a watcher reports. */
export type WatchHandlers = {
	readonly onObject: (object: PlatformObject) => void;
	/** Called with `true` when every kind is listed and watched, and with `false` when one isn't. */
	readonly onCurrent: (isCurrent: boolean) => void;
	readonly onRetry: (error: unknown) => void;
};

const retryBackoff: Backoff = {baseMs: 100, ceilingMs: 3000};

/** Lists and watches all kinds; resumes from the last version and lists again only when it must. */
export class PlatformWatcher {
	readonly #client: PlatformClient;
	readonly #handlers: WatchHandlers;
	readonly #random: Random;
	readonly #currentKinds = new Set<ObjectKind>();
	readonly #stopController = new AbortController();

	constructor(client: PlatformClient, handlers: WatchHandlers, random: Random) {
		this.#client = client;
		this.#handlers = handlers;
		this.#random = random;
	}

	/** Starts watching. The returned teardown ends it for good. */
	start(): Teardown {
		for (const kind of objectKinds) {
			this.#listAndWatch(kind).catch((error: unknown) => {
				this.#handlers.onRetry(error);
			});
		}

		return () => {
			this.#stopController.abort();
		};
	}

	async #listAndWatch(kind: ObjectKind): Promise<void> {
		const {signal} = this.#stopController;
		let resumeFrom: number | undefined;
		let attempt = 0;
		while (!signal.aborted) {
			try {
				resumeFrom ??= await this.#list(kind);
				for await (const change of this.#client.watch(kind, resumeFrom, signal)) {
					if (signal.aborted) {
						return;
					}

					attempt = 0;
					this.#setCurrent(kind, true);
					if (change.type === 'changed') {
						this.#handlers.onObject(change.object);
						resumeFrom = change.object.resourceVersion;
					} else {
						resumeFrom = Math.max(resumeFrom, change.resourceVersion);
					}
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				this.#handlers.onRetry(error);
				resumeFrom = error instanceof WatchExpiredError ? undefined : resumeFrom;
			}

			this.#setCurrent(kind, false);
			await delay(backoffDelay(retryBackoff, attempt, this.#random));
			attempt += 1;
		}
	}

	async #list(kind: ObjectKind): Promise<number> {
		const {objects, resourceVersion} = await this.#client.list(kind);
		for (const object of objects) {
			this.#handlers.onObject(object);
		}

		return resourceVersion;
	}

	#setCurrent(kind: ObjectKind, isCurrent: boolean): void {
		if (this.#stopController.signal.aborted) {
			return;
		}

		const wasCurrent = this.#currentKinds.size === objectKinds.length;
		if (isCurrent) {
			this.#currentKinds.add(kind);
		} else {
			this.#currentKinds.delete(kind);
		}

		const isAllCurrent = this.#currentKinds.size === objectKinds.length;
		if (isAllCurrent !== wasCurrent) {
			this.#handlers.onCurrent(isAllCurrent);
		}
	}
}

import {type ObjectKind, type PlatformObject, type WriteOutcome} from 'redwingmill-core';
import {type Teardown} from 'redwingmill-shared';

/** One write to the store. */
export type StoreChange = {
	/** Whether the write created the object. */
	readonly isNew: boolean;
	readonly object: PlatformObject;
};

/** All objects of one kind as of one resource version of the store. */
export type StoreList = {
	readonly resourceVersion: number;
	readonly objects: readonly PlatformObject[];
};

const maximumHistoryChanges = 1000;

/** In-memory store of versioned objects with conditional writes and a bounded history for watches. */
export class ObjectStore {
	readonly #objects = new Map<string, PlatformObject>();
	readonly #listeners = new Set<(change: StoreChange) => void>();
	#history: StoreChange[] = [];
	#resourceVersion = 0;

	get resourceVersion(): number {
		return this.#resourceVersion;
	}

	read(kind: ObjectKind, name: string): PlatformObject | undefined {
		return this.#objects.get(keyOf(kind, name));
	}

	list(kind: ObjectKind): StoreList {
		const objects = [...this.#objects.values()].filter((object) => object.kind === kind);
		return {resourceVersion: this.#resourceVersion, objects};
	}

	/** Writes only if `object.resourceVersion` is the stored one; 0 means that no object is stored. */
	write(object: PlatformObject): WriteOutcome {
		const key = keyOf(object.kind, object.name);
		const stored = this.#objects.get(key);
		if ((stored?.resourceVersion ?? 0) !== object.resourceVersion) {
			return {type: 'conflict'};
		}

		this.#resourceVersion += 1;
		const written = {...object, resourceVersion: this.#resourceVersion};
		this.#objects.set(key, written);
		this.#publish({isNew: stored === undefined, object: written});
		return {type: 'written', resourceVersion: this.#resourceVersion};
	}

	/** Returns the changes after `resourceVersion`, or undefined if some of them are no longer kept. */
	changesSince(resourceVersion: number): readonly StoreChange[] | undefined {
		const oldest = this.#history[0]?.object.resourceVersion ?? this.#resourceVersion + 1;
		if (resourceVersion + 1 < oldest) {
			return undefined;
		}

		return this.#history.filter((change) => change.object.resourceVersion > resourceVersion);
	}

	/** Discards the history, as the platform does after some time. */
	compact(): void {
		this.#history = [];
	}

	registerListener(listener: (change: StoreChange) => void): Teardown {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#publish(change: StoreChange): void {
		this.#history.push(change);
		if (this.#history.length > maximumHistoryChanges) {
			this.#history.shift();
		}

		for (const listener of this.#listeners) {
			listener(change);
		}
	}
}

function keyOf(kind: ObjectKind, name: string): string {
	return `${kind}/${name}`;
}

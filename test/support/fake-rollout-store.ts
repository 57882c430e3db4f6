import {type StoredRollout, type StoredStatus} from 'redwingmill-core';

/** Status as the store keeps it; `startedAt` is virtual time. */
type KeptStatus = Omit<StoredStatus, 'elapsedMs'> & {
	readonly targetVersion: string;
	readonly orderRevision: number;
	readonly startedAt: number;
};

/** An order in the simulated store. */
export type RolloutObject = {
	readonly targetVersion: string;
	readonly durationMs: number;
	readonly revision: number;
	readonly status?: KeptStatus;
};

/** What becomes of the writes of a status. */
export type StatusFault =
	| {readonly type: 'none'}
	/** Executes the write after a delay and loses the answer. */
	| {readonly type: 'answer-lost'; readonly delayMs: number};

/** Result of writing a status. */
export type StatusResult =
	{readonly type: 'written'; readonly revision: number} | {readonly type: 'conflict'};

/** Orders of rollouts in a simulated store, with the rules by which the platform's port reads them. */
export class FakeRolloutStore {
	revision = 1;
	#objects = new Map<string, RolloutObject>();

	order(service: string, targetVersion: string, durationMs: number, _now: number): void {
		this.revision += 1;
		const previous = this.#objects.get(service);
		this.#objects.set(service, {...previous, targetVersion, durationMs, revision: this.revision});
	}

	remove(service: string): void {
		this.revision += 1;
		this.#objects.delete(service);
	}

	/** Writes a status if the object still has the revision read. */
	writeStatus(
		{order, revision}: StoredRollout,
		{elapsedMs, ...fields}: StoredStatus,
		now: number,
	): StatusResult {
		const object = this.#objects.get(order.service);
		if (object?.revision !== revision) {
			return {type: 'conflict'};
		}

		this.revision += 1;
		const {targetVersion, revision: orderRevision} = order;
		const startedAt = now - elapsedMs;
		const status = {...fields, targetVersion, orderRevision, startedAt};
		this.#objects.set(order.service, {...object, revision: this.revision, status});
		return {type: 'written', revision: this.revision};
	}

	list(era: number, now: number): StoredRollout[] {
		return [...this.#objects.keys()].flatMap((service) => this.read(service, era, now) ?? []);
	}

	/** Returns an order with its status, if that is of the order's version. */
	read(service: string, era: number, now: number): StoredRollout | undefined {
		const object = this.#objects.get(service);
		if (object === undefined) {
			return undefined;
		}

		const {targetVersion, durationMs, revision} = object;
		const kept = object.status?.targetVersion === targetVersion ? object.status : undefined;
		const order = {
			service,
			targetVersion,
			durationMs,
			era,
			revision: kept?.orderRevision ?? revision,
		};
		if (kept === undefined) {
			return {order, revision};
		}

		const {state, share, reason, decider, startedAt} = kept;
		const status = {state, share, reason, decider, elapsedMs: Math.max(0, now - startedAt)};
		return {order, revision, status};
	}

	copy(): ReadonlyMap<string, RolloutObject> {
		return new Map(this.#objects);
	}

	/** Returns to an earlier state; revisions are then given out again. */
	restore(objects: ReadonlyMap<string, RolloutObject>): void {
		this.#objects = new Map(objects);
		this.revision = Math.max(1, ...[...objects.values()].map(({revision}) => revision));
	}
}

import {type Worker} from '../model/node-record.js';

/** Position of an announcement among all that were made from one host. */
export type AnnouncementOrder = {
	/** Start of the worker instance that made it, in Unix milliseconds. */
	readonly startedAt: number;
	/** Grows with each announcement of one worker instance. */
	readonly sequence: number;
};

/** Result of an announcement. */
export type Renewal =
	/** Something about the worker changed. */
	| {readonly type: 'changed'; readonly worker: Worker}
	| {readonly type: 'unchanged'}
	/** It is older than one already applied, or from a worker that has left. */
	| {readonly type: 'outdated'};

/** Maximum number of departed instances retained; more on one host within a lease is a fault. */
const maximumDeparted = 100;

/** Tracks the worker's state by its announcements. A worker that stops announcing itself is absent. */
export class WorkerLease {
	readonly #durationMs: number;
	/** Start of each departed worker instance, by identity; undefined if it was never announced. */
	readonly #departed = new Map<string, number | undefined>();
	#worker: Worker | undefined;
	/** Whether all departures are known that were announced before this process started. */
	#knowsDepartures = true;
	/** Ready worker that counts as starting until it is certain that it hasn't left. */
	#unconfirmed: Worker | undefined;
	#order: AnnouncementOrder | undefined;
	#renewedAt = 0;

	/** @param durationMs - time for which one announcement is valid. */
	constructor(durationMs: number) {
		this.#durationMs = durationMs;
	}

	/**
	 * Has the first announcement of a ready worker confirmed, by {@link confirmDepartures} or by a second one
	 * of the same start: it may have been delayed, and its sender may have left meanwhile.
	 */
	awaitDepartures(): void {
		this.#knowsDepartures = false;
	}

	/**
	 * Tells that all departures are known that were announced before this process started. Returns the
	 * worker if it is ready from now on.
	 */
	confirmDepartures(): Worker | undefined {
		const worker = this.#unconfirmed;
		this.#knowsDepartures = true;
		this.#unconfirmed = undefined;
		if (worker === undefined || this.#worker?.state !== 'starting') {
			return undefined;
		}

		this.#worker = worker;
		return worker;
	}

	/** Returns the start of the current instance; undefined for another one or if it is unknown. */
	startOf(instance: string): number | undefined {
		return this.#worker?.instance === instance ? this.#order?.startedAt : undefined;
	}

	/** Applies an announcement. Without an order, the last one received counts as the newest. */
	renew(announced: Worker, now: number, order?: AnnouncementOrder): Renewal {
		if (this.#isOutdated(announced, order)) {
			return {type: 'outdated'};
		}

		const previous = this.#worker;
		const worker = this.#confirmed(announced, order);
		this.#worker = worker;
		this.#order = order ?? this.#order;
		this.#renewedAt = now;
		return previous && isSameWorker(previous, worker)
			? {type: 'unchanged'}
			: {type: 'changed', worker};
	}

	/**
	 * Drains the worker instance: it gets no new calls, whatever it announces later. Returns the changed
	 * worker; undefined unless the instance is the current one and was ready.
	 *
	 * @param startedAt - start of the instance that leaves. A later start of the same instance isn't
	 *   concerned. Without it, the current start leaves, or any if the instance isn't the current one.
	 */
	leave(instance: string, startedAt?: number): Worker | undefined {
		const isKnown = this.#worker?.instance === instance;
		const currentStartedAt = isKnown ? this.#order?.startedAt : undefined;
		const isCurrent =
			isKnown &&
			(startedAt === undefined || currentStartedAt === undefined || currentStartedAt <= startedAt);
		this.#unconfirmed = isCurrent ? undefined : this.#unconfirmed;
		this.#departed.set(instance, this.#lastDepartedStart(instance, startedAt ?? currentStartedAt));
		for (const oldest of this.#departed.keys()) {
			if (this.#departed.size <= maximumDeparted) {
				break;
			}

			this.#departed.delete(oldest);
		}

		const state = this.#worker?.state;
		if (!isCurrent || this.#worker === undefined || (state !== 'ready' && state !== 'starting')) {
			return undefined;
		}

		this.#worker = {...this.#worker, state: 'draining'};
		return this.#worker;
	}

	/**
	 * Marks an unreachable worker as absent until its next announcement. Returns the changed worker;
	 * undefined if none was present.
	 */
	revoke(): Worker | undefined {
		const worker = this.#worker;
		if (worker === undefined || worker.state === 'absent') {
			return undefined;
		}

		this.#worker = {...worker, state: 'absent'};
		return this.#worker;
	}

	/** Returns the worker as absent when its lease has just expired; otherwise undefined. */
	expire(now: number): Worker | undefined {
		const hasExpired = now - this.#renewedAt > this.#durationMs;
		return hasExpired ? this.revoke() : undefined;
	}

	/** Returns a ready worker as starting while it isn't certain that it hasn't left. */
	#confirmed(worker: Worker, order: AnnouncementOrder | undefined): Worker {
		const isRepeated =
			this.#unconfirmed?.instance === worker.instance &&
			order !== undefined &&
			order.startedAt === this.#order?.startedAt;
		if (this.#knowsDepartures || worker.state !== 'ready' || isRepeated) {
			this.#unconfirmed = undefined;
			this.#knowsDepartures ||= isRepeated;
			return worker;
		}

		this.#unconfirmed = worker;
		return {...worker, state: 'starting'};
	}

	/** Returns the later of this start of an instance and one that left before; undefined if unknown. */
	#lastDepartedStart(instance: string, startedAt: number | undefined): number | undefined {
		const previous = this.#departed.get(instance);
		return startedAt === undefined || previous === undefined
			? startedAt
			: Math.max(previous, startedAt);
	}

	#isOutdated({instance}: Worker, order: AnnouncementOrder | undefined): boolean {
		const departedStartedAt = instance === undefined ? undefined : this.#departed.get(instance);
		const hasDeparted = instance !== undefined && this.#departed.has(instance);
		if (
			hasDeparted &&
			(departedStartedAt === undefined || !order || order.startedAt <= departedStartedAt)
		) {
			return true;
		}

		if (order === undefined || this.#order === undefined) {
			return false;
		}

		return order.startedAt === this.#order.startedAt
			? order.sequence <= this.#order.sequence
			: order.startedAt < this.#order.startedAt;
	}
}

function isSameWorker(a: Worker, b: Worker): boolean {
	return (
		a.service === b.service &&
		a.address === b.address &&
		a.slots === b.slots &&
		a.state === b.state &&
		a.instance === b.instance &&
		a.startedAt === b.startedAt &&
		a.version === b.version
	);
}

import {type Worker} from '../model/node-record.js';

/** Place of an announcement among all that were ever made from one host. */
export type AnnouncementOrder = {
	/** Start of the worker that made it, in Unix milliseconds. */
	readonly startedAt: number;
	/** Grows with each announcement of one life. */
	readonly sequence: number;
};

/** Outcome of an announcement. */
export type Renewal =
	/** Something about the worker changed. */
	| {readonly type: 'changed'; readonly worker: Worker}
	| {readonly type: 'unchanged'}
	/** It is older than one taken before, or of a worker that has left. */
	| {readonly type: 'outdated'};

/** Lives that have said that they leave; more of them on one host within the lease is a mistake. */
const maximumDeparted = 100;

/** The worker's announcements. A worker that stops announcing itself is absent. */
export class WorkerLease {
	readonly #durationMs: number;
	/** Start of each worker that left, by identity; undefined when it was never announced. */
	readonly #departed = new Map<string, number | undefined>();
	#worker: Worker | undefined;
	#order: AnnouncementOrder | undefined;
	#renewedAt = 0;

	/** @param durationMs - how long one announcement holds. */
	constructor(durationMs: number) {
		this.#durationMs = durationMs;
	}

	/** Takes an announcement. Without an order, the last to come counts as the newest. */
	renew(worker: Worker, now: number, order?: AnnouncementOrder): Renewal {
		if (this.#isOutdated(worker, order)) {
			return {type: 'outdated'};
		}

		const previous = this.#worker;
		this.#worker = worker;
		this.#order = order ?? this.#order;
		this.#renewedAt = now;
		return previous && isSameWorker(previous, worker)
			? {type: 'unchanged'}
			: {type: 'changed', worker};
	}

	/** The worker with this identity leaves: it gets no new calls whatever it announces later. */
	leave(instance: string): Worker | undefined {
		const isCurrent = this.#worker?.instance === instance;
		this.#departed.set(instance, isCurrent ? this.#order?.startedAt : undefined);
		for (const oldest of this.#departed.keys()) {
			if (this.#departed.size <= maximumDeparted) {
				break;
			}

			this.#departed.delete(oldest);
		}

		if (!isCurrent || this.#worker === undefined || this.#worker.state !== 'ready') {
			return undefined;
		}

		this.#worker = {...this.#worker, state: 'draining'};
		return this.#worker;
	}

	/** The worker can't be reached: it is absent until its next announcement. */
	revoke(): Worker | undefined {
		const worker = this.#worker;
		if (worker === undefined || worker.state === 'absent') {
			return undefined;
		}

		this.#worker = {...worker, state: 'absent'};
		return this.#worker;
	}

	/** Returns the worker as absent when its lease has just ended. */
	expire(now: number): Worker | undefined {
		const isOver = now - this.#renewedAt > this.#durationMs;
		return isOver ? this.revoke() : undefined;
	}

	#isOutdated({instance}: Worker, order: AnnouncementOrder | undefined): boolean {
		const departedAt = instance === undefined ? undefined : this.#departed.get(instance);
		const hasDeparted = instance !== undefined && this.#departed.has(instance);
		if (hasDeparted && (departedAt === undefined || !order || order.startedAt <= departedAt)) {
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
		a.startedAt === b.startedAt
	);
}

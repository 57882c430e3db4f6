import {type Endpoint} from '../model/routing-table.js';

/** What a worker said of itself, as its gate reports it with an answer. */
export type ReportedNotice = {
	/** Identity of the worker process, see `workerIdentityOf`. */
	readonly worker: string;
	/** Calls a second that it takes from all nodes together; absent when it states no limit. */
	readonly limitPerSecond?: number;
	/** Whether it is about to stop. */
	readonly isLeaving: boolean;
};

/** Limit of a worker process, as a node knows it from an answer. */
export type KnownLimit = {
	/** Identity of the worker process. */
	readonly worker: string;
	/** Calls a second that it takes from all nodes together. */
	readonly perSecond: number;
};

/** Maximum number of worker processes of each kind that are kept; more than a mesh has. */
const maximumWorkers = 5000;

/**
 * Keeps what workers said in the answers that passed this entry node. It holds for a worker process whatever
 * becomes of its node, which may have restarted and know nothing of it.
 */
export class ReportedNotices {
	readonly #limits = new Map<string, KnownLimit>();
	readonly #leaving = new Set<string>();

	/**
	 * Records what came with an answer.
	 *
	 * @param notice - absent when the worker states no limit and doesn't leave.
	 * @param hasRun - whether the answer is the worker's own.
	 */
	record({worker}: Endpoint, notice: ReportedNotice | undefined, hasRun: boolean): void {
		if (notice === undefined) {
			if (worker !== undefined && hasRun) {
				this.#limits.delete(worker);
			}

			return;
		}

		const {limitPerSecond: perSecond, isLeaving} = notice;
		this.#limits.delete(notice.worker);
		if (perSecond !== undefined) {
			this.#limits.set(notice.worker, {worker: notice.worker, perSecond});
			evictOldest(this.#limits);
		}

		if (isLeaving) {
			this.#leaving.add(notice.worker);
			evictOldest(this.#leaving);
		}
	}

	/** Whether the endpoint's worker has said that it is about to stop. */
	isLeaving({worker}: Endpoint): boolean {
		return worker !== undefined && this.#leaving.has(worker);
	}

	/** Returns the limit that the endpoint's worker has stated last; undefined if it has none. */
	limitOf({worker}: Endpoint): KnownLimit | undefined {
		return worker === undefined ? undefined : this.#limits.get(worker);
	}
}

function evictOldest(kept: Map<string, unknown> | Set<string>): void {
	for (const oldest of kept.keys()) {
		if (kept.size <= maximumWorkers) {
			break;
		}

		kept.delete(oldest);
	}
}

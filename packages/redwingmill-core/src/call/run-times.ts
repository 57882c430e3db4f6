import {GroupMeans} from './group-means.js';
import {type WorkerReports} from './worker-reports.js';

/** Run time assumed until the first call has finished. */
const initialRunMs = 20;

/**
 * Expected run times of a worker's calls in milliseconds. Where the worker reports how fast its host is, the
 * means are those of the usual speed, and expectations those of the present one.
 */
export class RunTimes {
	readonly #means = new GroupMeans(initialRunMs);
	readonly #reports: WorkerReports;

	constructor(reports: WorkerReports) {
		this.#reports = reports;
	}

	/** Returns the mean over all groups. */
	meanAt(now: number): number {
		return this.#means.mean * this.#scaleAt(now);
	}

	/** Returns the highest mean of any group. */
	highestAt(now: number): number {
		return this.#means.highest * this.#scaleAt(now);
	}

	/** Returns the expected run time of a call of a group. */
	expectedAt(group: string, now: number): number {
		return this.#means.expected(group) * this.#scaleAt(now);
	}

	/** Returns the run time of a group at the usual speed of the host. */
	usual(group: string): number {
		return this.#means.expected(group);
	}

	/**
	 * Returns what {@link record} needs to know of the start of a run.
	 *
	 * @param now - when the run starts.
	 */
	start(now: number): number {
		return this.#reports.workAt(now);
	}

	/** @param started - what {@link start} returned. */
	record(group: string, started: number, now: number): void {
		this.#means.record(group, this.#reports.workAt(now) - started);
	}

	/** Discards all recorded run times, for a new worker process. */
	reset(): void {
		this.#means.reset();
	}

	#scaleAt(now: number): number {
		return this.#reports.hostTimeAt(now) ?? 1;
	}
}

import {type GroupMeans} from './group-means.js';

/** A stall is declared after this many times the usual run time without any answer. */
const stallMultiple = 6;
const minimumStallMs = 400;
/** A stalled worker is tried with one call in this time. */
const probeIntervalMs = 500;

/**
 * Notices a worker that has stopped answering: it took calls, and none of them has ended for much
 * longer than calls usually run. More calls would only be lost with it.
 */
export class StallDetector {
	#progressAt = Number.NEGATIVE_INFINITY;
	#dispatchedAt = Number.NEGATIVE_INFINITY;

	/** Something came from the worker, or it was idle until now. */
	onProgress(now: number): void {
		this.#progressAt = now;
	}

	/** A call is given to the worker. */
	onDispatch(now: number): void {
		this.#dispatchedAt = now;
	}

	/** @param running - calls that the worker has. */
	isStalled(running: number, runTimes: GroupMeans, now: number): boolean {
		const limitMs = Math.max(minimumStallMs, stallMultiple * runTimes.highest);
		return running > 0 && now - this.#progressAt > limitMs;
	}

	/** Whether a call may go to a stalled worker, to find out whether it is back. */
	canProbe(now: number): boolean {
		return now - this.#dispatchedAt >= probeIntervalMs;
	}
}

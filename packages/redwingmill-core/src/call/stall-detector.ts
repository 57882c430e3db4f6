import {type RunTimes} from './run-times.js';

/** A worker counts as stalled after this multiple of the longest expected run time without answers. */
const stallMultiple = 6;
const minimumStallMs = 400;
/** Minimum interval between calls that probe a stalled worker. */
const probeIntervalMs = 500;

/**
 * Detects a worker that has stopped answering: it has calls, and none of them has ended for much
 * longer than the expected run time. Further calls would be lost with it.
 */
export class StallDetector {
	#progressAt = Number.NEGATIVE_INFINITY;
	#dispatchedAt = Number.NEGATIVE_INFINITY;

	/** Records that the worker answered or was idle until now. */
	onProgress(now: number): void {
		this.#progressAt = now;
	}

	/** Records that a call was dispatched to the worker. */
	onDispatch(now: number): void {
		this.#dispatchedAt = now;
	}

	/**
	 * Whether the worker is stalled.
	 *
	 * @param running - number of calls that the worker is running.
	 */
	isStalled(running: number, runTimes: RunTimes, now: number): boolean {
		const limitMs = Math.max(minimumStallMs, stallMultiple * runTimes.highestAt(now));
		return running > 0 && now - this.#progressAt > limitMs;
	}

	/** Whether a call may be dispatched to a stalled worker, to probe whether it has recovered. */
	canProbe(now: number): boolean {
		return now - this.#dispatchedAt >= probeIntervalMs;
	}
}

import {type GroupMeans} from './group-means.js';

/** A stall is declared after this many times the usual run time without any answer. */
const usualRuns = 6;
const shortestStallMs = 400;
/** A stalled worker is tried with one call in this time. */
const trialIntervalMs = 500;

/**
 * Notices a worker that has stopped answering: it took calls, and none of them has ended for much
 * longer than calls usually run. More calls would only be lost with it.
 */
export class StallWatch {
	#progressAt = Number.NEGATIVE_INFINITY;
	#triedAt = Number.NEGATIVE_INFINITY;

	/** Something came from the worker, or it was idle until now. */
	onProgress(now: number): void {
		this.#progressAt = now;
	}

	/** A call is given to the worker. */
	onDispatch(now: number): void {
		this.#triedAt = now;
	}

	/** @param running - calls that the worker has. */
	isStalled(running: number, runTimes: GroupMeans, now: number): boolean {
		const limitMs = Math.max(shortestStallMs, usualRuns * runTimes.highest);
		return running > 0 && now - this.#progressAt > limitMs;
	}

	/** Whether a call may go to a stalled worker, to find out whether it is back. */
	mayTry(now: number): boolean {
		return now - this.#triedAt >= trialIntervalMs;
	}
}

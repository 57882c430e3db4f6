import {type WorkerReport} from './worker-report.js';

/**
 * Time after which a report counts half. A host time changes many times a second, and most calls that run
 * after their callers left end within one or two run times.
 */
const halfLifeMs = 100;
/** Time after which a report says nothing any more. */
const maximumAgeMs = 1000;
/** Bounds on the host time, so that a single wrong figure can't stop all calls or admit any number. */
const minimumHostTime = 0.1;
const maximumHostTime = 20;

/** Keeps the load that one worker process states in its responses, with its age. */
export class WorkerReports {
	#hostTime: number | undefined;
	/** Calls that the worker has beyond those that the gate knows of. */
	#extraCalls = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** Work done by `#workedAt` beyond that at the usual speed, see {@link workAt}; exactly 0 without reports. */
	#extraWorkMs = 0;
	#workedAt = 0;

	/**
	 * Records a report.
	 *
	 * @param ownCount - calls that the gate has sent and whose answers it hasn't got.
	 */
	record({running, waiting, hostTime}: WorkerReport, ownCount: number, now: number): void {
		const bounded = Math.min(maximumHostTime, Math.max(minimumHostTime, hostTime));
		const previous = this.#hostTime ?? bounded;
		// Between two reports the speed has been between them, other than after the last one.
		const isRecent = now - this.#reportedAt <= maximumAgeMs;
		this.#advance(now, bounded, isRecent ? this.#hostTime : 1);
		// Reports that follow each other closely are averaged; an old one hardly counts.
		const weight = 1 - this.#freshnessAt(now) / 2;
		this.#hostTime = previous + weight * (bounded - previous);
		this.#extraCalls = Math.max(0, running + waiting - ownCount);
		this.#reportedAt = now;
	}

	/** Begins anew for another worker process. */
	reset(now: number): void {
		this.#advance(now, 1);
		this.#hostTime = undefined;
		this.#extraCalls = 0;
		this.#reportedAt = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Returns how long work is expected to take on the worker's host, relative to the usual time; closer
	 * to 1 the older the last report is. Undefined without a recent one.
	 */
	hostTimeAt(now: number): number | undefined {
		return this.#hostTime === undefined || now - this.#reportedAt > maximumAgeMs
			? undefined
			: 1 + (this.#hostTime - 1) * this.#freshnessAt(now);
	}

	/**
	 * Returns a time that passes as fast as work is done on the host: its difference between the start and the
	 * end of a run is the time that the run takes at the usual speed, in milliseconds.
	 */
	workAt(now: number): number {
		this.#advance(now, this.hostTimeAt(now) ?? 1);
		return now + this.#extraWorkMs;
	}

	/** Returns the number of calls that the worker is expected to have beyond those that the gate knows of. */
	extraCallsAt(now: number): number {
		return Math.floor(this.#extraCalls * this.#freshnessAt(now));
	}

	/** Adds the time since the last call, at the mean of the host times at its beginning and end. */
	#advance(now: number, hostTime: number, earlier = this.hostTimeAt(this.#workedAt) ?? 1): void {
		const elapsedMs = Math.max(0, now - this.#workedAt);
		this.#extraWorkMs += elapsedMs * (2 / (earlier + hostTime) - 1);
		this.#workedAt = Math.max(this.#workedAt, now);
	}

	/** Returns 1 for a report of this moment, and half as much after each half-life. */
	#freshnessAt(now: number): number {
		return 0.5 ** (Math.max(0, now - this.#reportedAt) / halfLifeMs);
	}
}

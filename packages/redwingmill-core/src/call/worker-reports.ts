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

	/**
	 * Records a report.
	 *
	 * @param ownCount - calls that the gate has sent and whose answers it hasn't got.
	 */
	record({running, waiting, hostTime}: WorkerReport, ownCount: number, now: number): void {
		const bounded = Math.min(maximumHostTime, Math.max(minimumHostTime, hostTime));
		const previous = this.hostTimeAt(now) ?? bounded;
		// Reports that follow each other closely are averaged; an old one hardly counts.
		const weight = 1 - this.#freshnessAt(now) / 2;
		this.#hostTime = previous + weight * (bounded - previous);
		this.#extraCalls = Math.max(0, running + waiting - ownCount);
		this.#reportedAt = now;
	}

	/** Begins anew for another worker process. */
	reset(): void {
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

	/** Returns the number of calls that the worker is expected to have beyond those that the gate knows of. */
	extraCallsAt(now: number): number {
		return Math.floor(this.#extraCalls * this.#freshnessAt(now));
	}

	/** Returns 1 for a report of this moment, and half as much after each half-life. */
	#freshnessAt(now: number): number {
		return 0.5 ** (Math.max(0, now - this.#reportedAt) / halfLifeMs);
	}
}

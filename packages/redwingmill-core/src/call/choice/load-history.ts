import {type WorkerLoad} from '../worker-load.js';

/** Time constants of the means in milliseconds. */
const busyShareMs = 1500;
const runTimeMs = 500;
/** Calls per slot above which a report counts the same, so that one long queue doesn't mark a replica for long. */
const mostCallsPerSlot = 2;

/** Means of what a replica's gate reported, weighted by the time for which each report was the latest. */
export class LoadHistory {
	#busyShare: number | undefined;
	#runMs: number | undefined;
	#recordedAt = 0;

	/** Mean of the running and waiting calls per slot, at most 1; undefined until the first report. */
	get busyShare(): number | undefined {
		return this.#busyShare === undefined ? undefined : Math.min(1, this.#busyShare);
	}

	/** Mean run time in milliseconds; undefined until the first report. */
	get runMs(): number | undefined {
		return this.#runMs;
	}

	/** @param at - monotonic milliseconds of the report, not before those of earlier ones. */
	record({callsPerSlot, runMs}: WorkerLoad, at: number): void {
		const elapsedMs = at - this.#recordedAt;
		this.#recordedAt = at;
		const busyShare = Math.min(mostCallsPerSlot, callsPerSlot);
		this.#busyShare = smoothed(this.#busyShare, busyShare, elapsedMs / busyShareMs);
		this.#runMs = smoothed(this.#runMs, runMs, elapsedMs / runTimeMs);
	}
}

function smoothed(mean: number | undefined, value: number, elapsed: number): number {
	return mean === undefined ? value : mean + (1 - Math.exp(-elapsed)) * (value - mean);
}

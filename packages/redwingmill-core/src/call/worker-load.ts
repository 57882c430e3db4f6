import {type Allowance} from './worker-allowance.js';

/** Load of a worker as its gate reports it. */
export type WorkerLoad = {
	/** Running and waiting calls per slot. */
	readonly callsPerSlot: number;
	/** Expected wait of a new call of the lowest rank, in milliseconds; 0 when a slot is free. */
	readonly waitMs: number;
	/** Mean run time of a call in milliseconds. */
	readonly runMs: number;
	/** Moving average of the share of the worker's runs that failed, from 0 to 1. */
	readonly failureShare: number;
	/** Absent when the worker states no limit. */
	readonly allowance?: Allowance;
	/**
	 * How long work takes on the worker's host at the moment, relative to the usual time; `waitMs` and
	 * `runMs` include it. Absent unless the worker reports it.
	 */
	readonly hostTime?: number;
};

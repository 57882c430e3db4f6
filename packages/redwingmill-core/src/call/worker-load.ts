/** Load of a worker as its gate tells it. */
export type WorkerLoad = {
	/** Calls in progress, waiting ones included, per slot. */
	readonly callsPerSlot: number;
	/** Expected wait of a new call of the lowest rank, in milliseconds; 0 when a slot is free. */
	readonly waitMs: number;
	/** Mean time that the worker runs a call, in milliseconds. */
	readonly runMs: number;
	/** Moving share of the worker's runs that failed, from 0 to 1. */
	readonly failureShare: number;
};

/** Settings of a stand-in worker. Addresses are `ip:port`; durations are in milliseconds. */
export type WorkerPlan = {
	readonly service: string;
	readonly address: string;
	/** Operators' address of the worker's node. */
	readonly operators: string;
	/** Proxy address of the worker's node, for calls to further services. */
	readonly proxy: string;
	/** Calls that the worker runs at a time. */
	readonly slots: number;
	readonly serviceMs: number;
	/** Time from start until the worker is ready. */
	readonly coldStartMs: number;
};

/** Behaviour of a stand-in worker that can be changed at run time. */
export type WorkerBehaviour = {
	readonly isDraining: boolean;
	readonly serviceMs: number;
	/** Share of calls, from 0 to 1, that are refused without being run. */
	readonly shedShare: number;
	/** Share of calls, from 0 to 1, whose connection is closed once they count as run. */
	readonly breakShare: number;
	/** Whether the worker announces itself as ready in any state; it still refuses excess calls. */
	readonly lies: boolean;
};

/** Path at which a stand-in worker accepts changes of its behaviour. */
export const behaviourPath = '/_behaviour';
/** Query parameter of a request that crashes the worker's process. */
export const crashParameter = 'crash=1';
/** Header that carries the id that the caller gave the call. */
export const callIdHeader = 'x-call-id';

/** Bounds of a gate. */
export type GateLimits = {
	/** Waiting calls per slot of the worker. */
	readonly queuePerSlot: number;
	readonly retentionMs: number;
	readonly ticketRetentionMs: number;
	readonly retainedBytes: number;
	readonly retainedEntries: number;
	readonly quarantineMs: number;
	/** Different workers that have to die of a request before it is refused. */
	readonly deathsToQuarantine: number;
	/** Runs a suspected request only while the worker runs nothing else. */
	readonly isolatesSuspects: boolean;
	/** Added to the age of a withdrawn attempt for the time its request was under way. */
	readonly withdrawMarginMs: number;
	/** Without it, every call goes to the worker at once; the baseline of measurements. */
	readonly isLimiting: boolean;
};

/** Bounds of a node's gate unless its settings say otherwise. */
export const defaultGateLimits: GateLimits = {
	queuePerSlot: 4,
	retentionMs: 30_000,
	ticketRetentionMs: 600_000,
	retainedBytes: 4 * 1024 * 1024,
	retainedEntries: 20_000,
	quarantineMs: 60_000,
	deathsToQuarantine: 2,
	isolatesSuspects: true,
	withdrawMarginMs: 5000,
	isLimiting: true,
};

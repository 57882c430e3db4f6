/** Limits of a gate. */
export type GateLimits = {
	/** Maximum number of waiting calls per slot of the worker. */
	readonly queuePerSlot: number;
	/** Time for which the outcome of an attempt without a ticket is retained. */
	readonly retentionMs: number;
	/** Time for which the outcome of a call with a ticket is retained. */
	readonly ticketRetentionMs: number;
	/** Maximum size of the retained answers, for attempts and for tickets each. */
	readonly retainedBytes: number;
	/** Maximum number of retained outcomes, for attempts and for tickets each. */
	readonly retainedEntries: number;
	/** Time for which a crash or a success of a request is taken into account. */
	readonly quarantineMs: number;
	/** Number of workers that must crash on a request before it is refused. */
	readonly deathsToQuarantine: number;
	/**
	 * Whether every suspected request runs only while the worker runs nothing else; if not, only one that
	 * is a crash short of quarantine.
	 */
	readonly isolatesSuspects: boolean;
	/** Added to the age of a withdrawn attempt to cover the time its request was in transit. */
	readonly withdrawMarginMs: number;
	/** Whether to limit calls; if not, each is dispatched at once: a baseline for measurements. */
	readonly isLimiting: boolean;
};

/** Limits of a node's gate unless its settings override them. */
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

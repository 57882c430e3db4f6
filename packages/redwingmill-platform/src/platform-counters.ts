/** Counts of requests to the stand-in platform server, and its open watches. */
export type PlatformCounters = {
	/** Requests to read an object, list a kind or watch it. */
	readonly reads: number;
	readonly writes: number;
	/** Writes rejected because of another resource version. */
	readonly conflicts: number;
	/** Requests rejected by the rate limit. */
	readonly refused: number;
	/** Watches that are currently open. */
	readonly watches: number;
};

export const zeroCounters: PlatformCounters = {
	reads: 0,
	writes: 0,
	conflicts: 0,
	refused: 0,
	watches: 0,
};

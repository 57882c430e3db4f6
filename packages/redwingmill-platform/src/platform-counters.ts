/** Calls that the stand-in has answered. */
export type PlatformCounters = {
	readonly reads: number;
	readonly writes: number;
	readonly conflicts: number;
	readonly refused: number;
	/** Watches that are open now. */
	readonly watches: number;
};

export const zeroCounters: PlatformCounters = {
	reads: 0,
	writes: 0,
	conflicts: 0,
	refused: 0,
	watches: 0,
};

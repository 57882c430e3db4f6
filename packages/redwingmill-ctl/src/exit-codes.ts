/** Exit codes of `redwingmillctl`. */
export const exitCodes = {
	done: 0,
	failed: 1,
	invalidText: 3,
	conflict: 4,
	unavailable: 5,
	notInForce: 6,
	/** The text is valid, and probably has mistakes. */
	warnings: 7,
} as const;

import {type Configuration} from 'redwingmill-text';

/** What callers may send, and how long they may take. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time for the head of a request. */
	readonly headerTimeoutMs: number;
	/** Time that a connection may stay without a request. */
	readonly idleTimeoutMs: number;
};

/** One version of the configuration as the operators' store keeps it, whole and checked. */
export type ConfigurationDocument = {
	/** Grows with each version, in steps of any size. */
	readonly version: number;
	readonly configuration: Configuration;
	readonly callerLimits?: CallerLimits;
	/** What the store keeps; the form in which nodes hand a version to each other. */
	readonly source: unknown;
};

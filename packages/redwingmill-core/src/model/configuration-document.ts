import {type Configuration} from 'redwingmill-text';

/** Limits on the size and duration of callers' requests. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Time in which the request line and headers have to arrive. */
	readonly headerTimeoutMs: number;
	/** Time for which a connection may stay open without a request. */
	readonly idleTimeoutMs: number;
};

/** One complete, validated version of the configuration from the operators' store. */
export type ConfigurationDocument = {
	/** Increases with each version, in steps of any size. */
	readonly version: number;
	readonly configuration: Configuration;
	readonly callerLimits?: CallerLimits;
	/** The version as the store keeps it, which is also the form that nodes send to each other. */
	readonly source: unknown;
};

/** Priorities by name, most urgent first. Bulk calls wait but aren't starved. */
export const priorities = ['urgent', 'normal', 'bulk'] as const;
export type Priority = (typeof priorities)[number];

/** One service of the mesh. */
export type Service = {
	readonly name: string;
	/** Services that must be active before this one is activated for the first time. */
	readonly dependsOn: readonly string[];
};

/** One of the services that share the calls of a route. */
export type Destination = {
	readonly service: string;
	/** Share of the calls, relative to the other destinations' weights. */
	readonly weight: number;
};

/** Entry of {@link Route.idempotent} that stands for every method. */
export const anyMethod = '*';

/** One route: calls whose path starts with `path` go to `service`. */
export type Route = {
	/** Host that calls name, in lower case and without a port; absent takes every host. */
	readonly host?: string;
	readonly path: string;
	readonly service: string;
	/** Services that share the calls by weight, in place of `service`. */
	readonly split?: readonly Destination[];
	/** Accepted methods, upper case. Empty accepts every method. */
	readonly methods: readonly string[];
	/** Methods that may run more than once, upper case, or {@link anyMethod}. */
	readonly idempotent: readonly string[];
	/** Rank in scheduling: 0 is the most urgent. */
	readonly rank: number;
	/** Time allowed for the whole call, in milliseconds. */
	readonly deadlineMs: number;
	/** Time within which an answer is worth most, in milliseconds. */
	readonly targetMs?: number;
	/** Workers that one call may reach; absent takes the node's setting. */
	readonly maximumAttempts?: number;
	/** Retries allowed as a share of first attempts, from 0 to 1. */
	readonly retryShare: number;
};

/** A checked operators' text. `services` is in dependency order, `routes` longest path first. */
export type Configuration = {
	readonly services: readonly Service[];
	readonly routes: readonly Route[];
};

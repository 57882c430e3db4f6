/** Priorities by name, most urgent first. Bulk calls are delayed but never starved. */
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

/** Value in {@link Route.idempotent} that matches every method. */
export const anyMethod = '*';

/** A route: calls whose path has the prefix `path`, in whole segments, are sent to `service`. */
export type Route = {
	/** Host that calls must name, in lower case and without a port; if absent, every host matches. */
	readonly host?: string;
	readonly path: string;
	readonly service: string;
	/** Services among which calls are distributed by weight, instead of `service`. */
	readonly split?: readonly Destination[];
	/** Accepted methods in upper case; if empty, every method is accepted. */
	readonly methods: readonly string[];
	/** Idempotent methods in upper case, whose calls may run more than once, or {@link anyMethod}. */
	readonly idempotent: readonly string[];
	/** Scheduling rank; 0 is the most urgent. */
	readonly rank: number;
	/** Time allowed for the whole call, including retries, in milliseconds. */
	readonly deadlineMs: number;
	/** Latency target, in milliseconds; if absent, only the deadline counts. */
	readonly targetMs?: number;
	/** Maximum number of attempts that may reach a worker; if absent, the node's setting applies. */
	readonly maximumAttempts?: number;
	/** Retry budget: retries as a share of first attempts, from 0 to 1. */
	readonly retryShare: number;
	/** Whether calls need no workspace's key; without workspaces no call needs one. */
	readonly isPublic?: boolean;
	/** Whether answers are so large that they are scheduled by the host's link. */
	readonly isBulk?: boolean;
};

/** Calls that a workspace may make in the whole mesh: a token bucket. */
export type Quota = {
	readonly perSecond: number;
	/** Calls that may be made at once after a time without any. */
	readonly burst: number;
};

/** A group of callers that share keys, a rank and a quota. */
export type Workspace = {
	readonly name: string;
	/** Keys that identify its callers. Secret: never logged or sent to workers. */
	readonly keys: readonly string[];
	/** Scheduling rank, which takes precedence over that of a route; 0 is the most urgent. */
	readonly rank: number;
	/** Absent when its calls aren't limited. */
	readonly quota?: Quota;
};

/**
 * Validated configuration of an operators' text. `services` is in dependency order; `routes` is
 * sorted by descending path length.
 */
export type Configuration = {
	readonly services: readonly Service[];
	readonly routes: readonly Route[];
	/** Workspaces, one of whose keys every call on a route that isn't public must carry. */
	readonly workspaces?: readonly Workspace[];
};

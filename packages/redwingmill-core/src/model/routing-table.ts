import {type Route} from 'redwingmill-text';
import {type WorkspaceIndex} from '../call/workspace-index.js';

/** A worker that calls can be sent to, through the gate of its node. */
export type Endpoint = {
	/** Control address of the worker's node. */
	readonly node: string;
	readonly gateAddress: string;
	readonly dataCentre: string;
	readonly incarnation: number;
	readonly service: string;
	readonly slots: number;
	/** Identity of the worker process, see `workerIdentityOf`; absent when it announces no instance. */
	readonly worker?: string;
	/** Version of the worker's software; absent when it announces none. */
	readonly version?: string;
};

/** Reason why a route accepts no calls. */
export type InactiveReason =
	| {readonly type: 'no-ready-endpoint'; readonly service: string}
	| {readonly type: 'dependency-inactive'; readonly service: string};

export type RouteState =
	| {readonly type: 'active'; readonly route: Route}
	| {readonly type: 'inactive'; readonly route: Route; readonly reason: InactiveReason};

/** Routing state of a proxy: one configuration version and the endpoints known for it. */
export type RoutingTable = {
	readonly version: number;
	/** Longest path first. */
	readonly routes: readonly RouteState[];
	readonly endpoints: ReadonlyMap<string, readonly Endpoint[]>;
	/** Services that accept no calls. */
	readonly inactive: ReadonlyMap<string, InactiveReason>;
	/** Absent when calls need no key. */
	readonly workspaces?: WorkspaceIndex;
};

export const emptyRoutingTable: RoutingTable = {
	version: 0,
	routes: [],
	endpoints: new Map(),
	inactive: new Map(),
};

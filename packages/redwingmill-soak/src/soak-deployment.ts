import {type ObservedRun} from './invariant-checker.js';
import {type SoakNotice} from './soak-fault.js';

/** A route of the configuration that the soak writes. */
export type SoakRoute = {
	readonly name: string;
	/** Begins and ends with a slash. */
	readonly path: string;
	readonly service: string;
	readonly isIdempotent: boolean;
	readonly timeoutMs: number;
};

/** Addresses at which a node listens. */
export type NodeAddresses = {
	readonly proxy: string;
	readonly gate: string;
	readonly control: string;
	readonly operators: string;
	readonly ready: string;
	readonly announcements: string;
};

/** Values for the settings of a node. `advertised` holds the addresses at which others reach it. */
export type NodeOptions = {
	readonly dataCentre: string;
	readonly service: string;
	readonly addresses: NodeAddresses;
	readonly advertised: {readonly control: string; readonly gate: string};
	readonly storeAddress: string;
	/** Capacity of the host's network link in Mbit/s; absent when unknown. */
	readonly linkMbps?: number;
};

/** Configuration store to which operators write and from which nodes read. */
export type SoakStore = {
	/** Starts the store. Returns the address at which it listens. */
	readonly listen: () => Promise<string>;
	readonly write: (version: number, routes: readonly SoakRoute[]) => void;
	/** Serves nobody for a time, then returns from a copy of an age, both in milliseconds. */
	readonly returnFromCopy: (awayMs: number, ageMs: number) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** A run as reported by the worker. */
export type ReportedRun = Omit<ObservedRun, 'isHeldUp'>;

/** Ends a run. */
export type RunReply = {
	readonly send: (body: string) => void;
	/** Closes the connection without a complete response. */
	readonly drop: () => void;
	/** Sends a response in chunks of one byte until the connection is closed. */
	readonly sendWithoutEnd: () => void;
};

/** A worker of a host. Each start begins a new instance. */
export type SoakWorker = {
	/** Identifier of the current instance. */
	readonly instance: string;
	/** Starts an instance. Returns the address at which it listens. */
	readonly start: (instanceNumber: number) => Promise<string>;
	/** Has all further responses of the instance say something of it; undefined for nothing. */
	readonly setNotice: (notice: SoakNotice | undefined) => void;
	/** Ends the instance and closes all its connections. */
	readonly stop: () => Promise<void>;
	/**
	 * Announces to its host's node, at `announcementAddress`, that the worker is reached at
	 * `workerAddress`, and whether it is leaving. Returns whether the node acknowledged it.
	 */
	readonly announce: (
		announcementAddress: string,
		workerAddress: string,
		isLeaving: boolean,
	) => Promise<boolean>;
};

/** The platform-specific part of a soak: programs, settings, headers, store and workers. */
export type SoakDeployment = {
	/** Path of the node's script. */
	readonly program: string;
	/** Time for which a node that is being stopped still accepts calls, in milliseconds. */
	readonly lingerMs: number;
	/** Returns the environment of a node's process that reads the settings file. */
	readonly environmentOf: (settingsFile: string) => Record<string, string>;
	/** Returns the text of a node's settings file. */
	readonly settingsOf: (options: NodeOptions) => string;
	/** Returns addresses that are free on this machine. */
	readonly allocateAddresses: () => Promise<NodeAddresses>;
	/** Host name of all routes. */
	readonly hostName: string;
	/** Returns the headers that carry a call's identifier and timeout. */
	readonly headersOf: (id: string, timeoutMs: number) => Record<string, string>;
	/** Returns the call identifier in a response's headers, if any. */
	readonly idOf: (headers: Record<string, string | string[] | undefined>) => string | undefined;
	readonly createStore: () => SoakStore;
	readonly createWorker: (
		service: string,
		onRun: (run: ReportedRun, reply: RunReply) => void,
	) => SoakWorker;
};

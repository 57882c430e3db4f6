import {type ObservedRun} from './invariant-checker.js';

/** A route as the soak's operators want it. */
export type SoakRoute = {
	readonly name: string;
	/** Begins and ends with a slash. */
	readonly path: string;
	readonly service: string;
	readonly isIdempotent: boolean;
	readonly timeoutMs: number;
};

/** Addresses at which a node listens, and at which others reach it. */
export type NodeAddresses = {
	readonly proxy: string;
	readonly gate: string;
	readonly control: string;
	readonly operators: string;
	readonly ready: string;
	readonly announcements: string;
};

/** What the settings of a node are made from. */
export type NodeOptions = {
	readonly dataCentre: string;
	readonly service: string;
	readonly addresses: NodeAddresses;
	readonly advertised: {readonly control: string; readonly gate: string};
	readonly storeAddress: string;
};

/** Where the operators write what nodes read. */
export type SoakStore = {
	/** Returns the address. */
	readonly listen: () => Promise<string>;
	readonly write: (version: number, routes: readonly SoakRoute[]) => void;
	readonly close: () => Promise<void>;
};

/** A run as the worker itself sees it. */
export type ReportedRun = Omit<ObservedRun, 'isHeldUp'>;

/** Answers a run: with the body, or without a whole answer. */
export type RunReply = {readonly send: (body: string) => void; readonly drop: () => void};

/** A worker of a host. Each start is another life. */
export type SoakWorker = {
	readonly instance: string;
	/** Begins a life. Returns the address that it listens at. */
	readonly start: (life: number) => Promise<string>;
	/** Ends the life: all connections close. */
	readonly stop: () => Promise<void>;
	/** Tells the node of its host where it is reached. Returns whether the node acknowledged it. */
	readonly announce: (
		announcements: string,
		reachedAt: string,
		isLeaving: boolean,
	) => Promise<boolean>;
};

/** A platform on which the programs run, as far as a soak has to know it. */
export type SoakDeployment = {
	/** Script of the node's program. */
	readonly program: string;
	/** Environment of a process, given its settings file. */
	readonly environmentOf: (settingsFile: string) => Record<string, string>;
	readonly settingsOf: (plan: NodeOptions) => string;
	readonly allocateAddresses: () => Promise<NodeAddresses>;
	/** Host name that the routes belong to. */
	readonly hostName: string;
	readonly headersOf: (id: string, limitMs: number) => Record<string, string>;
	/** Identifier that an answer bears. */
	readonly idOf: (headers: Record<string, string | string[] | undefined>) => string | undefined;
	readonly createStore: () => SoakStore;
	readonly createWorker: (
		service: string,
		onRun: (run: ReportedRun, reply: RunReply) => void,
	) => SoakWorker;
};

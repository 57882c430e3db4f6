import {type NodeRecord, type RoutingTable, type Worker, type WorkerLoad} from 'redwingmill-core';
import {type Teardown} from 'redwingmill-shared';
import {type ConfigurationReply} from './configuration-history.js';

/** Told of requests that crash workers, or that ran well after all. */
export type CrashReportHandler = (fingerprint: string, node: string, isCleared: boolean) => void;
/** Told of the load of another node's worker. */
export type LoadHandler = (node: string, load: WorkerLoad) => void;

/** Told of a node that fell silent. */
export type UnresponsiveNodeHandler = (node: string) => void;

/** The control plane as the call path sees it: what to route by, and whom to tell what. */
export type ControlPlane = {
	/** The own record, as the others know it. */
	readonly self: NodeRecord;
	readonly routing: RoutingTable;
	/** Whether this node takes calls. */
	readonly isServing: boolean;
	/** Whether new callers should come here; a node that stops still takes calls, but wants none. */
	readonly isReady: boolean;
	/** Nodes known, the own one included. */
	readonly nodeCount: number;
	/** Bytes of control traffic so far, both ways. */
	readonly controlBytes: number;
	/** Whether this node links its data centre to the platform. */
	readonly isRelay: boolean;
	/** Configuration held, or its change since another version, as nodes hand it to each other. */
	readonly configurationSince: (since: number | undefined) => ConfigurationReply;
	/** Record of a node that is there, whether it may be routed to or not. */
	findNode: (dataCentre: string, address: string) => NodeRecord | undefined;
	start: () => Promise<void>;
	stop: () => Promise<void>;
	/** A planned stop begins: new callers are to stay away. */
	requestStop: () => void;
	/** The gate takes no more calls: the others are told. */
	leave: () => void;
	updateWorker: (worker: Worker) => void;
	updateLoad: (load: WorkerLoad) => void;
	/** Another node answered, so it lives. */
	markNodeAlive: (node: string) => void;
	sendCrashReport: (fingerprint: string, isCleared: boolean) => void;
	/** State as operators see it, in JSON. */
	status: () => unknown;
	registerRoutingListener: (listener: (routing: RoutingTable) => void) => Teardown;
	registerCrashReportHandler: (handler: CrashReportHandler) => Teardown;
	registerLoadHandler: (handler: LoadHandler) => Teardown;
	registerUnresponsiveNodeHandler: (handler: UnresponsiveNodeHandler) => Teardown;
};

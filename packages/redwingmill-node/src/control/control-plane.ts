import {
	type CrashReport,
	type Departure,
	type NodeRecord,
	type QuotaDecision,
	type ReportedLoad,
	type RolloutStage,
	type RolloutView,
	type RoutingTable,
	type SuspicionReport,
	type Worker,
	type WorkerEvidence,
	type WorkerLoad,
} from 'redwingmill-core';
import {type Teardown} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type Settings} from '../settings/settings.js';
import {type ConfigurationReply} from './configuration-history.js';

/** Settings of a node and dependencies of its control plane. */
export type ControlPlaneOptions = {
	readonly settings: Settings;
	readonly self: NodeRecord;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Called after each task of the control plane with the milliseconds that it took. */
	readonly onTask?: (task: string, ms: number) => void;
};

/** Handles a crash report of another node. */
export type CrashReportHandler = (report: CrashReport, node: string) => void;

/** Returns the crash reports for a node that knows of other crashes than this one. */
export type CrashReportSource = () => readonly CrashReport[];

/** Handles the loads of other nodes' workers, by control address. */
export type LoadHandler = (loads: ReadonlyMap<string, ReportedLoad>) => void;

/** Handles the departure of this node's worker that another node knows of. */
export type DepartureHandler = (instance: string, startedAt: number | undefined) => void;

/** Handles that all departures are known that were announced to earlier processes of this node. */
export type DeparturesReadHandler = () => void;

/** Handles a node that has become unresponsive. */
export type UnresponsiveNodeHandler = (node: string) => void;

/** Decides which calls are within their workspace's quota. */
export type QuotaGate = {
	admit: (workspace: Workspace) => QuotaDecision;
	/** Gives the credit of a call back that wasn't run. */
	refund: (workspace: Workspace) => void;
};

/** Control plane, as the rest of the node uses it. */
export type ControlPlane = {
	/** Record of this node, as other nodes see it. */
	readonly self: NodeRecord;
	readonly routing: RoutingTable;
	/** Absent where no quotas are kept. */
	readonly quotas?: QuotaGate;
	/** Whether this node accepts calls. */
	readonly isServing: boolean;
	/**
	 * Whether new callers should connect; false during a shutdown, though calls are still accepted.
	 */
	readonly isReady: boolean;
	/** Number of nodes, including this one; undefined while this node doesn't know it. */
	readonly nodeCount: number | undefined;
	/** Bytes of control traffic sent and received since the start. */
	readonly controlBytes: number;
	/** For how long this node has known of a version newer than the one in force here; 0 if of none. */
	readonly configurationBehindMs: number;
	/**
	 * For how long this node couldn't confirm that its configuration is the newest; 0 unless the settings
	 * ask for a strict revocation.
	 */
	readonly configurationUnconfirmedMs: number;
	/** Whether this node is the relay of its data centre. */
	readonly isRelay: boolean;
	/** Returns the configuration in force for another node, or a patch to it from version `since`. */
	readonly configurationSince: (since: number | undefined) => ConfigurationReply;
	/** Rollouts that this node knows of, for operators. */
	readonly rollouts: readonly RolloutView[];
	/** Returns the stage by which calls to a service are routed; undefined if no rollout is in force. */
	rolloutStageOf: (service: string) => RolloutStage | undefined;
	/** Reports the runs of this node's worker since the order of its service. */
	reportEvidence: (evidence: WorkerEvidence) => void;
	/** Returns the record of a node that is alive, even if no calls are routed to it. */
	findNode: (dataCentre: string, address: string) => NodeRecord | undefined;
	start: () => Promise<void>;
	stop: () => Promise<void>;
	/** Starts a graceful shutdown: new callers should no longer connect. */
	requestStop: () => void;
	/** Notifies other nodes that the gate is about to refuse calls. */
	leave: () => void;
	/** Publishes the worker's new state. */
	updateWorker: (worker: Worker) => void;
	/** Publishes the load of the worker. */
	updateLoad: (load: WorkerLoad) => void;
	/** Records that another node is alive because it answered a call. */
	markNodeAlive: (node: string) => void;
	sendCrashReport: (report: CrashReport) => void;
	/** Keeps the crashes on a quarantined request where nodes that start later find them. */
	keepCrashes: (report: SuspicionReport) => void;
	/** Publishes the digest of the crashes that this node knows of. */
	updateCrashDigest: (digest: number) => void;
	/** Returns the state for the operators' status page, as JSON. */
	status: () => unknown;
	registerRoutingListener: (listener: (routing: RoutingTable) => void) => Teardown;
	registerCrashReportHandler: (handler: CrashReportHandler) => Teardown;
	registerCrashReportSource: (source: CrashReportSource) => Teardown;
	registerDepartureHandler: (handler: DepartureHandler) => Teardown;
	registerDeparturesReadHandler: (handler: DeparturesReadHandler) => Teardown;
	/**
	 * Keeps a departure of this node's worker for later processes of the node. Resolves with true once it is kept.
	 * Resolves with false after a limited time, and goes on trying.
	 */
	keepDeparture: (departure: Departure) => Promise<boolean>;
	registerLoadHandler: (handler: LoadHandler) => Teardown;
	registerUnresponsiveNodeHandler: (handler: UnresponsiveNodeHandler) => Teardown;
};

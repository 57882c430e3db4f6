import {type CrashReport} from '../call/crash-tracker.js';
import {type WorkerLoad} from '../call/worker-load.js';
import {type QuotaDatagram} from '../quota/quota-message.js';
import {type RolloutStage, type WorkerEvidence} from '../rollout/rollout.js';
import {type NodeRecord} from './node-record.js';
import {type DataCentreSummary, type NodeStatus} from './node-status.js';

/** Message from one node to another that may get lost. */
export type Datagram =
	/** States the sender's whole record. */
	| {
			readonly type: 'announcement';
			readonly record: NodeRecord;
			/** Version of the configuration that the sender holds; 0 for none. */
			readonly version: number;
			/** Whether the receiver should answer with its own announcement. */
			readonly wantsReply: boolean;
			/** Newest era of the store that the sender knows of; 0 for none. */
			readonly storeEra: number;
	  }
	/** Heartbeat: the sender is alive and its record is that of this incarnation and revision. */
	| {
			readonly type: 'pulse';
			readonly incarnation: number;
			readonly revision: number;
			readonly version: number;
			readonly load?: WorkerLoad;
			/** Whether the sender watches the configuration in the store and reaches the store. */
			readonly isWatching: boolean;
			/** Digest of the crashes that the sender knows of; 0 for none. */
			readonly crashDigest: number;
			readonly storeEra: number;
	  }
	/**
	 * What a watcher knows of other nodes, sent to nodes of its data centre and to the watchers of the
	 * others. Also a heartbeat of the sender.
	 */
	| {
			readonly type: 'digest';
			readonly incarnation: number;
			readonly revision: number;
			readonly version: number;
			readonly isWatching: boolean;
			readonly crashDigest: number;
			readonly storeEra: number;
			readonly summaries: readonly DataCentreSummary[];
			readonly statuses: readonly NodeStatus[];
	  }
	/** Asks for statuses of all nodes of a data centre that the sender reaches. */
	| {readonly type: 'status-request'; readonly dataCentreId: number}
	/** Asks for the records of these nodes. */
	| {readonly type: 'record-request'; readonly ids: readonly number[]}
	/** Records of other nodes that the sender knows. They don't show that the nodes are alive. */
	| {readonly type: 'records'; readonly records: readonly NodeRecord[]}
	/** Asks for the receiver's record, which the sender lacks. */
	| {readonly type: 'inquiry'}
	/** The receiver announced an incarnation lower than `incarnation`, which the sender holds for it. */
	| {readonly type: 'outdated'; readonly incarnation: number}
	/**
	 * The receiver has restarted, and its worker announced its departure to the process before. Instance
	 * and start are those of the worker's announcements.
	 */
	| {readonly type: 'departure'; readonly instance: string; readonly startedAt?: number}
	/** Crashes of workers on a request, or the success of one that was suspected of them. */
	| {readonly type: 'suspicion'; readonly report: CrashReport}
	/** Counts of workspaces' calls, and what may be admitted of them. */
	| QuotaDatagram
	/** Stage of a rollout in force. */
	| {
			readonly type: 'rollout';
			readonly stage: RolloutStage;
			/** Whether the operators have removed the order. */
			readonly isWithdrawn: boolean;
	  }
	/** Runs that a gate has counted since an order; a long list of routes is split over several. */
	| {
			readonly type: 'rollout-evidence';
			/** Identifies the order, with the service of the evidence. */
			readonly targetVersion: string;
			readonly revision: number;
			readonly evidence: WorkerEvidence;
	  };

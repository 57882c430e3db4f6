import {type CrashReport, type SuspicionReport} from '../call/crash-tracker.js';
import {type WorkerLoad} from '../call/worker-load.js';
import {type ConfigurationDocument} from '../model/configuration-document.js';
import {type Datagram} from '../model/datagram.js';
import {type Departure, type NodeRecord, type Worker} from '../model/node-record.js';
import {type ReportedLoad} from '../model/node-status.js';
import {type RolloutState, type WorkerEvidence} from '../rollout/rollout.js';
import {type StoredRollout, type StoredStatus} from './rollouts-section.js';

/** Events that the directory handles. Plain data. */
export type DirectoryEvent =
	| {readonly type: 'tick'}
	/** A datagram arrived; `from` is the sender's control address. */
	| {readonly type: 'datagram'; readonly from: string; readonly datagram: Datagram}
	/** A node answered over another connection, which shows that it is alive. */
	| {readonly type: 'node-heard'; readonly address: string}
	| {readonly type: 'worker-changed'; readonly worker: Worker}
	/** This node's worker is leaving; to be kept for later processes of the node. */
	| {readonly type: 'worker-leaving'; readonly departure: Departure}
	| {readonly type: 'load-changed'; readonly load: WorkerLoad}
	/** The settings name addresses at which nodes may run. */
	| {readonly type: 'seeds-known'; readonly addresses: readonly string[]}
	/** The record that an earlier process of this node wrote was read, if there is one. */
	| {
			readonly type: 'own-record-read';
			readonly hasSucceeded: boolean;
			readonly record: NodeRecord | undefined;
	  }
	/** A write of this node's record ended; `era` is that of the store's answer. */
	| {readonly type: 'record-written'; readonly hasSucceeded: boolean; readonly era: number}
	/** The store answered with this era. */
	| {readonly type: 'store-era'; readonly era: number}
	| {readonly type: 'registry-listed'; readonly records: readonly NodeRecord[] | undefined}
	| {
			readonly type: 'configuration-read';
			readonly document: ConfigurationDocument;
			readonly origin: 'store' | 'node';
	  }
	/** The local gate suspects a request of crashing workers, or clears it. */
	| {readonly type: 'crash-reported'; readonly report: CrashReport}
	/** The local gate has quarantined a request, and this node is the one that keeps it in the store. */
	| {readonly type: 'request-quarantined'; readonly report: SuspicionReport}
	/** The crashes in the store were read; `reports` is undefined if that failed. */
	| {readonly type: 'crashes-read'; readonly reports: readonly SuspicionReport[] | undefined}
	| {
			readonly type: 'crashes-saved';
			readonly reports: readonly SuspicionReport[];
			readonly hasSucceeded: boolean;
			readonly era: number;
	  }
	/** The local gate knows of other crashes than before. */
	| {readonly type: 'crash-digest-changed'; readonly digest: number}
	/** The watch reached the store, or lost it. */
	| {readonly type: 'store-contact'; readonly isStoreReachable: boolean}
	/** The orders in the store were read, at this era and revision of it. */
	| {
			readonly type: 'rollouts-listed';
			readonly era: number;
			readonly revision: number;
			readonly rollouts: readonly StoredRollout[];
	  }
	/**
	 * A write of an order's status ended. `written` has the revision of the object after it; a `failed`
	 * write may have taken effect or may still do so.
	 */
	| {
			readonly type: 'rollout-status-written';
			readonly rollout: StoredRollout;
			readonly status: StoredStatus;
			readonly result:
				| {readonly type: 'written'; readonly revision: number}
				| {readonly type: 'conflict'}
				| {readonly type: 'failed'};
	  }
	/** The local gate has counted these runs since the order of the worker's service. */
	| {readonly type: 'evidence-counted'; readonly evidence: WorkerEvidence}
	| {readonly type: 'stop-requested'}
	/** The gate is about to refuse calls. */
	| {readonly type: 'leave-requested'};

/** Actions that the directory requests. Plain data. */
export type DirectoryEffect =
	| {readonly type: 'send'; readonly to: string; readonly datagram: Datagram}
	/** Reads the record that an earlier process of this node may have written. */
	| {readonly type: 'read-own-record'; readonly address: string}
	| {readonly type: 'write-record'; readonly record: NodeRecord}
	/** All departures that were announced to earlier processes of this node have been told. */
	| {readonly type: 'departures-read'}
	/** The store keeps these departures. */
	| {readonly type: 'departures-kept'; readonly departed: readonly Departure[]}
	/** Lists the registry. A list after the first one may be some seconds old. */
	| {readonly type: 'list-registry'; readonly isFirst: boolean}
	/** Starts or stops watching the configuration in the store. */
	| {readonly type: 'set-watch'; readonly isOn: boolean}
	/** Abandons the poll in progress, if there is one, and reads the configuration on another connection. */
	| {readonly type: 'renew-watch'}
	| {
			readonly type: 'ask-configuration';
			readonly node: string;
			readonly gateAddress: string;
			/** Version held, to which the requested change applies; absent when there is none. */
			readonly since?: number;
	  }
	/** Loads of other nodes' workers, by control address. */
	| {readonly type: 'loads-heard'; readonly loads: ReadonlyMap<string, ReportedLoad>}
	/** A node stopped responding, so requests sent to it will most likely stay unanswered. */
	| {readonly type: 'node-silent'; readonly node: string}
	/** This node's worker announced its departure before this process started. */
	| {readonly type: 'worker-departed'; readonly instance: string; readonly startedAt?: number}
	| {readonly type: 'read-crashes'}
	/** Adds these reports to the crashes in the store. */
	| {readonly type: 'save-crashes'; readonly reports: readonly SuspicionReport[]}
	/** Sends the local gate's crash reports to a node that knows of other crashes. */
	| {readonly type: 'send-crash-reports'; readonly to: string}
	/** Another node's crash report arrived. */
	| {readonly type: 'suspect'; readonly report: CrashReport; readonly node: string}
	/** Reads the orders in the store again. */
	| {readonly type: 'list-rollouts'}
	/** Writes the status of an order if its object still has the revision of `rollout`. */
	| {
			readonly type: 'write-rollout-status';
			readonly rollout: StoredRollout;
			readonly status: StoredStatus;
	  }
	| {readonly type: 'notify'; readonly notice: DirectoryNotice};

/**
 * Why a poll of the store was abandoned. `overtaken`: another node has a version that it should have
 * delivered. `era-changed`: the store returned from an older copy, in which the poll means nothing.
 */
export type WatchRenewalReason = 'overtaken' | 'era-changed';

/** Notices for operators; each becomes a numbered log event. */
export type DirectoryNotice =
	| {
			readonly type: 'configuration-adopted';
			readonly version: number;
			readonly previous: number;
			readonly origin: 'store' | 'node';
			/** Time since another node first announced a version newer than the one held; 0 if none did. */
			readonly behindMs: number;
	  }
	| {readonly type: 'node-joined'; readonly peer: string; readonly incarnation: number}
	| {readonly type: 'node-lapsed'; readonly peer: string; readonly silentMs: number}
	| {readonly type: 'node-returned'; readonly peer: string}
	| {readonly type: 'node-left'; readonly peer: string}
	| {readonly type: 'registry-reached'; readonly nodes: number}
	| {readonly type: 'registry-failed'; readonly attempt: number}
	| {readonly type: 'identity-renewed'; readonly incarnation: number}
	| {readonly type: 'directory-state'; readonly from: string; readonly to: string}
	| {readonly type: 'watch-changed'; readonly isOn: boolean}
	| {readonly type: 'watch-renewed'; readonly reason: WatchRenewalReason}
	/** The store returned from an older copy. */
	| {readonly type: 'store-era-changed'; readonly era: number; readonly previous: number}
	/** A rollout has another state or share than before on this node. */
	| {
			readonly type: 'rollout-stage';
			readonly service: string;
			readonly targetVersion: string;
			readonly era: number;
			readonly revision: number;
			readonly state: RolloutState;
			readonly share: number;
			readonly elapsedMs: number;
			readonly decider: string;
			readonly reason: string;
			readonly isWithdrawn: boolean;
	  }
	/** An order names a service that the configuration doesn't have. */
	| {readonly type: 'rollout-refused'; readonly service: string; readonly fault: string}
	| {
			readonly type: 'rollout-status-written';
			readonly service: string;
			readonly state: RolloutState;
			readonly result: 'written' | 'conflict' | 'failed';
	  }
	/** The store has another final state of an order than this node. Neither is changed. */
	| {
			readonly type: 'rollout-verdicts-differ';
			readonly service: string;
			readonly held: RolloutState;
			readonly stored: RolloutState;
	  }
	| {readonly type: 'paused'; readonly durationMs: number};

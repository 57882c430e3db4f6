import {type CrashReport} from '../call/crash-tracker.js';
import {type WorkerLoad} from '../call/worker-load.js';
import {type NodeRecord} from './node-record.js';

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
	  }
	/** Asks for the receiver's record, which the sender lacks. */
	| {readonly type: 'inquiry'}
	/** The receiver announced an incarnation lower than `incarnation`, which the sender holds for it. */
	| {readonly type: 'outdated'; readonly incarnation: number}
	/** Crashes of workers on a request, or the success of one that was suspected of them. */
	| {readonly type: 'suspicion'; readonly report: CrashReport};

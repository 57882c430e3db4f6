import {type WorkerLoad} from '../call/worker-load.js';
import {type NodeRecord} from './node-record.js';

/** Message from one node to another that may be lost. */
export type Datagram =
	/** The sender's whole record. */
	| {
			readonly type: 'announcement';
			readonly record: NodeRecord;
			/** Version of the configuration that the sender holds; 0 for none. */
			readonly version: number;
			/** Whether the sender wants the receiver's announcement in return. */
			readonly wantsReply: boolean;
	  }
	/** The sender lives; its record is the one that this names. */
	| {
			readonly type: 'pulse';
			readonly incarnation: number;
			readonly revision: number;
			readonly version: number;
			readonly load?: WorkerLoad;
			/** Whether the sender follows the configuration in the store and is in contact with it. */
			readonly isWatching: boolean;
	  }
	/** The sender doesn't have the receiver's record. */
	| {readonly type: 'inquiry'}
	/** The sender knows a later life of the receiver than the one it announced. */
	| {readonly type: 'outdated'; readonly incarnation: number}
	/** A worker died of a request, or a request suspected ran well. */
	| {readonly type: 'suspicion'; readonly fingerprint: string; readonly isCleared: boolean};

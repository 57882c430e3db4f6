import {type CrashReport} from '../call/crash-tracker.js';
import {type Message} from '../model/message.js';
import {type Worker} from '../model/node-record.js';
import {type PlatformObject, type WriteOutcome} from '../model/platform-object.js';

/** Result of reading the local data centre's object. */
export type ReadOutcome =
	| {readonly type: 'found'; readonly object: PlatformObject}
	| {readonly type: 'missing'}
	| {readonly type: 'failed'};

/** Events that a node's core handles. Plain data. */
export type Event =
	| {readonly type: 'tick'}
	/** A link that this node requested is open. */
	| {readonly type: 'link-opened'; readonly link: number}
	/** Another node opened a link. */
	| {readonly type: 'link-accepted'; readonly link: number}
	| {readonly type: 'link-closed'; readonly link: number}
	| {readonly type: 'link-message'; readonly link: number; readonly message: Message}
	/** A watch or list returned an object. */
	| {readonly type: 'object-observed'; readonly object: PlatformObject}
	/** The watch has a complete view (`true`) or has lost the platform (`false`). */
	| {readonly type: 'watch-changed'; readonly isCurrent: boolean}
	| {readonly type: 'read-finished'; readonly outcome: ReadOutcome}
	| {
			readonly type: 'write-finished';
			readonly object: PlatformObject;
			readonly outcome: WriteOutcome;
	  }
	| {readonly type: 'worker-changed'; readonly worker: Worker}
	/** The local gate suspects a request of crashing workers, or clears it. */
	| {readonly type: 'crash-reported'; readonly report: CrashReport}
	/** A planned stop begins. */
	| {readonly type: 'stop-requested'};

import {type CrashReport} from '../call/crash-tracker.js';
import {type Message} from '../model/message.js';
import {type ObjectWrite} from '../model/platform-object.js';
import {type Counter} from './counter.js';
import {type Notice} from './notice.js';

/** Actions that a node's core requests. Plain data. */
export type Effect =
	| {readonly type: 'open-link'; readonly link: number; readonly address: string}
	| {readonly type: 'close-link'; readonly link: number}
	| {readonly type: 'send'; readonly links: readonly number[]; readonly message: Message}
	/** Reads the local data centre's object. */
	| {readonly type: 'read-data-centre'}
	| {readonly type: 'write-object'; readonly object: ObjectWrite}
	/** Starts or stops watching the platform's objects of all kinds. */
	| {readonly type: 'watch'; readonly isOn: boolean}
	/** Requests a tick after `delayMs` in addition to the regular ones. */
	| {readonly type: 'request-tick'; readonly delayMs: number}
	| {readonly type: 'count'; readonly counter: Counter}
	| {readonly type: 'notify'; readonly notice: Notice}
	/** Sends the local gate's crash reports over a link. */
	| {readonly type: 'send-crash-reports'; readonly link: number}
	/** Another node's crash report arrived; `node` is the control address of the node that issued it. */
	| {readonly type: 'suspect'; readonly report: CrashReport; readonly node: string};

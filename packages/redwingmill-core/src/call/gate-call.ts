import {type Answer} from './call-ledger.js';
import {type CrashReport} from './crash-tracker.js';

/** A call at the gate of its worker's node. */
export type GateCall = {
	/** Unique name of this attempt, given by the entry node. */
	readonly id: string;
	/** Number of the ticket, when the call has one. */
	readonly ticket?: number;
	/** Service that the call is for; the gate refuses it when its worker is of another one. */
	readonly service: string;
	/** Names calls that take similar time. */
	readonly group: string;
	/** 0 is the most urgent. */
	readonly rank: number;
	/** Monotonic milliseconds by which an answer is worth most; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Monotonic milliseconds at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Nodes whose workers died of this call, as far as the entry node knows. */
	readonly crashedNodes: readonly string[];
	/** Names the request by its contents. */
	readonly fingerprint: () => string;
};

/** What became of a call that the worker was given. */
export type WorkerResult<Payload> =
	| {
			readonly type: 'answered';
			readonly payload: Payload;
			readonly bytes: number;
			/** Whether the worker says that it failed; such a run says nothing of its speed. */
			readonly isFailure: boolean;
	  }
	/** The worker said that it didn't run the call. */
	| {readonly type: 'shed'}
	/** Another worker has taken the address; it didn't run the call. */
	| {readonly type: 'misdirected'}
	/** No connection: no byte of the call was sent. */
	| {readonly type: 'unreachable'}
	/** The worker ended before the answer was complete. */
	| {readonly type: 'died'}
	/** The worker lives, but its answer was lost, cut short or not its own. */
	| {readonly type: 'lost'}
	| {readonly type: 'timed-out'}
	| {readonly type: 'aborted'}
	| {readonly type: 'too-large'};

/** What the gate wants done. */
export type GateEffect<Payload> =
	| {readonly type: 'dispatch'; readonly call: GateCall}
	/** Answers everyone who waits for the call, or only the attempt `id`. */
	| {
			readonly type: 'answer';
			readonly key: string;
			readonly id?: string;
			readonly answer: Answer<Payload>;
	  }
	/** Ends the exchange with the worker: nobody waits any more. */
	| {readonly type: 'abort'; readonly key: string}
	/** Tells the other nodes that a worker died of a request, or that one suspected ran well. */
	| ({readonly type: 'suspect'} & CrashReport)
	/** The worker can't be reached, or isn't the one announced; it counts as absent from now on. */
	| {readonly type: 'worker-gone'};

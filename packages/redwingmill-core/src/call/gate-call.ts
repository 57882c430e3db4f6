import {type Answer} from './call-ledger.js';
import {type CrashEffect} from './crash-tracker.js';
import {type KnownLimit} from './reported-notices.js';
import {type NoticeChange} from './worker-notices.js';

/** What a gate knows of the workspace that a call belongs to. */
export type CallWorkspace = {
	readonly name: string;
	/** Takes precedence over the rank of the route; 0 is the most urgent. */
	readonly rank: number;
};

/** A call at the gate of its worker's node. */
export type GateCall = {
	/** Unique identifier of this attempt, assigned by the entry node. */
	readonly id: string;
	/** Number of the call's ticket; absent when it has none. */
	readonly ticket?: number;
	/** Service that the call is for; the gate refuses it when its worker belongs to another one. */
	readonly service: string;
	/** Identifies calls with similar run times. */
	readonly group: string;
	/** Rank of the route; 0 is the most urgent. */
	readonly rank: number;
	/** Workspace of the caller; absent when the call needs none. */
	readonly workspace?: CallWorkspace;
	/** Whether the answer is so large that it is scheduled by the host's link. */
	readonly isBulk?: boolean;
	/** Latency target in monotonic milliseconds; absent when only the deadline counts. */
	readonly targetAt?: number;
	/** Monotonic milliseconds at which the caller stops waiting. */
	readonly deadlineAt: number;
	/** Nodes whose workers crashed while running this call, as far as the entry node knows. */
	readonly crashedNodes: readonly string[];
	/** Limit of the worker that the entry node knows of; a gate that has just started may not. */
	readonly knownLimit?: KnownLimit;
	/** Identifies the request by its contents. */
	readonly fingerprint: () => string;
};

/** Result of a call that was dispatched to the worker. */
export type WorkerResult<Payload> =
	| {
			readonly type: 'answered';
			readonly payload: Payload;
			readonly bytes: number;
			/** Whether the worker reported a failure; such a run says nothing about its run times. */
			readonly isFailure: boolean;
			/** Whether the worker gave the call up at its deadline, perhaps before it ran any of it. */
			readonly isExpired?: boolean;
	  }
	/** The worker declined the call without running it. */
	| {readonly type: 'shed'}
	/** Another worker now has the address; it declined the call without running it. */
	| {readonly type: 'misdirected'}
	/** No connection: no byte of the call was sent. */
	| {readonly type: 'unreachable'}
	/** The worker crashed before its answer was complete. */
	| {readonly type: 'died'}
	/** The worker is alive, but its answer was lost, truncated or meant for another call. */
	| {readonly type: 'lost'}
	| {readonly type: 'timed-out'}
	| {readonly type: 'aborted'}
	| {readonly type: 'too-large'};

/** Action that the gate requests from its transport. */
export type GateEffect<Payload> =
	| {readonly type: 'dispatch'; readonly call: GateCall}
	/** Answers all attempts that wait for the call, or only the attempt `id`. */
	| {
			readonly type: 'answer';
			readonly key: string;
			readonly id?: string;
			readonly answer: Answer<Payload>;
	  }
	/** Ends the exchange with the worker because nobody waits for its answer any more. */
	| {readonly type: 'abort'; readonly key: string}
	| CrashEffect
	/** The worker said something new of itself. */
	| {readonly type: 'notice-changed'; readonly change: NoticeChange}
	/** Finds out whether the worker is still alive; this call timed out and no other has ended since. */
	| {readonly type: 'check-worker'; readonly call: GateCall}
	/** The worker can't be reached or isn't the announced one; it counts as absent from now on. */
	| {readonly type: 'worker-gone'};

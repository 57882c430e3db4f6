import {NoticeChecker, type CallOrigin} from './notice-checker.js';
import {type SoakNotice} from './soak-fault.js';

/** A call as sent by its caller. */
export type SentCall = {
	readonly id: string;
	readonly host: number;
	/** Incarnation of the node's process when the call was sent; each restart begins a new one. */
	readonly incarnation: number;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly isIdempotent: boolean;
	/** Service that the mesh must report to the worker as the caller. */
	readonly caller: string;
	readonly sentAt: number;
	/** Time within which a response or the end of the connection is due. */
	readonly timeoutMs: number;
	readonly expects: Expectation;
};

/** What the operators' configuration says about a call's path. */
export type Expectation =
	/** Every version has the route. */
	| {readonly type: 'always'; readonly service: string}
	/** Only this version has the route. */
	| {readonly type: 'version'; readonly service: string; readonly version: number};

/** How a call ended for its caller. */
export type CallResult =
	| {
			readonly type: 'answer';
			readonly status: number;
			/** Call identifier in the response's headers, if any. */
			readonly id?: string;
			readonly body: string;
	  }
	/** The connection ended without a complete response. */
	| {readonly type: 'broken'}
	/** The caller cancelled the call before it completed. */
	| {readonly type: 'left'};

/** A call as received by a worker, which starts to run it. */
export type ObservedRun = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly caller?: string;
	readonly service: string;
	/** Identifier of the worker instance. */
	readonly instance: string;
	/** Whether the worker's host was disrupted recently, so that calls may arrive late. */
	readonly isHeldUp: boolean;
};

/** A run of a request that crashes workers. */
type CrashingRun = {readonly at: number; readonly isInTouch: boolean};

/** A violated invariant, in the field `promise`, and the evidence. */
export type InvariantViolation = {readonly promise: Invariant; readonly detail: string};

/** Names under which violated invariants are reported. */
export type Invariant =
	/** A call that isn't idempotent ran more than once. */
	| 'ran-twice'
	/** A call that isn't idempotent ran although its caller got a status that says it was not run. */
	| 'refused-but-ran'
	/** A caller got a response other than the one that a worker sends for its call. */
	| 'not-the-workers-answer'
	/** A worker received a call that nobody sent, or that was altered on the way. */
	| 'unasked'
	/** A call ran at a worker of another service. */
	| 'wrong-service'
	/** A request that had crashed three workers was sent to more than three others. */
	| 'sent-after-crashes'
	/** A call ran at a worker too long after its leaving was acknowledged. */
	| 'ran-after-leaving'
	/** A worker got more calls than the limit that it states, or calls long after it said that it leaves. */
	| 'notice-ignored'
	/** A call was pending beyond its timeout. */
	| 'held-too-long'
	/** A call got status 404 for a route that every version has. */
	| 'refused-as-unknown'
	/** A node served a call by an older version after a newer one had been in force. */
	| 'version-went-back'
	/** After a planned restart and a change, not all nodes served all routes within the limit. */
	| 'change-not-in-force'
	/** At the start or after the faults, not all nodes served all routes within the limit. */
	| 'not-recovered'
	/** A call that a worker ran was interrupted in the fault-free phase. */
	| 'cut-while-calm'
	/** A planned stop took longer than its limit. */
	| 'stopped-late'
	/** A node's process exited without having been killed or stopped by the soak. */
	| 'process-ended';

/** Statuses that assure the caller that the call has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const noRouteStatus = 404;
const lowestServerErrorStatus = 500;
/** Allows for timers that fire late on a busy machine. */
const timeoutSlackMs = 2500;

const crashesToQuarantine = 3;
/** Runs that a request may still begin once its crashes are known everywhere. */
const maximumRunsAfterCrashes = 3;
/** Time in which a crash is detected and reported; also that in which a host recovers its contacts. */
const contactMs = 3000;
const crashingPathEnd = /\/crash-\d+$/v;

/** Returns the end of the path of a request that crashes each worker that runs it. */
export function crashingPathOf(index: number): string {
	return `crash-${index}`;
}

export function isCrashingPath(path: string): boolean {
	return crashingPathEnd.test(path);
}

/** Returns the response body that a worker sends for a call, and the only one a caller accepts. */
export function responseBodyOf(id: string, service: string): string {
	return `${service} ran ${id}`;
}

/** Checks what callers and workers observe against the invariants that the mesh guarantees. */
export class InvariantChecker {
	readonly breaches: InvariantViolation[] = [];
	/** Number of completed calls by status, `broken` or `left`. */
	readonly ends = new Map<string, number>();
	readonly #calls = new Map<string, SentCall>();
	readonly #pending = new Set<string>();
	readonly #runs = new Map<string, number>();
	readonly #refused = new Set<string>();
	/** Time until which calls may reach an instance that is leaving. */
	readonly #callsAllowedUntil = new Map<string, number>();
	readonly #faultFreeCalls = new Set<string>();
	/** Runs of each request that crashes workers, by its identity. */
	readonly #crashingRuns = new Map<string, CrashingRun[]>();
	readonly #disruptedUntil: (host: number) => number;
	readonly #notices = new NoticeChecker();
	#isFaultFree = false;
	/** Newest version seen in force by host and incarnation, and when it was first seen. */
	readonly #newestVersions = new Map<string, {readonly version: number; readonly at: number}>();

	/** @param disruptedUntil - returns the time until which a host was disrupted. */
	constructor(disruptedUntil: (host: number) => number = () => Number.NEGATIVE_INFINITY) {
		this.#disruptedUntil = disruptedUntil;
	}

	onSent(call: SentCall): void {
		this.#calls.set(call.id, call);
		this.#pending.add(call.id);
		if (this.#isFaultFree) {
			this.#faultFreeCalls.add(call.id);
		}
	}

	/** Sets whether calls sent from now on are subject to planned restarts and changes only. */
	setFaultFree(isFaultFree: boolean): void {
		this.#isFaultFree = isFaultFree;
	}

	/** Records that the node acknowledged that an instance is leaving. */
	onLeaveAcknowledged(instance: string, callsAllowedUntil: number): void {
		this.#callsAllowedUntil.set(instance, callsAllowedUntil);
	}

	/** Records that the response to a call says something of the instance that ran it. */
	onNotice(id: string, instance: string, notice: SoakNotice, now: number): void {
		this.#notices.onNotice(id, instance, notice, now);
	}

	/** Records that an instance says nothing of itself any more. */
	onNoticeEnded(instance: string): void {
		this.#notices.onEnd(instance);
	}

	onRun(run: ObservedRun, now: number): void {
		const call = this.#calls.get(run.id);
		if (!call || !matchesCall(run, call)) {
			this.#report('unasked', JSON.stringify(run));
			return;
		}

		const runs = (this.#runs.get(run.id) ?? 0) + 1;
		this.#runs.set(run.id, runs);
		if (runs > 1 && !call.isIdempotent) {
			this.#report('ran-twice', run.id);
		}

		if (this.#refused.has(run.id) && !call.isIdempotent) {
			this.#report('refused-but-ran', `${run.id} ran after its refusal`);
		}

		if (isCrashingPath(run.path)) {
			this.#checkCrashingRun(run, call, now);
		}

		if (run.service !== call.expects.service) {
			this.#report('wrong-service', `${run.id} for ${call.expects.service} ran at ${run.service}`);
		}

		const ignored = this.#notices.onRun(run.instance, this.#originOf(call), run.isHeldUp, now);
		if (ignored !== undefined) {
			this.#report('notice-ignored', `${run.id}: ${ignored}`);
		}

		const callsAllowedUntil = this.#callsAllowedUntil.get(run.instance) ?? Infinity;
		if (now > callsAllowedUntil && !run.isHeldUp) {
			this.#report(
				'ran-after-leaving',
				`${run.id} ran ${Math.round(now - callsAllowedUntil)} ms late`,
			);
		}
	}

	onEnd(id: string, result: CallResult, now: number): void {
		const call = this.#calls.get(id);
		if (!call || !this.#pending.delete(id)) {
			return;
		}

		const key = result.type === 'answer' ? String(result.status) : result.type;
		this.ends.set(key, (this.ends.get(key) ?? 0) + 1);
		if (result.type === 'answer') {
			this.#checkResponse(call, result, now);
		}

		if (this.#faultFreeCalls.has(id) && this.#runs.has(id) && isInterrupted(result)) {
			this.#report('cut-while-calm', `${id} ran and ended as ${key}`);
		}
	}

	/**
	 * Reports calls that are pending beyond their timeout and its slack. `disruptedUntil` returns the
	 * time until which a host was disrupted; calls sent up to then are exempt.
	 */
	checkPending(now: number, disruptedUntil: (host: number) => number): void {
		for (const id of this.#pending) {
			const {host, sentAt, timeoutMs} = this.#calls.get(id)!;
			const waitedMs = now - sentAt;
			if (waitedMs > timeoutMs + timeoutSlackMs && sentAt > disruptedUntil(host)) {
				this.#pending.delete(id);
				this.#report(
					'held-too-long',
					`${id} pending at host ${host} for ${Math.round(waitedMs)} ms`,
				);
			}
		}
	}

	report(invariant: Invariant, detail: string): void {
		this.#report(invariant, detail);
	}

	#checkResponse(call: SentCall, result: Extract<CallResult, {type: 'answer'}>, now: number): void {
		const {id, expects, isIdempotent} = call;
		if (result.id !== undefined && result.id !== id) {
			this.#report('not-the-workers-answer', `${id} got the response of ${result.id}`);
		}

		if (result.status === 200) {
			if (result.body !== responseBodyOf(id, expects.service)) {
				this.#report('not-the-workers-answer', `${id} got ${JSON.stringify(result.body)}`);
			}

			this.#checkVersion(call, now);
			this.#notices.onAnswered(id, this.#originOf(call), now);
		}

		if (notRunStatuses.has(result.status)) {
			this.#refused.add(id);
			if (!isIdempotent && this.#runs.has(id)) {
				this.#report('refused-but-ran', `${id} got ${result.status}`);
			}
		}

		if (result.status === noRouteStatus && expects.type === 'always') {
			this.#report(
				'refused-as-unknown',
				`${id} found no route for ${call.path} at host ${call.host}`,
			);
		}
	}

	/** Checks that hosts in touch don't send a request on once it has crashed three workers. */
	#checkCrashingRun(run: ObservedRun, {host}: SentCall, now: number): void {
		const isInTouch = !run.isHeldUp && now - this.#disruptedUntil(host) >= contactMs;
		const identity = identityOf(run);
		const runs = [...(this.#crashingRuns.get(identity) ?? []), {at: now, isInTouch}];
		this.#crashingRuns.set(identity, runs);
		const thirdCrashAt = runs.at(crashesToQuarantine - 1)?.at ?? now;
		const lateRuns = runs.filter((each) => each.isInTouch && each.at > thirdCrashAt + contactMs);
		if (lateRuns.length > maximumRunsAfterCrashes) {
			this.#report(
				'sent-after-crashes',
				`${identity} began ${lateRuns.length} runs after its third crash, ${runs.length} in all`,
			);
		}
	}

	/** Checks that an incarnation serves no call by a version older than one seen before the call. */
	#checkVersion({id, host, incarnation, sentAt, expects}: SentCall, now: number): void {
		if (expects.type !== 'version') {
			return;
		}

		const key = `${host}/${incarnation}`;
		const seen = this.#newestVersions.get(key);
		if (seen && seen.version > expects.version && sentAt > seen.at) {
			this.#report(
				'version-went-back',
				`${id} served by version ${expects.version} after ${seen.version}`,
			);
		}

		if (!seen || expects.version > seen.version) {
			this.#newestVersions.set(key, {version: expects.version, at: now});
		}
	}

	#originOf({host, incarnation, sentAt}: SentCall): CallOrigin {
		return {host, incarnation, sentAt, disruptedUntil: this.#disruptedUntil(host)};
	}

	#report(invariant: Invariant, detail: string): void {
		this.breaches.push({promise: invariant, detail});
	}
}

/** Returns whether a call that ran completed without its worker's response. */
function isInterrupted(result: CallResult): boolean {
	switch (result.type) {
		case 'answer': {
			return result.status >= lowestServerErrorStatus;
		}

		case 'broken': {
			return true;
		}

		case 'left': {
			return false;
		}
	}
}

/** Returns by what a request that comes again is the same one: a crash says nothing of other requests. */
function identityOf({method, path, caller, body}: ObservedRun): string {
	return [method, path, caller, body].join(' ');
}

function matchesCall(run: ObservedRun, call: SentCall): boolean {
	return (
		run.method === call.method &&
		run.path === call.path &&
		run.body === call.body &&
		run.caller === call.caller
	);
}

/** A call as its caller sent it. */
export type SentCall = {
	readonly id: string;
	readonly host: number;
	/** Number of the node's life that took the call; a node that starts again begins a new one. */
	readonly incarnation: number;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly isIdempotent: boolean;
	/** Service that workers have to be told as the caller. */
	readonly caller: string;
	readonly sentAt: number;
	/** Time within which an answer or the connection's end is due. */
	readonly timeoutMs: number;
	readonly expects: Expectation;
};

/** What the operators' text says of a call's path. */
export type Expectation =
	/** Every version so far has the route. */
	| {readonly type: 'always'; readonly service: string}
	/** Only this version has the route. */
	| {readonly type: 'version'; readonly service: string; readonly version: number};

/** How a call ended for its caller. */
export type CallResult =
	| {
			readonly type: 'answer';
			readonly status: number;
			/** Identifier that the answer bears, if any. */
			readonly id?: string;
			readonly body: string;
	  }
	/** The connection ended without a whole answer. */
	| {readonly type: 'broken'}
	/** The caller left before the end. */
	| {readonly type: 'left'};

/** A call as a worker began to run it. */
export type ObservedRun = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly caller?: string;
	readonly service: string;
	/** Identity of the worker's life. */
	readonly instance: string;
	/** Whether links or processes on the way were disturbed of late, so that calls may be late. */
	readonly isHeldUp: boolean;
};

/** A broken promise: which one, and what showed it. */
export type InvariantViolation = {readonly promise: Invariant; readonly detail: string};

export type Invariant =
	| 'ran-twice'
	| 'refused-but-ran'
	| 'not-the-workers-answer'
	| 'unasked'
	| 'wrong-service'
	| 'ran-after-leaving'
	| 'held-too-long'
	| 'refused-as-unknown'
	| 'version-went-back'
	| 'change-not-in-force'
	| 'not-recovered'
	| 'cut-while-calm'
	| 'stopped-late'
	| 'process-ended';

/** Statuses that tell the caller that the call didn't run and won't. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const noRouteStatus = 404;
const lowestServerErrorStatus = 500;
/** Timers of a busy machine may be late by this much. */
const timeoutSlackMs = 2500;

/** The body that a worker returns for a call; nothing else may pass for it. */
export function responseBodyOf(id: string, service: string): string {
	return `${service} ran ${id}`;
}

/** Checks what callers and workers see against what the mesh promises. */
export class InvariantChecker {
	readonly breaches: InvariantViolation[] = [];
	/** Counts of ends, by status or `broken`. */
	readonly ends = new Map<string, number>();
	readonly #calls = new Map<string, SentCall>();
	readonly #pending = new Set<string>();
	readonly #runs = new Map<string, number>();
	readonly #refused = new Set<string>();
	/** Time from which a worker's life may get no calls. */
	readonly #callsAllowedUntil = new Map<string, number>();
	readonly #faultFreeCalls = new Set<string>();
	#isFaultFree = false;
	/** Newest version seen in force, by life of a node, and when that was known. */
	readonly #newestVersions = new Map<string, {readonly version: number; readonly at: number}>();

	onSent(call: SentCall): void {
		this.#calls.set(call.id, call);
		this.#pending.add(call.id);
		if (this.#isFaultFree) {
			this.#faultFreeCalls.add(call.id);
		}
	}

	/** Calls sent from now on meet planned work alone. */
	setFaultFree(isCalm: boolean): void {
		this.#isFaultFree = isCalm;
	}

	/** The worker's leaving was acknowledged; calls may reach it until then. */
	onLeaveAcknowledged(instance: string, untilMs: number): void {
		this.#callsAllowedUntil.set(instance, untilMs);
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

		if (run.service !== call.expects.service) {
			this.#report('wrong-service', `${run.id} for ${call.expects.service} at ${run.service}`);
		}

		const leftAt = this.#callsAllowedUntil.get(run.instance) ?? Infinity;
		if (now > leftAt && !run.isHeldUp) {
			this.#report('ran-after-leaving', `${run.id} ${Math.round(now - leftAt)} ms late`);
		}
	}

	onEnd(id: string, end: CallResult, now: number): void {
		const call = this.#calls.get(id);
		if (!call || !this.#pending.delete(id)) {
			return;
		}

		const key = end.type === 'answer' ? String(end.status) : end.type;
		this.ends.set(key, (this.ends.get(key) ?? 0) + 1);
		if (end.type === 'answer') {
			this.#checkResponse(call, end, now);
		}

		if (this.#faultFreeCalls.has(id) && this.#runs.has(id) && isInterrupted(end)) {
			this.#report('cut-while-calm', `${id} ran and ended as ${key}`);
		}
	}

	/**
	 * Reports calls that wait for longer than their time. A host's process or its callers' link may
	 * have been disturbed up to a time; calls sent before it are excused.
	 */
	checkPending(now: number, disturbedUntil: (host: number) => number): void {
		for (const id of this.#pending) {
			const {host, sentAt, timeoutMs: limitMs} = this.#calls.get(id)!;
			const waitedMs = now - sentAt;
			if (waitedMs > limitMs + timeoutSlackMs && sentAt > disturbedUntil(host)) {
				this.#pending.delete(id);
				this.#report('held-too-long', `${id} at host ${host} for ${Math.round(waitedMs)} ms`);
			}
		}
	}

	report(promise: Invariant, detail: string): void {
		this.#report(promise, detail);
	}

	#checkResponse(call: SentCall, end: Extract<CallResult, {type: 'answer'}>, now: number): void {
		const {id, expects, isIdempotent: mayRepeat} = call;
		if (end.id !== undefined && end.id !== id) {
			this.#report('not-the-workers-answer', `${id} got the answer of ${end.id}`);
		}

		if (end.status === 200) {
			if (end.body !== responseBodyOf(id, expects.service)) {
				this.#report('not-the-workers-answer', `${id} got ${JSON.stringify(end.body)}`);
			}

			this.#checkVersion(call, now);
		}

		if (notRunStatuses.has(end.status)) {
			this.#refused.add(id);
			if (!mayRepeat && this.#runs.has(id)) {
				this.#report('refused-but-ran', `${id} got ${end.status}`);
			}
		}

		if (end.status === noRouteStatus && expects.type === 'always') {
			this.#report('refused-as-unknown', `${id} ${call.path} at host ${call.host}`);
		}
	}

	/** A life of a node that has shown a version serves no call sent later by an older one. */
	#checkVersion({id, host, incarnation: life, sentAt, expects}: SentCall, now: number): void {
		if (expects.type !== 'version') {
			return;
		}

		const key = `${host}/${life}`;
		const seen = this.#newestVersions.get(key);
		if (seen && seen.version > expects.version && sentAt > seen.at) {
			this.#report('version-went-back', `${id} by ${expects.version} after ${seen.version}`);
		}

		if (!seen || expects.version > seen.version) {
			this.#newestVersions.set(key, {version: expects.version, at: now});
		}
	}

	#report(promise: Invariant, detail: string): void {
		this.breaches.push({promise, detail});
	}
}

/** Whether a call that ran ended without its worker's answer. */
function isInterrupted(end: CallResult): boolean {
	switch (end.type) {
		case 'answer': {
			return end.status >= lowestServerErrorStatus;
		}

		case 'broken': {
			return true;
		}

		case 'left': {
			return false;
		}
	}
}

function matchesCall(run: ObservedRun, call: SentCall): boolean {
	return (
		run.method === call.method &&
		run.path === call.path &&
		run.body === call.body &&
		run.caller === call.caller
	);
}

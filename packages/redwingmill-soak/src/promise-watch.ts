/** A call as its caller sent it. */
export type SentCall = {
	readonly id: string;
	readonly host: number;
	/** Number of the node's life that took the call; a node that starts again begins a new one. */
	readonly life: number;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly mayRepeat: boolean;
	/** Service that workers have to be told as the caller. */
	readonly caller: string;
	readonly sentAt: number;
	/** Time within which an answer or the connection's end is due. */
	readonly limitMs: number;
	readonly expects: Expectation;
};

/** What the operators' text says of a call's path. */
export type Expectation =
	/** Every version so far has the route. */
	| {readonly type: 'always'; readonly service: string}
	/** Only this version has the route. */
	| {readonly type: 'version'; readonly service: string; readonly version: number};

/** How a call ended for its caller. */
export type CallEnd =
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
export type Breach = {readonly promise: BrokenPromise; readonly detail: string};

export type BrokenPromise =
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
const unknownRouteStatus = 404;
const firstServerError = 500;
/** Timers of a busy machine may be late by this much. */
const heldSlackMs = 2500;

/** The body that a worker returns for a call; nothing else may pass for it. */
export function answerOf(id: string, service: string): string {
	return `${service} ran ${id}`;
}

/** Checks what callers and workers see against what the mesh promises. */
export class PromiseWatch {
	readonly breaches: Breach[] = [];
	/** Counts of ends, by status or `broken`. */
	readonly ends = new Map<string, number>();
	readonly #calls = new Map<string, SentCall>();
	readonly #open = new Set<string>();
	readonly #runs = new Map<string, number>();
	readonly #refused = new Set<string>();
	/** Time from which a worker's life may get no calls. */
	readonly #leftAt = new Map<string, number>();
	readonly #calm = new Set<string>();
	#isCalm = false;
	/** Newest version seen in force, by life of a node, and when that was known. */
	readonly #versions = new Map<string, {readonly version: number; readonly at: number}>();

	onSent(call: SentCall): void {
		this.#calls.set(call.id, call);
		this.#open.add(call.id);
		if (this.#isCalm) {
			this.#calm.add(call.id);
		}
	}

	/** Calls sent from now on meet planned work alone. */
	expectCalm(isCalm: boolean): void {
		this.#isCalm = isCalm;
	}

	/** The worker's leaving was acknowledged; calls may reach it until then. */
	onLeaving(instance: string, untilMs: number): void {
		this.#leftAt.set(instance, untilMs);
	}

	onRun(run: ObservedRun, now: number): void {
		const call = this.#calls.get(run.id);
		if (!call || !isAsFor(run, call)) {
			this.#report('unasked', JSON.stringify(run));
			return;
		}

		const runs = (this.#runs.get(run.id) ?? 0) + 1;
		this.#runs.set(run.id, runs);
		if (runs > 1 && !call.mayRepeat) {
			this.#report('ran-twice', run.id);
		}

		if (this.#refused.has(run.id) && !call.mayRepeat) {
			this.#report('refused-but-ran', `${run.id} ran after its refusal`);
		}

		if (run.service !== call.expects.service) {
			this.#report('wrong-service', `${run.id} for ${call.expects.service} at ${run.service}`);
		}

		const leftAt = this.#leftAt.get(run.instance) ?? Infinity;
		if (now > leftAt && !run.isHeldUp) {
			this.#report('ran-after-leaving', `${run.id} ${Math.round(now - leftAt)} ms late`);
		}
	}

	onEnd(id: string, end: CallEnd, now: number): void {
		const call = this.#calls.get(id);
		if (!call || !this.#open.delete(id)) {
			return;
		}

		const key = end.type === 'answer' ? String(end.status) : end.type;
		this.ends.set(key, (this.ends.get(key) ?? 0) + 1);
		if (end.type === 'answer') {
			this.#checkAnswer(call, end, now);
		}

		if (this.#calm.has(id) && this.#runs.has(id) && isCut(end)) {
			this.#report('cut-while-calm', `${id} ran and ended as ${key}`);
		}
	}

	/**
	 * Reports calls that wait for longer than their time. A host's process or its callers' link may
	 * have been disturbed up to a time; calls sent before it are excused.
	 */
	checkOpen(now: number, disturbedUntil: (host: number) => number): void {
		for (const id of this.#open) {
			const {host, sentAt, limitMs} = this.#calls.get(id)!;
			const waitedMs = now - sentAt;
			if (waitedMs > limitMs + heldSlackMs && sentAt > disturbedUntil(host)) {
				this.#open.delete(id);
				this.#report('held-too-long', `${id} at host ${host} for ${Math.round(waitedMs)} ms`);
			}
		}
	}

	report(promise: BrokenPromise, detail: string): void {
		this.#report(promise, detail);
	}

	#checkAnswer(call: SentCall, end: Extract<CallEnd, {type: 'answer'}>, now: number): void {
		const {id, expects, mayRepeat} = call;
		if (end.id !== undefined && end.id !== id) {
			this.#report('not-the-workers-answer', `${id} got the answer of ${end.id}`);
		}

		if (end.status === 200) {
			if (end.body !== answerOf(id, expects.service)) {
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

		if (end.status === unknownRouteStatus && expects.type === 'always') {
			this.#report('refused-as-unknown', `${id} ${call.path} at host ${call.host}`);
		}
	}

	/** A life of a node that has shown a version serves no call sent later by an older one. */
	#checkVersion({id, host, life, sentAt, expects}: SentCall, now: number): void {
		if (expects.type !== 'version') {
			return;
		}

		const key = `${host}/${life}`;
		const seen = this.#versions.get(key);
		if (seen && seen.version > expects.version && sentAt > seen.at) {
			this.#report('version-went-back', `${id} by ${expects.version} after ${seen.version}`);
		}

		if (!seen || expects.version > seen.version) {
			this.#versions.set(key, {version: expects.version, at: now});
		}
	}

	#report(promise: BrokenPromise, detail: string): void {
		this.breaches.push({promise, detail});
	}
}

/** Whether a call that ran ended without its worker's answer. */
function isCut(end: CallEnd): boolean {
	switch (end.type) {
		case 'answer': {
			return end.status >= firstServerError;
		}

		case 'broken': {
			return true;
		}

		case 'left': {
			return false;
		}
	}
}

function isAsFor(run: ObservedRun, call: SentCall): boolean {
	return (
		run.method === call.method &&
		run.path === call.path &&
		run.body === call.body &&
		run.caller === call.caller
	);
}

import {VirtualClock} from 'redwingmill-bench';
import {
	defaultGateLimits,
	EndpointChooser,
	EntryCall,
	Gate,
	RetryBudget,
	workerIdentityOf,
	type AttemptResult,
	type Endpoint,
	type EntryAction,
	type GateCall,
	type GateEffect,
	type StatedLimit,
	type Worker,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';

/** A step of a play; the play goes on for `ms` before the next one. */
export type LimitStep =
	| {readonly type: 'wait'; readonly ms: number}
	/** The worker states a limit from now on, or none. */
	| {readonly type: 'limit'; readonly perSecond: number | undefined}
	| {readonly type: 'malformed-limit'}
	| {readonly type: 'leave'}
	| {readonly type: 'new-worker'}
	| {readonly type: 'restart-gate'}
	| {readonly type: 'freeze-gate'; readonly forMs: number}
	| {readonly type: 'restart-entry'; readonly entry: number}
	/** No calls arrive for a time, after which many arrive at once. */
	| {readonly type: 'pause-calls'; readonly forMs: number};

type Entry = {
	chooser: EndpointChooser;
	/** When it passed on a response that stated a limit; per worker process, as `leavingAt`. */
	limitToldAt: number | undefined;
	leavingToldAt: number | undefined;
};

type WorkerProcess = {
	readonly worker: Worker;
	limit: StatedLimit;
	isLeaving: boolean;
	/** When it first stated a limit. */
	firstStatedAt: number | undefined;
	/** Limits that it stated, and until when; the current one has no end. */
	readonly stated: Array<{readonly perSecond: number; untilMs: number}>;
	readonly arrivals: Array<{readonly at: number; readonly isCounted: boolean}>;
};

const service = 'coding';
const node = 'node';
const slots = 12;
const tickMs = 20;
const callIntervalMs = 6;
const deadlineMs = 600;
const targetMs = 300;
const hopMs = 1;
const windowMs = 4000;
const contactMs = 3000;
const drainMs = 2000;
const toldMs = 500;
/** Time after its deadline by which a call must have ended. */
const overdueMs = 60;
const entryCount = 2;
const burstCalls = 300;

/**
 * Production entries and a gate before one worker, on virtual time, under constant load well over its
 * limits. Checks from outside what the worker gets and that no call is stuck.
 */
export class LimitedWorkerPlay {
	readonly violations: string[] = [];
	readonly #clock = new VirtualClock();
	readonly #random: Random;
	readonly #entries: readonly Entry[];
	readonly #budget = new RetryBudget(10_000);
	readonly #waiters = new Map<string, (result: AttemptResult<string>) => void>();
	readonly #origins = new Map<string, {readonly entry: Entry; readonly sentAt: number}>();
	#worker: WorkerProcess;
	#gate: Gate<string>;
	#endpoint: Endpoint;
	#starts = 1;
	#frozenUntil = 0;
	#callsPausedUntil = 0;
	/** Gate that got a response of the current worker process which says that it leaves. */
	#leavingGate: Gate<string> | undefined;
	/** When the gate learned of the limit from a response; 0 if from an entry. */
	#limitedSince = 0;
	/** End of the last freeze, also of one that a restart ended. */
	#lastThawAt = 0;
	#calls = 0;

	constructor(seed: number) {
		this.#random = new Random(seed);
		this.#worker = newProcess(this.#starts);
		this.#gate = this.#newGate();
		this.#endpoint = endpointOf(this.#worker);
		this.#entries = Array.from({length: entryCount}, () => newEntry(this.#random));
		this.#tick();
		this.#startCalls();
	}

	/** Whether the gate limits the worker. */
	get isLimited(): boolean {
		return this.#gate.limitPerSecond !== undefined;
	}

	perform(step: LimitStep): void {
		const {now} = this.#clock;
		switch (step.type) {
			case 'wait': {
				this.#clock.runUntil(now + step.ms);
				break;
			}

			case 'limit': {
				this.#stateLimit(step.perSecond);
				break;
			}

			case 'malformed-limit': {
				// It states no limit that could bind anyone, and ends none.
				this.#stateLimit(undefined);
				this.#worker.limit = {type: 'malformed', text: 'many'};
				break;
			}

			case 'leave': {
				this.#worker.isLeaving = true;
				break;
			}

			case 'new-worker': {
				this.#replaceWorker();
				break;
			}

			case 'restart-gate': {
				this.#restartGate();
				break;
			}

			case 'freeze-gate': {
				this.#frozenUntil = Math.max(this.#frozenUntil, now + step.forMs);
				this.#lastThawAt = Math.max(this.#lastThawAt, this.#frozenUntil);
				break;
			}

			case 'pause-calls': {
				this.#callsPausedUntil = now + step.forMs;
				this.#clock.after(step.forMs, () => {
					for (let count = 0; count < burstCalls; count++) {
						this.#startNextCall();
					}
				});
				break;
			}

			case 'restart-entry': {
				const entry = this.#entries[step.entry % entryCount];
				Object.assign(entry, newEntry(this.#random));
				break;
			}
		}
	}

	#stateLimit(perSecond: number | undefined): void {
		const {now} = this.#clock;
		const last = this.#worker.stated.at(-1);
		if (last) {
			last.untilMs = Math.min(last.untilMs, now);
		}

		this.#worker.limit = perSecond === undefined ? {type: 'none'} : {type: 'stated', perSecond};
		this.#worker.stated.push({
			perSecond: perSecond ?? Number.POSITIVE_INFINITY,
			untilMs: Number.POSITIVE_INFINITY,
		});
		if (perSecond !== undefined) {
			this.#worker.firstStatedAt ??= now;
		}
	}

	#replaceWorker(): void {
		this.#starts += 1;
		this.#worker = newProcess(this.#starts);
		this.#leavingGate = undefined;
		for (const entry of this.#entries) {
			entry.limitToldAt = undefined;
			entry.leavingToldAt = undefined;
		}

		const gate = this.#gate;
		this.#atGate(() => {
			this.#performEffects(this.#gate.setWorker(this.#worker.worker, this.#clock.now));
			this.#endpoint = endpointOf(this.#worker);
			if (this.isLimited && gate === this.#gate) {
				this.violations.push('a new worker process begins with the limit of the one before');
			}
		});
	}

	#restartGate(): void {
		const waiting = [...this.#waiters.values()];
		this.#waiters.clear();
		this.#frozenUntil = 0;
		this.#gate = this.#newGate();
		for (const onResult of waiting) {
			onResult({type: 'broken'});
		}
	}

	#newGate(): Gate<string> {
		const {now} = this.#clock;
		const gate = new Gate<string>(defaultGateLimits, {node, incarnation: 1}, now);
		gate.setWorker(this.#worker.worker, now);
		return gate;
	}

	#startNextCall(): void {
		this.#calls += 1;
		const entry = this.#entries[this.#calls % entryCount];
		this.#startCall(entry, `call ${this.#calls}`);
	}

	#startCalls(): void {
		if (this.#clock.now >= this.#callsPausedUntil) {
			this.#startNextCall();
		}

		this.#clock.after(callIntervalMs, () => {
			this.#startCalls();
		});
	}

	#startCall(entry: Entry, name: string): void {
		const sentAt = this.#clock.now;
		const deadlineAt = sentAt + deadlineMs;
		let isEnded = false;
		const call = new EntryCall<string>(
			{
				group: 'group',
				retryAllowance: {share: 0.1, slack: 5},
				isIdempotent: true,
				targetAt: sentAt + targetMs,
				deadlineAt,
				endpoints: [this.#endpoint],
				withdraws: true,
				maximumAttempts: 2,
			},
			entry.chooser,
			this.#budget,
		);
		const perform = (action: EntryAction<string>) => {
			switch (action.type) {
				case 'attempt': {
					const {knownLimit} = action;
					this.#send(
						entry,
						{id: `${name} ${this.#random.fraction()}`, sentAt, knownLimit},
						(result) => {
							if (!isEnded) {
								perform(call.onAttempt(result, this.#clock.now));
							}
						},
					);
					break;
				}

				case 'answer': {
					isEnded = true;
					break;
				}

				case 'withdraw': {
					perform(call.onWithdraw({type: 'gone'}, this.#clock.now));
					break;
				}
			}
		};

		perform(call.begin(sentAt));
		this.#clock.after(deadlineMs + overdueMs, () => {
			if (!isEnded && this.#lastThawAt < sentAt) {
				this.violations.push(`${name} has no answer ${overdueMs} ms after its deadline`);
			}
		});
	}

	#send(
		entry: Entry,
		{id, sentAt, knownLimit}: Pick<GateCall, 'id' | 'knownLimit'> & {readonly sentAt: number},
		onResult: (result: AttemptResult<string>) => void,
	): void {
		const call: GateCall = {
			id,
			service,
			group: 'group',
			rank: this.#random.below(3),
			targetAt: sentAt + targetMs,
			deadlineAt: sentAt + deadlineMs,
			crashedNodes: [],
			knownLimit,
			fingerprint: () => id,
		};
		this.#origins.set(id, {entry, sentAt});
		this.#clock.after(hopMs, () => {
			this.#atGate(() => {
				this.#waiters.set(id, onResult);
				const wasLimited = this.isLimited;
				this.#performEffects(this.#gate.submit(call, this.#clock.now));
				// Any response to a gate is newer than what an entry told it.
				this.#limitedSince = !wasLimited && this.isLimited ? 0 : this.#limitedSince;
			});
		});
	}

	#performEffects(effects: ReadonlyArray<GateEffect<string>>): void {
		for (const effect of effects) {
			if (effect.type === 'dispatch') {
				this.#onArrival(effect.call);
			} else if (effect.type === 'answer') {
				const onResult = this.#waiters.get(effect.key);
				this.#waiters.delete(effect.key);
				const load = this.#gate.loadAt(this.#clock.now);
				const {notice} = this.#gate;
				onResult?.({type: 'answered', answer: {...effect.answer, load, notice, isRetried: false}});
			}
		}
	}

	/** A call arrives at the worker, which answers it after a while whatever it is. */
	#onArrival(call: GateCall): void {
		const process = this.#worker;
		const gate = this.#gate;
		const arrivedAt = this.#clock.now;
		this.#check(call, process);
		this.#clock.after(10 + this.#random.below(40), () => {
			const {limit, isLeaving} = process;
			// Responses may overtake each other on their way.
			this.#clock.after(this.#random.below(10), () => {
				this.#atGate(() => {
					this.#onResponse(call.id, {process, gate, arrivedAt, limit, isLeaving});
				});
			});
		});
	}

	#onResponse(
		id: string,
		{
			process,
			gate,
			arrivedAt,
			limit,
			isLeaving,
		}: {
			readonly process: WorkerProcess;
			readonly gate: Gate<string>;
			readonly arrivedAt: number;
			readonly limit: StatedLimit;
			readonly isLeaving: boolean;
		},
	): void {
		const {now} = this.#clock;
		if (gate !== this.#gate || process !== this.#worker) {
			this.#performEffects(this.#gate.finish(id, {type: 'died'}, now));
			return;
		}

		this.#leavingGate = isLeaving ? gate : this.#leavingGate;
		const wasLimited = this.isLimited;
		this.#performEffects(gate.onNotice({limit, isLeaving}, arrivedAt, now));
		this.#limitedSince = !wasLimited && this.isLimited ? now : this.#limitedSince;
		const liftedAt = process.stated.at(-2)?.untilMs ?? 0;
		const isLifted = limit.type === 'none' && arrivedAt >= Math.max(liftedAt, this.#limitedSince);
		if (isLifted && process.limit.type === 'none' && this.isLimited) {
			this.violations.push('a response without a limit has not ended it');
		}

		const origin = this.#origins.get(id);
		const answered = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;
		this.#performEffects(gate.finish(id, answered, now));
		if (origin) {
			origin.entry.limitToldAt ??= limit.type === 'stated' ? now : undefined;
			origin.entry.leavingToldAt ??= isLeaving ? now : undefined;
		}
	}

	#check({id}: GateCall, process: WorkerProcess): void {
		if (this.#gate === this.#leavingGate) {
			this.violations.push(`${id} is sent by a gate that knows that its worker leaves`);
		}

		this.#checkEntry(id, process);
	}

	#checkEntry(id: string, {arrivals, stated, firstStatedAt}: WorkerProcess): void {
		const {now} = this.#clock;
		const {entry, sentAt} = this.#origins.get(id)!;
		const isCounted = now >= (entry.limitToldAt ?? Number.POSITIVE_INFINITY) + toldMs;
		arrivals.push({at: now, isCounted});
		if (sentAt > (entry.leavingToldAt ?? Number.POSITIVE_INFINITY) + drainMs) {
			this.violations.push(`${id} arrives at a worker that had said that it leaves`);
		}

		if (now < (firstStatedAt ?? Number.POSITIVE_INFINITY) + contactMs) {
			return;
		}

		const recent = stated.filter(({untilMs}) => untilMs > now - windowMs);
		const tolerated =
			1.5 * Math.max(...recent.map(({perSecond}) => perSecond)) * (windowMs / 1000) + 5;
		const counted = arrivals.filter((each) => each.isCounted && each.at > now - windowMs).length;
		if (counted > tolerated) {
			this.violations.push(`${counted} requests in 4 s at ${now} ms, ${tolerated} tolerated`);
		}
	}

	#atGate(run: () => void): void {
		const delayMs = this.#frozenUntil - this.#clock.now;
		if (delayMs > 0) {
			this.#clock.after(delayMs, () => {
				this.#atGate(run);
			});
		} else {
			run();
		}
	}

	#tick(): void {
		this.#atGate(() => {
			this.#performEffects(this.#gate.tick(this.#clock.now));
			this.#clock.after(tickMs, () => {
				this.#tick();
			});
		});
	}
}

function newProcess(startedAt: number): WorkerProcess {
	const worker: Worker = {
		service,
		slots,
		state: 'ready',
		address: 'worker',
		instance: 'i-1',
		startedAt,
	};
	return {
		worker,
		limit: {type: 'none'},
		isLeaving: false,
		firstStatedAt: undefined,
		stated: [],
		arrivals: [],
	};
}

function endpointOf({worker}: WorkerProcess): Endpoint {
	const places = {node, gateAddress: node, dataCentre: 'dc-a', incarnation: 1};
	return {...places, service, slots, worker: workerIdentityOf(worker)};
}

function newEntry(random: Random): Entry {
	const chooser = new EndpointChooser(
		{policy: 'expected-completion', slowStartMs: 0, dataCentre: 'dc-a'},
		random,
	);
	return {chooser, limitToldAt: undefined, leavingToldAt: undefined};
}

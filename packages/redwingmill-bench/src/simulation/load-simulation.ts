import {
	defaultGateLimits,
	EndpointChooser,
	EntryCall,
	Gate,
	RetryBudget,
	emptyNotice,
	type Answer,
	type AttemptResult,
	type ChoicePolicy,
	type Endpoint,
	type EntryAction,
	type GateAnswer,
	type GateCall,
	type GateEffect,
	type KnownLimit,
	type WorkerNotice,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {LimitMeter, type LimitResult} from './limit-meter.js';
import {VirtualClock} from './virtual-clock.js';

/** A class of calls, with the behaviour of its callers. */
export type LoadClass = {
	readonly name: string;
	readonly rank: number;
	/** Mean run time at a worker whose `slowness` is 1. */
	readonly runMs: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Number of times that a caller retries after a refusal. */
	readonly retries: number;
	/** Calls per second in each data centre. */
	readonly perSecond: number;
	/** Total size of the request and the answer. */
	readonly bytes: number;
};

/** A change of the limit that a worker states. */
export type LimitChange = {
	readonly atMs: number;
	/** Calls a second; absent when the worker states no limit from then on. */
	readonly perSecond?: number;
};

/** Nodes that take the limit which a worker states into account. */
export const limitKnowledges = ['none', 'gate', 'mesh'] as const;
export type LimitKnowledge = (typeof limitKnowledges)[number];

/** A worker behind a gate of its own. */
export type LoadWorker = {
	readonly dataCentre: string;
	readonly slots: number;
	/** Factor on the run times of the classes. */
	readonly slowness: number;
	/** Whether it fails every call, in a tenth of the call's run time. */
	readonly isFailing?: boolean;
	/** Limits that it states, in the order of their times; absent when it never states one. */
	readonly limits?: readonly LimitChange[];
	/** When it begins to say that it leaves; absent when it stays. */
	readonly leavesAtMs?: number;
	/** When its gate's node ends and starts again. */
	readonly gateRestartsMs?: readonly number[];
	/** When its gate's node stands still, and for how long. */
	readonly freezes?: ReadonlyArray<{readonly atMs: number; readonly forMs: number}>;
};

/** Workers, load and policy of a simulation. */
export type LoadPlan = {
	readonly workers: readonly LoadWorker[];
	readonly classes: readonly LoadClass[];
	readonly policy: ChoicePolicy;
	/** Whether gates limit concurrency and queue calls. */
	readonly isLimiting: boolean;
	/** Whether the choice of an endpoint takes the size of calls into account. */
	readonly weighsBytes: boolean;
	/** By default `mesh`. */
	readonly limitKnowledge?: LimitKnowledge;
	readonly durationMs: number;
	readonly seed: number;
};

/** Numbers of calls of a class: made, answered within the target, answered late, and not served. */
export type LoadResult = {
	asked: number;
	inTarget: number;
	late: number;
	unserved: number;
};

/** Results by the name of the class, and the bytes sent between data centres. */
export type LoadOutcome = {
	readonly classes: ReadonlyMap<string, LoadResult>;
	readonly remoteBytes: number;
	/** What became of the limits that workers stated. */
	readonly limits: LimitResult;
};

type Host = {
	readonly worker: LoadWorker;
	readonly endpoint: Endpoint;
	gate: Gate<string>;
	readonly waiters: Map<string, AttemptHandler>;
	frozenUntil: number;
	/** Calls that occupy a slot of the worker. */
	running: number;
	/** Calls that the gate has dispatched and that wait at the worker for a slot. */
	readonly queued: Array<{readonly call: GateCall; readonly sentAt: number}>;
};

type AttemptHandler = (result: AttemptResult<string>) => void;

type Entry = {
	readonly dataCentre: string;
	readonly chooser: EndpointChooser;
	readonly budget: RetryBudget;
};

const localHopMs = 0.2;
const remoteHopMs = 1;
const loadReportIntervalMs = 500;
const gateTickMs = 20;
const service = 'service';
const workerStartedAt = 1000;
/** Callers wait at most this share of the time to their deadline before they retry. */
const maximumRetryWaitShare = 1 / 3;
/** Lower bound of the factor on mean run times, which is uniform between 0.5 and 1.5. */
const minimumRunFactor = 0.5;
const failingRunFactor = 0.1;
const failedPayload = 'failed';

/**
 * Simulates callers and workers around the production code of entry nodes and gates: endpoint
 * choice, retries, queueing and refusals. A worker runs each call in a slot for its run time and
 * queues the rest. Networks only add a fixed delay, and nodes don't fail.
 */
export class LoadSimulation {
	readonly #plan: LoadPlan;
	readonly #clock = new VirtualClock();
	readonly #random: Random;
	readonly #hosts: readonly Host[];
	readonly #entries: readonly Entry[];
	readonly #results = new Map<string, LoadResult>();
	readonly #limitMeter: LimitMeter;
	#attempts = 0;
	#remoteBytes = 0;

	constructor(plan: LoadPlan) {
		this.#plan = plan;
		this.#random = new Random(plan.seed);
		this.#limitMeter = new LimitMeter(plan.workers, plan.durationMs);
		this.#hosts = plan.workers.map((worker, index) => this.#newHost(worker, index));
		const dataCentres = new Set(plan.workers.map(({dataCentre}) => dataCentre));
		this.#entries = [...dataCentres].map((dataCentre) => ({
			dataCentre,
			chooser: new EndpointChooser({policy: plan.policy, slowStartMs: 0, dataCentre}, this.#random),
			budget: new RetryBudget(10_000),
		}));
	}

	run(): LoadOutcome {
		for (const entry of this.#entries) {
			for (const callClass of this.#plan.classes) {
				this.#results.set(callClass.name, {asked: 0, inTarget: 0, late: 0, unserved: 0});
				this.#scheduleArrival(entry, callClass);
			}
		}

		for (const host of this.#hosts) {
			this.#scheduleFaults(host);
		}

		this.#tick();
		this.#reportLoads();
		this.#clock.runUntil(this.#plan.durationMs);
		const limits = this.#limitMeter.result();
		return {classes: this.#results, remoteBytes: this.#remoteBytes, limits};
	}

	#newHost(worker: LoadWorker, index: number): Host {
		const node = `node ${index}`;
		const {dataCentre, slots} = worker;
		const endpoint = {
			node,
			gateAddress: node,
			dataCentre,
			incarnation: 1,
			service,
			slots,
			worker: `${node}/${workerStartedAt}`,
		};
		const gate = this.#newGate(endpoint, 0);
		return {worker, endpoint, gate, waiters: new Map(), frozenUntil: 0, running: 0, queued: []};
	}

	#newGate({node, slots}: Endpoint, now: number): Gate<string> {
		const {isLimiting} = this.#plan;
		const gate = new Gate<string>({...defaultGateLimits, isLimiting}, {node, incarnation: 1}, now);
		const identity = {instance: node, startedAt: workerStartedAt};
		gate.setWorker({service, address: node, slots, state: 'ready', ...identity}, now);
		return gate;
	}

	#scheduleFaults(host: Host): void {
		const {gateRestartsMs = [], freezes = []} = host.worker;
		for (const atMs of gateRestartsMs) {
			this.#clock.after(atMs, () => {
				this.#restartGate(host);
			});
		}

		for (const {atMs, forMs} of freezes) {
			this.#clock.after(atMs, () => {
				host.frozenUntil = atMs + forMs;
			});
		}
	}

	/** Ends the gate's process with all that it knows; the worker goes on with its calls. */
	#restartGate(host: Host): void {
		const waiting = [...host.waiters.values()];
		host.waiters.clear();
		host.gate = this.#newGate(host.endpoint, this.#clock.now);
		for (const onResult of waiting) {
			onResult({type: 'broken'});
		}
	}

	/** Runs something in the gate's process, once it isn't frozen any more. */
	#atGate(host: Host, run: () => void): void {
		const delayMs = host.frozenUntil - this.#clock.now;
		if (delayMs > 0) {
			this.#clock.after(delayMs, () => {
				this.#atGate(host, run);
			});
		} else {
			run();
		}
	}

	#scheduleArrival(entry: Entry, callClass: LoadClass): void {
		const meanMs = 1000 / callClass.perSecond;
		this.#clock.after(-Math.log(1 - this.#random.fraction()) * meanMs, () => {
			this.#resultOf(callClass).asked += 1;
			this.#startCall(entry, callClass, this.#clock.now, callClass.retries);
			this.#scheduleArrival(entry, callClass);
		});
	}

	#startCall(entry: Entry, callClass: LoadClass, arrivedAt: number, retriesLeft: number): void {
		const {now} = this.#clock;
		const deadlineAt = arrivedAt + callClass.deadlineMs;
		const call = new EntryCall<string>(
			{
				group: callClass.name,
				bytes: this.#plan.weighsBytes ? callClass.bytes : undefined,
				retryAllowance: {share: 0.1, slack: 5},
				isIdempotent: true,
				targetAt: arrivedAt + callClass.targetMs,
				deadlineAt,
				endpoints: this.#hosts.map(({endpoint}) => endpoint),
				withdraws: true,
				maximumAttempts: 2,
			},
			entry.chooser,
			entry.budget,
		);
		const perform = (action: EntryAction<string>) => {
			switch (action.type) {
				case 'attempt': {
					const {endpoint, knownLimit} = action;
					this.#send(entry, callClass, {arrivedAt, endpoint, knownLimit}, (result) => {
						perform(call.onAttempt(result, this.#clock.now));
					});
					break;
				}

				case 'answer': {
					this.#onAnswer(entry, callClass, action.answer, {
						arrivedAt,
						retriesLeft,
						startedAt: now,
					});
					break;
				}

				case 'withdraw': {
					// Only the end of a gate's process breaks exchanges here.
					perform(call.onWithdraw({type: 'gone'}, this.#clock.now));
					break;
				}
			}
		};

		perform(call.begin(now));
	}

	#send(
		entry: Entry,
		callClass: LoadClass,
		{
			arrivedAt,
			endpoint,
			knownLimit,
		}: {
			readonly arrivedAt: number;
			readonly endpoint: Endpoint;
			readonly knownLimit?: KnownLimit;
		},
		onResult: AttemptHandler,
	): void {
		const host = this.#hosts.find((candidate) => candidate.endpoint === endpoint)!;
		const isRemote = endpoint.dataCentre !== entry.dataCentre;
		const hopMs = isRemote ? remoteHopMs : localHopMs;
		this.#remoteBytes += isRemote ? callClass.bytes : 0;
		this.#attempts += 1;
		const id = `attempt ${this.#attempts}`;
		const call: GateCall = {
			id,
			service,
			group: callClass.name,
			rank: callClass.rank,
			targetAt: arrivedAt + callClass.targetMs,
			deadlineAt: arrivedAt + callClass.deadlineMs,
			crashedNodes: [],
			knownLimit,
			fingerprint: () => id,
		};
		const submit = () => {
			host.waiters.set(id, (result) => {
				this.#clock.after(hopMs, () => {
					onResult(result);
				});
			});
			this.#applyEffects(host, host.gate.submit(call, this.#clock.now));
		};

		this.#clock.after(hopMs, () => {
			this.#atGate(host, submit);
		});
	}

	#applyEffects(host: Host, effects: ReadonlyArray<GateEffect<string>>): void {
		for (const effect of effects) {
			if (effect.type === 'answer') {
				const respond = host.waiters.get(effect.key);
				host.waiters.delete(effect.key);
				respond?.({type: 'answered', answer: this.#gateAnswer(host, effect.answer)});
			} else if (effect.type === 'dispatch') {
				this.#dispatch(host, effect.call);
			}
		}
	}

	/** Adds what the gate reports of its worker, as far as entries take it into account. */
	#gateAnswer({gate}: Host, answer: Answer<string>): GateAnswer<string> {
		const load = gate.loadAt(this.#clock.now);
		return this.#knowledge === 'mesh'
			? {...answer, load, notice: gate.notice, isRetried: false}
			: {...answer, load: {...load, allowance: undefined}, isRetried: false};
	}

	get #knowledge(): LimitKnowledge {
		return this.#plan.limitKnowledge ?? 'mesh';
	}

	#dispatch(host: Host, call: GateCall): void {
		this.#limitMeter.onArrival(host.worker, this.#clock.now);
		this.#run(host, call, this.#clock.now);
	}

	#run(host: Host, call: GateCall, sentAt: number): void {
		if (host.running >= host.worker.slots) {
			host.queued.push({call, sentAt});
			return;
		}

		host.running += 1;
		const callClass = this.#plan.classes.find(({name}) => name === call.group)!;
		const {isFailing = false, slowness} = host.worker;
		const factor =
			(minimumRunFactor + this.#random.fraction()) * (isFailing ? failingRunFactor : 1);
		this.#clock.after(callClass.runMs * factor * slowness, () => {
			host.running -= 1;
			const next = host.queued.shift();
			if (next) {
				this.#run(host, next.call, next.sentAt);
			}

			const payload = isFailing ? failedPayload : '';
			const result = {type: 'answered', payload, bytes: 0, isFailure: isFailing} as const;
			const notice = this.#noticeOf(host.worker);
			this.#atGate(host, () => {
				const {now} = this.#clock;
				this.#applyEffects(host, host.gate.onNotice(notice, sentAt, now));
				this.#applyEffects(host, host.gate.finish(call.id, result, now));
			});
		});
	}

	/** Returns what a worker says of itself now, as far as its gate takes it into account. */
	#noticeOf({limits = [], leavesAtMs = Number.POSITIVE_INFINITY}: LoadWorker): WorkerNotice {
		const {now} = this.#clock;
		if (this.#knowledge === 'none') {
			return emptyNotice;
		}

		const perSecond = limits.findLast(({atMs}) => atMs <= now)?.perSecond;
		return {
			limit: perSecond === undefined ? {type: 'none'} : {type: 'stated', perSecond},
			isLeaving: now >= leavesAtMs,
		};
	}

	#onAnswer(
		entry: Entry,
		callClass: LoadClass,
		{outcome, retryAfterMs, payload}: Answer<string>,
		{
			arrivedAt,
			retriesLeft,
			startedAt,
		}: {readonly arrivedAt: number; readonly retriesLeft: number; readonly startedAt: number},
	): void {
		const {now} = this.#clock;
		if (outcome.type === 'not-run') {
			this.#limitMeter.onRefusal(now - startedAt);
		}

		const elapsedMs = now - arrivedAt;
		const result = this.#resultOf(callClass);
		if (payload === failedPayload) {
			result.unserved += 1;
			return;
		}

		if (outcome.type === 'ran' && elapsedMs <= callClass.deadlineMs) {
			result.inTarget += elapsedMs <= callClass.targetMs ? 1 : 0;
			result.late += elapsedMs <= callClass.targetMs ? 0 : 1;
			return;
		}

		const remainingMs = arrivedAt + callClass.deadlineMs - now;
		if (outcome.type !== 'not-run' || retriesLeft === 0 || remainingMs <= 0) {
			result.unserved += 1;
			return;
		}

		const retryWaitMs = (retryAfterMs ?? 0) * (1 + this.#random.fraction());
		this.#clock.after(Math.min(retryWaitMs, remainingMs * maximumRetryWaitShare), () => {
			this.#startCall(entry, callClass, arrivedAt, retriesLeft - 1);
		});
	}

	#tick(): void {
		for (const host of this.#hosts) {
			this.#atGate(host, () => {
				this.#applyEffects(host, host.gate.tick(this.#clock.now));
			});
		}

		this.#clock.after(gateTickMs, () => {
			this.#tick();
		});
	}

	#reportLoads(): void {
		for (const {chooser} of this.#entries) {
			for (const {endpoint, gate} of this.#hosts) {
				const load = gate.loadAt(this.#clock.now);
				const allowance = this.#knowledge === 'mesh' ? load.allowance : undefined;
				chooser.onLoad(endpoint, {...load, allowance}, this.#clock.now);
			}
		}

		this.#clock.after(loadReportIntervalMs, () => {
			this.#reportLoads();
		});
	}

	#resultOf({name}: LoadClass): LoadResult {
		return this.#results.get(name)!;
	}
}

import {
	defaultGateLimits,
	EndpointChooser,
	EntryCall,
	Gate,
	RetryBudget,
	type Answer,
	type ChoicePolicy,
	type Endpoint,
	type EntryAction,
	type GateCall,
	type GateEffect,
	type WorkerLoad,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {VirtualClock} from './virtual-clock.js';

/** Calls of one kind. */
export type LoadClass = {
	readonly name: string;
	readonly rank: number;
	/** Mean run time at a worker of usual speed. */
	readonly runMs: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
	/** Times that a caller comes back after a refusal. */
	readonly retries: number;
	/** Calls a second in each data centre. */
	readonly perSecond: number;
	/** Bytes of request and answer together. */
	readonly bytes: number;
};

/** A worker with its gate. */
export type LoadWorker = {
	readonly dataCentre: string;
	readonly slots: number;
	/** Run time relative to the usual. */
	readonly slowness: number;
	/** Whether it fails everything that it runs, in a tenth of the time. */
	readonly isFailing?: boolean;
};

/** What is played. */
export type LoadPlan = {
	readonly workers: readonly LoadWorker[];
	readonly classes: readonly LoadClass[];
	readonly policy: ChoicePolicy;
	/** Whether gates limit and queue. */
	readonly isLimiting: boolean;
	/** Whether the choice of an endpoint is told the bytes of calls. */
	readonly weighsBytes: boolean;
	readonly durationMs: number;
	readonly seed: number;
};

/** What the callers of one class got. */
export type LoadResult = {
	asked: number;
	inTarget: number;
	late: number;
	unserved: number;
};

/** Results by class, and the bytes that went between data centres. */
export type LoadOutcome = {
	readonly classes: ReadonlyMap<string, LoadResult>;
	readonly remoteBytes: number;
};

type Host = {
	readonly worker: LoadWorker;
	readonly endpoint: Endpoint;
	readonly gate: Gate<string>;
	readonly waiters: Map<string, (answer: Answer<string>) => void>;
	/** Calls that the worker has, and those of them that wait for one of its slots. */
	running: number;
	readonly queued: GateCall[];
};

type Entry = {
	readonly dataCentre: string;
	readonly chooser: EndpointChooser;
	readonly budget: RetryBudget;
};

const localHopMs = 0.2;
const remoteHopMs = 1;
const pulseMs = 500;
const gateTickMs = 20;
const service = 'service';
/** Of the time left, callers wait at most this share before they come back. */
const longestReturnShare = 1 / 3;
/** Spread of run times: uniform from half to one and a half of the mean. */
const leastRunFactor = 0.5;
const failingFactor = 0.1;
const failedPayload = 'failed';

/**
 * Plays callers against the real decisions of entry nodes and gates: queueing, refusing, placing and
 * coming back. Workers run a call in a slot for its time and queue the rest; nothing else is simulated.
 */
export class LoadPlay {
	readonly #plan: LoadPlan;
	readonly #clock = new VirtualClock();
	readonly #random: Random;
	readonly #hosts: readonly Host[];
	readonly #entries: readonly Entry[];
	readonly #results = new Map<string, LoadResult>();
	#attempts = 0;
	#remoteBytes = 0;

	constructor(plan: LoadPlan) {
		this.#plan = plan;
		this.#random = new Random(plan.seed);
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
			for (const each of this.#plan.classes) {
				this.#results.set(each.name, {asked: 0, inTarget: 0, late: 0, unserved: 0});
				this.#arriveLater(entry, each);
			}
		}

		this.#tick();
		this.#pulse();
		this.#clock.runUntil(this.#plan.durationMs);
		return {classes: this.#results, remoteBytes: this.#remoteBytes};
	}

	#newHost(worker: LoadWorker, index: number): Host {
		const node = `node ${index}`;
		const {dataCentre, slots} = worker;
		const {isLimiting} = this.#plan;
		const gate = new Gate<string>({...defaultGateLimits, isLimiting}, node, 0);
		gate.setWorker({service, address: node, slots, state: 'ready'}, 0);
		const endpoint = {node, gateAddress: node, dataCentre, incarnation: 1, service, slots};
		return {worker, endpoint, gate, waiters: new Map(), running: 0, queued: []};
	}

	#arriveLater(entry: Entry, each: LoadClass): void {
		const meanMs = 1000 / each.perSecond;
		this.#clock.after(-Math.log(1 - this.#random.fraction()) * meanMs, () => {
			this.#resultOf(each).asked += 1;
			this.#try(entry, each, this.#clock.now, each.retries);
			this.#arriveLater(entry, each);
		});
	}

	#try(entry: Entry, each: LoadClass, firstAt: number, retriesLeft: number): void {
		const {now} = this.#clock;
		const deadlineAt = firstAt + each.deadlineMs;
		const call = new EntryCall<string>(
			{
				group: each.name,
				bytes: this.#plan.weighsBytes ? each.bytes : undefined,
				retryAllowance: {share: 0.1, slack: 5},
				isIdempotent: true,
				targetAt: firstAt + each.targetMs,
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
					const {endpoint} = action;
					this.#send(entry, each, {firstAt, endpoint}, (answer, load) => {
						const result = {type: 'answered', answer: {...answer, load, isRetried: false}} as const;
						perform(call.onAttempt(result, this.#clock.now));
					});
					break;
				}

				case 'answer': {
					this.#onAnswer(entry, each, action.answer, {firstAt, retriesLeft});
					break;
				}

				case 'withdraw': {
					break;
				}
			}
		};

		perform(call.begin(now));
	}

	#send(
		entry: Entry,
		each: LoadClass,
		{firstAt, endpoint}: {readonly firstAt: number; readonly endpoint: Endpoint},
		onAnswer: (answer: Answer<string>, load: WorkerLoad) => void,
	): void {
		const host = this.#hosts.find((one) => one.endpoint === endpoint)!;
		const isRemote = endpoint.dataCentre !== entry.dataCentre;
		const hopMs = isRemote ? remoteHopMs : localHopMs;
		this.#remoteBytes += isRemote ? each.bytes : 0;
		this.#attempts += 1;
		const id = `attempt ${this.#attempts}`;
		const call: GateCall = {
			id,
			service,
			group: each.name,
			rank: each.rank,
			targetAt: firstAt + each.targetMs,
			deadlineAt: firstAt + each.deadlineMs,
			crashedNodes: [],
			fingerprint: () => id,
		};
		this.#clock.after(hopMs, () => {
			host.waiters.set(id, (answer) => {
				const load = host.gate.loadAt(this.#clock.now);
				this.#clock.after(hopMs, () => {
					onAnswer(answer, load);
				});
			});
			this.#perform(host, host.gate.submit(call, this.#clock.now));
		});
	}

	#perform(host: Host, effects: ReadonlyArray<GateEffect<string>>): void {
		for (const effect of effects) {
			if (effect.type === 'answer') {
				const respond = host.waiters.get(effect.key);
				host.waiters.delete(effect.key);
				respond?.(effect.answer);
			} else if (effect.type === 'dispatch') {
				this.#dispatch(host, effect.call);
			}
		}
	}

	#dispatch(host: Host, call: GateCall): void {
		if (host.running >= host.worker.slots) {
			host.queued.push(call);
			return;
		}

		host.running += 1;
		const each = this.#plan.classes.find(({name}) => name === call.group)!;
		const {isFailing = false, slowness} = host.worker;
		const factor = (leastRunFactor + this.#random.fraction()) * (isFailing ? failingFactor : 1);
		this.#clock.after(each.runMs * factor * slowness, () => {
			host.running -= 1;
			const next = host.queued.shift();
			if (next) {
				this.#dispatch(host, next);
			}

			const payload = isFailing ? failedPayload : '';
			const result = {type: 'answered', payload, bytes: 0, isFailure: isFailing} as const;
			this.#perform(host, host.gate.finish(call.id, result, this.#clock.now));
		});
	}

	#onAnswer(
		entry: Entry,
		each: LoadClass,
		{outcome, retryAfterMs, payload}: Answer<string>,
		{firstAt, retriesLeft}: {readonly firstAt: number; readonly retriesLeft: number},
	): void {
		const {now} = this.#clock;
		const tookMs = now - firstAt;
		const result = this.#resultOf(each);
		if (payload === failedPayload) {
			result.unserved += 1;
			return;
		}

		if (outcome.type === 'ran' && tookMs <= each.deadlineMs) {
			result.inTarget += tookMs <= each.targetMs ? 1 : 0;
			result.late += tookMs <= each.targetMs ? 0 : 1;
			return;
		}

		const leftMs = firstAt + each.deadlineMs - now;
		if (outcome.type !== 'not-run' || retriesLeft === 0 || leftMs <= 0) {
			result.unserved += 1;
			return;
		}

		const spreadMs = (retryAfterMs ?? 0) * (1 + this.#random.fraction());
		this.#clock.after(Math.min(spreadMs, leftMs * longestReturnShare), () => {
			this.#try(entry, each, firstAt, retriesLeft - 1);
		});
	}

	#tick(): void {
		for (const host of this.#hosts) {
			this.#perform(host, host.gate.tick(this.#clock.now));
		}

		this.#clock.after(gateTickMs, () => {
			this.#tick();
		});
	}

	#pulse(): void {
		for (const {chooser} of this.#entries) {
			for (const {endpoint, gate} of this.#hosts) {
				chooser.onLoad(endpoint, gate.loadAt(this.#clock.now), this.#clock.now);
			}
		}

		this.#clock.after(pulseMs, () => {
			this.#pulse();
		});
	}

	#resultOf({name}: LoadClass): LoadResult {
		return this.#results.get(name)!;
	}
}

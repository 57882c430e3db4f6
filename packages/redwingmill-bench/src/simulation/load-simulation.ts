import {
	defaultGateLimits,
	EndpointChooser,
	EntryCall,
	Gate,
	RetryBudget,
	emptyNotice,
	type Answer,
	type AttemptResult,
	type CallWorkspace,
	type ChoicePolicy,
	type Endpoint,
	type EntryAction,
	type GateAnswer,
	type GateCall,
	type GateEffect,
	type KnownLimit,
	type StatedLoad,
	type WorkerNotice,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {LimitMeter, type LimitResult} from './limit-meter.js';
import {SimulatedLink} from './simulated-link.js';
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
	/** Group of calls with similar run times; by default the name. */
	readonly group?: string;
	/** Workspace of the callers; absent when they have none. */
	readonly workspace?: CallWorkspace;
	/** Whether answers are scheduled by the host's link. */
	readonly isBulk?: boolean;
	/** Size of the answer on the worker's link, if that has a limit; by default 1,000. */
	readonly responseBytes?: number;
	/** Times at which the rate differs. */
	readonly changes?: readonly Phase[];
};

/** Time in which something differs by a factor. */
export type Phase = {
	readonly fromMs: number;
	readonly toMs: number;
	readonly factor: number;
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
	/** Bandwidth of its host's link; absent when it isn't limited. */
	readonly linkMbps?: number;
	/** Times at which its calls take longer. */
	readonly slowPhases?: readonly Phase[];
	/** Whether it reports its load and how long work takes at the moment. */
	readonly reportsLoad?: boolean;
	/** When it is absent, and for how long. */
	readonly absences?: ReadonlyArray<{readonly atMs: number; readonly forMs: number}>;
	/** Whether it fails every call, in a tenth of the call's run time. */
	readonly isFailing?: boolean;
	/** Share of the calls that it turns away although it has room for them. */
	readonly shedShare?: number;
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
	/**
	 * Whether gates know workspaces, schedule bulk answers by the link and use the load that workers report;
	 * by default they do.
	 */
	readonly knowsScarcity?: boolean;
	/** A data centre that is lost; its callers turn to the others. */
	readonly loss?: {readonly dataCentre: string; readonly atMs: number};
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
	readonly link?: SimulatedLink;
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
const smallResponseBytes = 1000;

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
		const {linkMbps} = worker;
		const link =
			linkMbps === undefined
				? undefined
				: new SimulatedLink(this.#clock, linkMbps, this.#knowsScarcity);
		const gate = this.#newGate(endpoint, 0, link);
		return {
			worker,
			endpoint,
			gate,
			link,
			waiters: new Map(),
			frozenUntil: 0,
			running: 0,
			queued: [],
		};
	}

	get #knowsScarcity(): boolean {
		return this.#plan.knowsScarcity ?? true;
	}

	#newGate({node, slots}: Endpoint, now: number, link?: SimulatedLink): Gate<string> {
		const {isLimiting} = this.#plan;
		const limits = {...defaultGateLimits, isLimiting};
		const knownLink = this.#knowsScarcity ? link?.scheduler : undefined;
		const gate = new Gate<string>(limits, {node, incarnation: 1}, now, knownLink);
		const identity = {instance: node, startedAt: workerStartedAt};
		gate.setWorker({service, address: node, slots, state: 'ready', ...identity}, now);
		return gate;
	}

	#scheduleFaults(host: Host): void {
		const {gateRestartsMs = [], freezes = [], absences = []} = host.worker;
		for (const {atMs, forMs} of absences) {
			this.#scheduleState(host, 'absent', atMs);
			this.#scheduleState(host, 'ready', atMs + forMs);
		}

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

	#scheduleState(host: Host, state: 'absent' | 'ready', atMs: number): void {
		const {node, slots} = host.endpoint;
		const identity = {instance: node, startedAt: workerStartedAt};
		this.#clock.after(atMs, () => {
			const worker = {service, address: node, slots, state, ...identity};
			this.#applyEffects(host, host.gate.setWorker(worker, this.#clock.now));
		});
	}

	/** Ends the gate's process with all that it knows; the worker goes on with its calls. */
	#restartGate(host: Host): void {
		const waiting = [...host.waiters.values()];
		host.waiters.clear();
		host.gate = this.#newGate(host.endpoint, this.#clock.now, host.link);
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
		const {perSecond, changes} = callClass;
		const meanMs = 1000 / (perSecond * factorAt(changes, this.#clock.now));
		this.#clock.after(-Math.log(1 - this.#random.fraction()) * meanMs, () => {
			this.#resultOf(callClass).asked += 1;
			const arrivedAt = this.#clock.now;
			this.#startCall(this.#presentEntry(entry), callClass, arrivedAt, callClass.retries);
			this.#scheduleArrival(entry, callClass);
		});
	}

	/** Returns the entry that callers of an entry's data centre use now. */
	#presentEntry(entry: Entry): Entry {
		const others = this.#entries.filter(({dataCentre}) => !this.#isLost(dataCentre));
		return this.#isLost(entry.dataCentre)
			? others[Math.floor(this.#random.fraction() * others.length)]
			: entry;
	}

	#isLost(dataCentre: string): boolean {
		const {loss} = this.#plan;
		return loss?.dataCentre === dataCentre && this.#clock.now >= loss.atMs;
	}

	#startCall(entry: Entry, callClass: LoadClass, arrivedAt: number, retriesLeft: number): void {
		const {now} = this.#clock;
		const deadlineAt = arrivedAt + callClass.deadlineMs;
		const call = new EntryCall<string>(
			{
				group: callClass.group ?? callClass.name,
				bytes: this.#plan.weighsBytes ? callClass.bytes : undefined,
				retryAllowance: {share: 0.1, slack: 5},
				isIdempotent: true,
				targetAt: arrivedAt + callClass.targetMs,
				deadlineAt,
				endpoints: this.#hosts
					.map(({endpoint}) => endpoint)
					.filter(({dataCentre}) => !this.#isLost(dataCentre)),
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
			group: callClass.group ?? callClass.name,
			rank: callClass.rank,
			...(this.#knowsScarcity && {workspace: callClass.workspace, isBulk: callClass.isBulk}),
			targetAt: arrivedAt + callClass.targetMs,
			deadlineAt: arrivedAt + callClass.deadlineMs,
			crashedNodes: [],
			knownLimit,
			fingerprint: () => id,
		};
		const submit = () => {
			host.waiters.set(id, (result) => {
				this.#sendAnswer(host, callClass, call, result, () => {
					this.#clock.after(hopMs, () => {
						onResult(result);
					});
				});
			});
			this.#applyEffects(host, host.gate.submit(call, this.#clock.now));
		};

		this.#clock.after(hopMs, () => {
			this.#atGate(host, submit);
		});
	}

	/** Sends an answer on the link of the worker's host. */
	#sendAnswer(
		{link}: Host,
		{responseBytes = smallResponseBytes}: LoadClass,
		{targetAt, deadlineAt}: GateCall,
		result: AttemptResult<string>,
		onSent: () => void,
	): void {
		const hasRun = result.type === 'answered' && result.answer.outcome.type === 'ran';
		if (link) {
			const times = {dueAt: targetAt ?? deadlineAt, deadlineAt};
			link.send(hasRun ? responseBytes : smallResponseBytes, times, onSent);
		} else {
			onSent();
		}
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
		const {now} = this.#clock;
		this.#limitMeter.onArrival(host.worker, now);
		const {shedShare = 0} = host.worker;
		if (shedShare > 0 && this.#random.fraction() < shedShare) {
			this.#clock.after(localHopMs, () => {
				this.#atGate(host, () => {
					const effects = host.gate.finish(call.id, {type: 'shed'}, this.#clock.now);
					this.#applyEffects(host, effects);
				});
			});
			return;
		}

		this.#run(host, call, now);
	}

	#run(host: Host, call: GateCall, sentAt: number): void {
		if (host.running >= host.worker.slots) {
			host.queued.push({call, sentAt});
			return;
		}

		host.running += 1;
		const callClass = this.#plan.classes.find(({name, group = name}) => group === call.group)!;
		const {isFailing = false, slowPhases} = host.worker;
		const slowness = host.worker.slowness * factorAt(slowPhases, this.#clock.now);
		const factor =
			(minimumRunFactor + this.#random.fraction()) * (isFailing ? failingRunFactor : 1);
		this.#clock.after(callClass.runMs * factor * slowness, () => {
			host.running -= 1;
			const next = host.queued.shift();
			if (next) {
				this.#run(host, next.call, next.sentAt);
			}

			const payload = isFailing ? failedPayload : '';
			const bytes = callClass.responseBytes ?? smallResponseBytes;
			const result = {type: 'answered', payload, bytes, isFailure: isFailing} as const;
			const notice = {...this.#noticeOf(host.worker), load: this.#loadOf(host)};
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

	/** Returns the load that a worker reports with a response. */
	#loadOf({worker, running, queued}: Host): StatedLoad {
		if (!worker.reportsLoad || !this.#knowsScarcity) {
			return {type: 'none'};
		}

		const hostTime = factorAt(worker.slowPhases, this.#clock.now);
		const report = {running, waiting: queued.length, slots: worker.slots, hostTime};
		return {type: 'stated', report};
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
			this.#startCall(this.#presentEntry(entry), callClass, arrivedAt, retriesLeft - 1);
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

/** Returns the factor of the phase at a time; 1 outside of all phases. */
function factorAt(phases: readonly Phase[] | undefined, now: number): number {
	return phases?.find(({fromMs, toMs}) => now >= fromMs && now < toMs)?.factor ?? 1;
}

import {
	AdaptiveThrottle,
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
import {LoadMeter, type WindowResult} from './load-meter.js';
import {SimulatedLink} from './simulated-link.js';
import {SimulatedProcessor} from './simulated-processor.js';
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
	/** Service that runs it; by default the only one. */
	readonly service?: string;
	/** What answers are worth, in time and late; by default 1 and a half. */
	readonly worth?: Worth;
	/** Call that part of its runs make, and wait for with their slot; if it fails, so do they. */
	readonly innerCall?: {readonly callClass: LoadClass; readonly share: number};
};

/** What the answers of a class are worth to their callers. */
export type Worth = {readonly inTarget: number; readonly late: number};

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
	/** Service that it belongs to; by default the only one. */
	readonly service?: string;
	/** Part of a core that its node may use, where the plan has the work of nodes; by default a whole one. */
	readonly processorShare?: number;
};

/** Processor time that nodes spend, in milliseconds of a whole core. */
export type NodeWork = {
	/** On a caller's request, and on the answer to it. */
	readonly entryMs: number;
	/** On a choice of an endpoint with the request that is sent there, and on the answer to it. */
	readonly attemptMs: number;
	/** On an attempt of another node, and on the answer to it if it is refused. */
	readonly gateMs: number;
	/** On a request to the worker, and on its answer. */
	readonly workerMs: number;
	/** On each million bytes of an answer, at every node that it passes. */
	readonly millionBytesMs: number;
	/** On all else that goes on, in pieces. */
	readonly rest: {readonly everyMs: number; readonly workMs: number};
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
	/**
	 * Work of the nodes. With it, every worker's node is an entry too and runs its work on its share of a
	 * processor; without, each data centre has one entry, and nodes take no time.
	 */
	readonly nodeWork?: NodeWork;
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
	/** Worth earned by the name of the class, as a share of that of all its calls in time. */
	readonly worthByClass: ReadonlyMap<string, number>;
	/** Results of all classes by the time of their calls' arrival. */
	readonly windows: readonly WindowResult[];
	/** Attempts at gates per request of a caller. */
	readonly attemptsPerRequest: number;
	/** Mean share of the time in which nodes were busy; 0 without their work. */
	readonly nodeBusyShare: number;
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
	/** Absent where the plan has no work of nodes. */
	readonly processor?: SimulatedProcessor;
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
	readonly throttle: AdaptiveThrottle;
	/** Host whose node it is; absent where a data centre has one entry for all. */
	readonly host?: Host;
};

/** A request of a caller, or of a worker for one of its runs. */
type Request = {
	readonly callClass: LoadClass;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly retriesLeft: number;
	/** When its entry saw it first; absent before that. */
	readonly firstTryAt?: number;
	/** Called at the end of a worker's request; absent for those of callers. */
	readonly onEnd?: (isServed: boolean) => void;
};

const localHopMs = 0.2;
const remoteHopMs = 1;
const loadReportIntervalMs = 500;
const gateTickMs = 20;
const onlyService = 'service';
const workerStartedAt = 1000;
/** Callers wait at most this share of the time to their deadline before they retry. */
const maximumRetryWaitShare = 1 / 3;
/** Lower bound of the factor on mean run times, which is uniform between 0.5 and 1.5. */
const minimumRunFactor = 0.5;
const failingRunFactor = 0.1;
const failedPayload = 'failed';
const smallResponseBytes = 1000;
const seedsPerPlan = 1000;
const bytesPerMillion = 1e6;

/**
 * Simulates callers and workers around the production code of entry nodes and gates: endpoint
 * choice, retries, queueing and refusals. A worker runs each call in a slot for its run time and
 * queues the rest. Networks only add a fixed delay, and nodes don't fail. Where the plan has the work of
 * nodes, calls wait for their processors too.
 */
export class LoadSimulation {
	readonly #plan: LoadPlan;
	readonly #clock = new VirtualClock();
	readonly #random: Random;
	readonly #hosts: readonly Host[];
	readonly #entries: readonly Entry[];
	readonly #endpoints = new Map<string, readonly Endpoint[]>();
	readonly #hostsByNode: ReadonlyMap<string, Host>;
	readonly #meter = new LoadMeter();
	readonly #limitMeter: LimitMeter;
	#requests = 0;
	#attempts = 0;
	#remoteBytes = 0;

	constructor(plan: LoadPlan) {
		this.#plan = plan;
		this.#random = new Random(plan.seed);
		this.#limitMeter = new LimitMeter(plan.workers, plan.durationMs);
		this.#hosts = plan.workers.map((worker, index) => this.#newHost(worker, index));
		this.#hostsByNode = new Map(this.#hosts.map((host) => [host.endpoint.node, host]));
		const dataCentres = new Set(plan.workers.map(({dataCentre}) => dataCentre));
		this.#entries = plan.nodeWork
			? this.#hosts.map((host, index) => this.#newEntry(host.worker.dataCentre, host, index))
			: [...dataCentres].map((dataCentre) => this.#newEntry(dataCentre));
	}

	run(): LoadOutcome {
		for (const callClass of this.#plan.classes) {
			this.#meter.add(callClass);
		}

		const dataCentres = new Set(this.#entries.map(({dataCentre}) => dataCentre));
		for (const dataCentre of dataCentres) {
			const entries = this.#entries.filter((entry) => entry.dataCentre === dataCentre);
			for (const callClass of this.#plan.classes) {
				this.#scheduleArrival(entries, callClass);
			}
		}

		for (const host of this.#hosts) {
			this.#scheduleFaults(host);
			this.#scheduleRest(host);
		}

		this.#tick();
		this.#reportLoads();
		this.#clock.runUntil(this.#plan.durationMs);
		return {
			classes: this.#meter.classes,
			worthByClass: this.#meter.worthByClass,
			windows: this.#meter.windows,
			attemptsPerRequest: this.#attempts / Math.max(1, this.#requests),
			nodeBusyShare: this.#nodeBusyShare,
			remoteBytes: this.#remoteBytes,
			limits: this.#limitMeter.result(),
		};
	}

	get #nodeBusyShare(): number {
		const busyMs = this.#hosts.reduce((sum, {processor}) => sum + (processor?.busyMs ?? 0), 0);
		return busyMs / (this.#hosts.length * this.#plan.durationMs);
	}

	#newEntry(dataCentre: string, host?: Host, index = 0): Entry {
		const {policy, seed} = this.#plan;
		const ownNode = host && {
			node: host.endpoint.node,
			load: () => host.gate.loadAt(this.#clock.now),
		};
		// Entries of the same data centre must not draw the same numbers.
		const random = host ? new Random(seed * seedsPerPlan + index) : this.#random;
		return {
			dataCentre,
			chooser: new EndpointChooser({policy, slowStartMs: 0, dataCentre, ownNode}, random),
			budget: new RetryBudget(10_000),
			throttle: new AdaptiveThrottle(random),
			host,
		};
	}

	#scheduleRest(host: Host): void {
		const {nodeWork} = this.#plan;
		const {processor} = host;
		if (nodeWork === undefined || processor === undefined) {
			return;
		}

		const {everyMs, workMs} = nodeWork.rest;
		this.#clock.after(everyMs, () => {
			processor.run(workMs, () => undefined);
			this.#scheduleRest(host);
		});
	}

	/** Runs something at a node, after its work on a request or, with its bytes, on an answer. */
	#work(
		host: Host | undefined,
		kind: Exclude<keyof NodeWork, 'rest' | 'millionBytesMs'>,
		run: () => void,
		bytes = 0,
	): void {
		const {nodeWork} = this.#plan;
		if (nodeWork === undefined || host?.processor === undefined) {
			run();
			return;
		}

		const bytesMs = (bytes / bytesPerMillion) * nodeWork.millionBytesMs;
		// Half of the work is for the request, half for the answer.
		host.processor.run(nodeWork[kind] / 2 + bytesMs, run);
	}

	#newHost(worker: LoadWorker, index: number): Host {
		const node = `node ${index}`;
		const {dataCentre, slots, service = onlyService, processorShare = 1} = worker;
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
		this.#endpoints.set(service, [...(this.#endpoints.get(service) ?? []), endpoint]);
		return {
			worker,
			endpoint,
			gate,
			link,
			processor: this.#plan.nodeWork && new SimulatedProcessor(this.#clock, processorShare),
			waiters: new Map(),
			frozenUntil: 0,
			running: 0,
			queued: [],
		};
	}

	get #knowsScarcity(): boolean {
		return this.#plan.knowsScarcity ?? true;
	}

	#newGate({node, slots, service}: Endpoint, now: number, link?: SimulatedLink): Gate<string> {
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
		const {node, slots, service} = host.endpoint;
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

	#scheduleArrival(entries: readonly Entry[], callClass: LoadClass): void {
		const {perSecond, changes, deadlineMs, retries} = callClass;
		const meanMs = 1000 / (perSecond * factorAt(changes, this.#clock.now));
		this.#clock.after(-Math.log(1 - this.#random.fraction()) * meanMs, () => {
			this.#meter.onAsked(callClass);
			const {now} = this.#clock;
			const entry = entries[this.#random.below(entries.length)];
			this.#begin(this.#presentEntry(entry), {
				callClass,
				arrivedAt: now,
				deadlineAt: now + deadlineMs,
				retriesLeft: retries,
			});
			this.#scheduleArrival(entries, callClass);
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

	/** Has the entry handle a request, which it knows of only once it has read it. */
	#begin(entry: Entry, request: Request): void {
		this.#requests += 1;
		const leftMs = request.deadlineAt - this.#clock.now;
		this.#work(entry.host, 'entryMs', () => {
			const {now} = this.#clock;
			const {firstTryAt = now} = request;
			this.#startCall(entry, {...request, firstTryAt}, {startedAt: now, deadlineAt: now + leftMs});
		});
	}

	#startCall(
		entry: Entry,
		request: Request & {readonly firstTryAt: number},
		{startedAt, deadlineAt}: {readonly startedAt: number; readonly deadlineAt: number},
	): void {
		const {callClass, firstTryAt} = request;
		const targetAt = firstTryAt + callClass.targetMs;
		const endpoints = this.#endpoints.get(callClass.service ?? onlyService) ?? [];
		const call = new EntryCall<string>(
			{
				group: callClass.group ?? callClass.name,
				...(this.#knowsScarcity && {workspace: callClass.workspace}),
				bytes: this.#plan.weighsBytes ? callClass.bytes : undefined,
				retryAllowance: {share: 0.1, slack: 5},
				isBulk: callClass.isBulk,
				isIdempotent: true,
				targetAt,
				targetMs: callClass.targetMs,
				deadlineAt,
				endpoints: endpoints.filter(({dataCentre}) => !this.#isLost(dataCentre)),
				withdraws: true,
				maximumAttempts: 2,
			},
			entry.chooser,
			entry.budget,
			request.onEnd ? undefined : entry.throttle,
		);
		const perform = (action: EntryAction<string>) => {
			switch (action.type) {
				case 'attempt': {
					const {endpoint, knownLimit, transitMs} = action;
					const sent = {
						targetAt: targetAt - transitMs,
						deadlineAt: deadlineAt - transitMs,
						endpoint,
						knownLimit,
					};
					this.#send(entry, callClass, sent, (result) => {
						perform(call.onAttempt(result, this.#clock.now));
					});
					break;
				}

				case 'answer': {
					const {answer} = action;
					const {responseBytes = smallResponseBytes} = callClass;
					const respond = () => {
						this.#onAnswer(entry, request, answer, startedAt);
					};

					const bytes = answer.outcome.type === 'ran' ? responseBytes : 0;
					this.#work(entry.host, 'entryMs', respond, bytes);
					break;
				}

				case 'withdraw': {
					// Only the end of a gate's process breaks exchanges here.
					perform(call.onWithdraw({type: 'gone'}, this.#clock.now));
					break;
				}
			}
		};

		perform(call.begin(startedAt));
	}

	#send(
		entry: Entry,
		callClass: LoadClass,
		{
			targetAt,
			deadlineAt,
			endpoint,
			knownLimit,
		}: {
			readonly targetAt: number;
			readonly deadlineAt: number;
			readonly endpoint: Endpoint;
			readonly knownLimit?: KnownLimit;
		},
		onResult: AttemptHandler,
	): void {
		const host = this.#hostsByNode.get(endpoint.node)!;
		const isRemote = endpoint.dataCentre !== entry.dataCentre;
		const hopMs = isRemote ? remoteHopMs : localHopMs;
		this.#remoteBytes += isRemote ? callClass.bytes : 0;
		this.#attempts += 1;
		const id = `attempt ${this.#attempts}`;
		const targetMs = targetAt - this.#clock.now;
		const leftMs = deadlineAt - this.#clock.now;
		const submit = (onEnd: AttemptHandler) => {
			const {now} = this.#clock;
			const call: GateCall = {
				id,
				service: endpoint.service,
				group: callClass.group ?? callClass.name,
				rank: callClass.rank,
				...(this.#knowsScarcity && {workspace: callClass.workspace, isBulk: callClass.isBulk}),
				targetAt: now + targetMs,
				deadlineAt: now + leftMs,
				crashedNodes: [],
				knownLimit,
				fingerprint: () => id,
			};
			host.waiters.set(id, (result) => {
				this.#sendAnswer(host, callClass, call, result, () => {
					onEnd(result);
				});
			});
			this.#applyEffects(host, host.gate.submit(call, now));
		};

		if (host === entry.host) {
			submit(onResult);
			return;
		}

		this.#transfer({from: entry.host, to: host, hopMs, isAnswer: false}, () => {
			this.#atGate(host, () => {
				const arrivedAt = this.#clock.now;
				submit((result) => {
					const heldMs = this.#clock.now - arrivedAt;
					this.#transfer({from: host, to: entry.host, hopMs, isAnswer: true}, () => {
						onResult(withHeldMs(result, heldMs));
					});
				});
			});
		});
	}

	/** Takes an attempt to a gate, or its answer back, by way of the nodes' processors. */
	#transfer(
		{
			from,
			to,
			hopMs,
			isAnswer,
		}: {
			readonly from: Host | undefined;
			readonly to: Host | undefined;
			readonly hopMs: number;
			readonly isAnswer: boolean;
		},
		onArrived: () => void,
	): void {
		this.#work(from, isAnswer ? 'gateMs' : 'attemptMs', () => {
			this.#clock.after(hopMs, () => {
				this.#work(to, isAnswer ? 'attemptMs' : 'gateMs', onArrived);
			});
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

		this.#work(host, 'workerMs', () => {
			this.#run(host, call, now);
		});
	}

	#run(host: Host, call: GateCall, sentAt: number): void {
		if (host.running >= host.worker.slots) {
			host.queued.push({call, sentAt});
			return;
		}

		host.running += 1;
		const callClass = this.#classOf(call);
		const {isFailing = false, slowPhases} = host.worker;
		const slowness = host.worker.slowness * factorAt(slowPhases, this.#clock.now);
		const factor =
			(minimumRunFactor + this.#random.fraction()) * (isFailing ? failingRunFactor : 1);
		this.#clock.after(callClass.runMs * factor * slowness, () => {
			this.#callInner(host, callClass, call, (isServed) => {
				this.#endRun(host, {call, callClass, sentAt, isFailure: isFailing || !isServed});
			});
		});
	}

	/** Makes the call that a run needs, if it does; `onEnd` gets whether the run can go on. */
	#callInner(
		host: Host,
		{innerCall}: LoadClass,
		{deadlineAt}: GateCall,
		onEnd: (isServed: boolean) => void,
	): void {
		if (innerCall === undefined || this.#random.fraction() >= innerCall.share) {
			onEnd(true);
			return;
		}

		const {now} = this.#clock;
		const {callClass} = innerCall;
		const entry = this.#entries.find((each) => each.host === host) ?? this.#entries[0];
		this.#begin(entry, {
			callClass,
			arrivedAt: now,
			deadlineAt: Math.min(deadlineAt, now + callClass.deadlineMs),
			retriesLeft: 0,
			onEnd,
		});
	}

	#endRun(
		host: Host,
		{
			call,
			callClass,
			sentAt,
			isFailure,
		}: {
			readonly call: GateCall;
			readonly callClass: LoadClass;
			readonly sentAt: number;
			readonly isFailure: boolean;
		},
	): void {
		host.running -= 1;
		const next = host.queued.shift();
		if (next) {
			this.#run(host, next.call, next.sentAt);
		}

		const payload = isFailure ? failedPayload : '';
		const bytes = callClass.responseBytes ?? smallResponseBytes;
		const result = {type: 'answered', payload, bytes, isFailure} as const;
		const notice = {...this.#noticeOf(host.worker), load: this.#loadOf(host)};
		const finish = () => {
			this.#atGate(host, () => {
				const {now} = this.#clock;
				this.#applyEffects(host, host.gate.onNotice(notice, sentAt, now));
				this.#applyEffects(host, host.gate.finish(call.id, result, now));
			});
		};

		this.#work(host, 'workerMs', finish, bytes);
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
		request: Request,
		{outcome, retryAfterMs, payload}: Answer<string>,
		startedAt: number,
	): void {
		const {now} = this.#clock;
		const {callClass, arrivedAt, deadlineAt, retriesLeft, onEnd} = request;
		if (outcome.type === 'not-run') {
			this.#limitMeter.onRefusal(now - startedAt);
		}

		const isServed = outcome.type === 'ran' && payload !== failedPayload && now <= deadlineAt;
		if (onEnd) {
			onEnd(isServed);
			return;
		}

		if (isServed) {
			this.#meter.onServed(callClass, arrivedAt, now);
			return;
		}

		const remainingMs = deadlineAt - now;
		if (outcome.type !== 'not-run' || retriesLeft === 0 || remainingMs <= 0) {
			this.#meter.onUnserved(callClass, arrivedAt);
			return;
		}

		const retryWaitMs = (retryAfterMs ?? 0) * (1 + this.#random.fraction());
		this.#clock.after(Math.min(retryWaitMs, remainingMs * maximumRetryWaitShare), () => {
			this.#begin(this.#presentEntry(entry), {...request, retriesLeft: retriesLeft - 1});
		});
	}

	/** Returns the class of a call, which may be one that workers' runs make. */
	#classOf({group}: GateCall): LoadClass {
		const classes = this.#plan.classes.flatMap((callClass) =>
			callClass.innerCall ? [callClass, callClass.innerCall.callClass] : [callClass],
		);
		return classes.find(({name, group: own = name}) => own === group)!;
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
}

function withHeldMs(result: AttemptResult<string>, heldMs: number): AttemptResult<string> {
	return result.type === 'answered'
		? {type: 'answered', answer: {...result.answer, heldMs}}
		: result;
}

/** Returns the factor of the phase at a time; 1 outside of all phases. */
function factorAt(phases: readonly Phase[] | undefined, now: number): number {
	return phases?.find(({fromMs, toMs}) => now >= fromMs && now < toMs)?.factor ?? 1;
}

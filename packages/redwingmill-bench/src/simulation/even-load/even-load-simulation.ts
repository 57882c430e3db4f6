import {
	AdaptiveThrottle,
	defaultGateLimits,
	EntryCall,
	Gate,
	RetryBudget,
	type Answer,
	type AttemptResult,
	type Endpoint,
	type EndpointChooser,
	type EntryAction,
	type GateCall,
	type GateEffect,
	type WorkerLoad,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {VirtualClock} from '../virtual-clock.js';
import {BusyMeter} from './busy-meter.js';
import {
	type EvenLoadOutcome,
	type EvenLoadPlan,
	type EvenLoadPolicy,
	type Replica,
} from './even-load-plan.js';

type Host = {
	readonly replica: Replica;
	readonly endpoint: Endpoint;
	readonly gate: Gate<string>;
	readonly number: number;
	readonly waiters: Map<string, (result: AttemptResult<string>) => void>;
	hostTime: number;
};

type Entry = {
	readonly dataCentre: string;
	readonly chooser: EndpointChooser;
	readonly budget: RetryBudget;
	readonly throttle: AdaptiveThrottle;
};

type Snapshot = {readonly at: number; readonly loads: readonly WorkerLoad[]};

type Call = {readonly arrivedAt: number; readonly retriesLeft: number};

const localHopMs = 0.3;
const remoteHopMs = 2;
const gateTickMs = 20;
const service = 'service';
const group = 'call';
const startedAt = 1000;
const maximumAttempts = 2;
const coldSlowness = 3;
const msPerSecond = 1000;
/** Callers wait at most this share of the time to their deadline before they retry. */
const maximumRetryWaitShare = 1 / 3;
/** Bounds of the uniform factor on run times. */
const runFactor = {least: 0.5, range: 1} as const;

/**
 * Simulates many entry nodes that choose between replicas by what they know, around the production code
 * of entry nodes and gates, on virtual time.
 */
export class EvenLoadSimulation {
	readonly #plan: EvenLoadPlan;
	readonly #policy: EvenLoadPolicy;
	readonly #clock = new VirtualClock();
	/** Arrivals and hosts; choosers have their own, so that all policies see the same demand. */
	readonly #random: Random;
	readonly #meter = new BusyMeter();
	readonly #entries: readonly Entry[];
	readonly #elapsedMs: number[] = [];
	#hosts: readonly Host[] = [];
	#snapshots: readonly Snapshot[] = [];
	#late = 0;
	#refused = 0;
	#attempts = 0;
	#tries = 0;
	#remoteBytes = 0;

	constructor(plan: EvenLoadPlan, policy: EvenLoadPolicy) {
		this.#plan = plan;
		this.#policy = policy;
		this.#random = new Random(plan.seed);
		const entryCount = plan.entriesPerDataCentre;
		this.#entries = dataCentresOf(plan).flatMap((dataCentre, index) =>
			Array.from({length: entryCount}, (_, place) => ({
				dataCentre,
				chooser: policy.newChooser(
					dataCentre,
					new Random(plan.seed * msPerSecond + index * entryCount + place),
				),
				budget: new RetryBudget(10_000),
				throttle: new AdaptiveThrottle(this.#random),
			})),
		);
	}

	run(): EvenLoadOutcome {
		const {replicas, durationMs} = this.#plan;
		for (const replica of replicas) {
			this.#clock.after(replica.joins?.atMs ?? 0, () => {
				this.#addHost(replica);
			});
		}

		this.#clock.runUntil(0);
		this.#tick();
		this.#takeSnapshot();
		for (const entry of this.#entries) {
			this.#clock.after(this.#random.fraction() * this.#plan.reportMs, () => {
				this.#report(entry);
			});
		}

		for (const dataCentre of dataCentresOf(this.#plan)) {
			this.#scheduleArrival(dataCentre);
		}

		this.#clock.runUntil(durationMs);
		return this.#outcome();
	}

	#outcome(): EvenLoadOutcome {
		const sorted = this.#elapsedMs.toSorted((a, b) => a - b);
		const calls = Math.max(1, sorted.length);
		const percentile = (share: number) => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
		return {
			calls,
			late: this.#late / calls,
			refused: this.#refused / calls,
			p50Ms: percentile(0.5),
			p99Ms: percentile(0.99),
			...this.#meter.result(this.#clock.now),
			remoteBytes: this.#remoteBytes / calls,
			attempts: this.#attempts / calls,
			attemptsPerTry: this.#attempts / Math.max(1, this.#tries),
		};
	}

	#addHost(replica: Replica): void {
		const {now} = this.#clock;
		const {dataCentre, slots} = replica;
		const node = `node ${this.#hosts.length}`;
		const endpoint = {
			node,
			gateAddress: node,
			dataCentre,
			incarnation: 1,
			service,
			slots,
			worker: `${node}/${startedAt}`,
		};
		const gate = new Gate<string>(defaultGateLimits, {node, incarnation: 1}, now);
		gate.setWorker({service, address: node, slots, state: 'ready', instance: node, startedAt}, now);
		const number = this.#meter.add(dataCentre, slots, now);
		const host = {replica, endpoint, gate, number, waiters: new Map(), hostTime: 1};
		this.#hosts = [...this.#hosts, host];
		const endpoints = this.#hosts.map((each) => each.endpoint);
		for (const {chooser} of this.#entries) {
			chooser.retain(endpoints, now);
		}

		this.#changeHostTime(host);
	}

	#changeHostTime(host: Host): void {
		const {hostTimes} = this.#plan;
		if (hostTimes === undefined) {
			return;
		}

		const {everyMs, least, most} = hostTimes;
		host.hostTime = least * (most / least) ** this.#random.fraction();
		this.#clock.after(this.#exponential(everyMs), () => {
			this.#changeHostTime(host);
		});
	}

	#scheduleArrival(dataCentre: string): void {
		const {demand} = this.#plan;
		const factor = demand(dataCentre, this.#clock.now);
		const perSecond = (meanPerSecond(this.#plan) * factor) / dataCentresOf(this.#plan).length;
		const meanMs = msPerSecond / Math.max(perSecond, 0.1);
		// A rate that changes is looked at again at least every 100 ms.
		const delayMs = this.#exponential(meanMs);
		const isDue = delayMs < 100;
		this.#clock.after(Math.min(delayMs, 100), () => {
			if (isDue) {
				const entries = this.#entries.filter((entry) => entry.dataCentre === dataCentre);
				const entry = entries[this.#random.below(entries.length)];
				const {retries} = this.#plan;
				this.#startCall(entry, {arrivedAt: this.#clock.now, retriesLeft: retries});
			}

			this.#scheduleArrival(dataCentre);
		});
	}

	#startCall(entry: Entry, caller: Call): void {
		const {bytes, targetMs, deadlineMs} = this.#plan;
		const {arrivedAt} = caller;
		this.#tries += 1;
		const call = new EntryCall<string>(
			{
				group,
				bytes,
				retryAllowance: {share: 0.1, slack: 5},
				isIdempotent: true,
				targetAt: arrivedAt + targetMs,
				deadlineAt: arrivedAt + deadlineMs,
				endpoints: this.#hosts.map(({endpoint}) => endpoint),
				withdraws: true,
				maximumAttempts,
			},
			entry.chooser,
			entry.budget,
			entry.throttle,
		);
		let attempts = 0;
		const perform = (action: EntryAction<string>) => {
			if (action.type === 'attempt') {
				attempts += 1;
				this.#send(entry, action.endpoint, {arrivedAt, isFirst: attempts === 1}, (result) => {
					perform(call.onAttempt(result, this.#clock.now));
				});
			} else if (action.type === 'answer') {
				this.#onAnswer(entry, caller, action.answer);
			}
		};

		perform(call.begin(this.#clock.now));
	}

	#send(
		entry: Entry,
		endpoint: Endpoint,
		{arrivedAt, isFirst}: {readonly arrivedAt: number; readonly isFirst: boolean},
		onResult: (result: AttemptResult<string>) => void,
	): void {
		const {bytes, targetMs, deadlineMs} = this.#plan;
		const host = this.#hosts.find((each) => each.endpoint === endpoint)!;
		const isRemote = endpoint.dataCentre !== entry.dataCentre;
		const hopMs = isRemote ? remoteHopMs : localHopMs;
		this.#remoteBytes += isRemote ? bytes : 0;
		this.#attempts += 1;
		const id = `attempt ${this.#attempts}`;
		const call: GateCall = {
			id,
			service,
			group,
			rank: 1,
			targetAt: arrivedAt + targetMs,
			deadlineAt: arrivedAt + deadlineMs,
			crashedNodes: [],
			fingerprint: () => id,
		};
		const respond = (result: AttemptResult<string>) => {
			this.#clock.after(hopMs, () => {
				onResult(result);
			});
		};

		this.#clock.after(hopMs, () => {
			const {refusesFrom = Number.POSITIVE_INFINITY} = this.#policy;
			if (isFirst && host.gate.waitingCount >= refusesFrom * endpoint.slots) {
				const outcome = {type: 'not-run', reason: 'queue-full'} as const;
				respond({type: 'answered', answer: {outcome, load: this.#loadOf(host), isRetried: false}});
				return;
			}

			host.waiters.set(id, respond);
			this.#applyEffects(host, host.gate.submit(call, this.#clock.now));
		});
	}

	#applyEffects(host: Host, effects: ReadonlyArray<GateEffect<string>>): void {
		for (const effect of effects) {
			if (effect.type === 'answer') {
				const respond = host.waiters.get(effect.key);
				host.waiters.delete(effect.key);
				const load = this.#loadOf(host);
				respond?.({type: 'answered', answer: {...effect.answer, load, isRetried: false}});
			} else if (effect.type === 'dispatch') {
				this.#run(host, effect.call);
			}
		}

		const {runningCount, waitingCount} = host.gate;
		this.#meter.record(host.number, runningCount, waitingCount, this.#clock.now);
	}

	#run(host: Host, call: GateCall): void {
		const {slowness, joins} = host.replica;
		const isCold = joins !== undefined && this.#clock.now < joins.warmAtMs;
		const factor = runFactor.least + runFactor.range * this.#random.fraction();
		const ranMs =
			this.#plan.runMs * factor * slowness * host.hostTime * (isCold ? coldSlowness : 1);
		this.#clock.after(ranMs, () => {
			const result = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;
			this.#applyEffects(host, host.gate.finish(call.id, result, this.#clock.now));
		});
	}

	#onAnswer(entry: Entry, {arrivedAt, retriesLeft}: Call, answer: Answer<string>): void {
		const {targetMs, deadlineMs} = this.#plan;
		const {now} = this.#clock;
		const elapsedMs = now - arrivedAt;
		if (answer.outcome.type === 'ran' && elapsedMs <= deadlineMs) {
			this.#late += elapsedMs > targetMs ? 1 : 0;
			this.#elapsedMs.push(elapsedMs);
			return;
		}

		const remainingMs = deadlineMs - elapsedMs;
		if (answer.outcome.type !== 'not-run' || retriesLeft === 0 || remainingMs <= 0) {
			this.#refused += 1;
			this.#elapsedMs.push(deadlineMs);
			return;
		}

		const waitMs = (answer.retryAfterMs ?? 0) * (1 + this.#random.fraction());
		this.#clock.after(Math.min(waitMs, remainingMs * maximumRetryWaitShare), () => {
			this.#startCall(entry, {arrivedAt, retriesLeft: retriesLeft - 1});
		});
	}

	#loadOf({gate, hostTime}: Host): WorkerLoad {
		const load = gate.loadAt(this.#clock.now);
		return this.#plan.hostTimes === undefined ? load : {...load, hostTime};
	}

	/** Records the loads that reports will state, twice per report interval. */
	#takeSnapshot(): void {
		const loads = this.#hosts.map((host) => this.#loadOf(host));
		this.#snapshots = [...this.#snapshots.slice(-1), {at: this.#clock.now, loads}];
		this.#clock.after(this.#plan.reportMs / 2, () => {
			this.#takeSnapshot();
		});
	}

	#report(entry: Entry): void {
		const [{at, loads}] = this.#snapshots;
		for (const [index, load] of loads.entries()) {
			entry.chooser.onLoad(this.#hosts[index].endpoint, load, at);
		}

		this.#clock.after(this.#plan.reportMs, () => {
			this.#report(entry);
		});
	}

	#tick(): void {
		for (const host of this.#hosts) {
			this.#applyEffects(host, host.gate.tick(this.#clock.now));
		}

		this.#clock.after(gateTickMs, () => {
			this.#tick();
		});
	}

	#exponential(meanMs: number): number {
		return -Math.log(1 - this.#random.fraction()) * meanMs;
	}
}

function dataCentresOf({replicas}: EvenLoadPlan): readonly string[] {
	return [...new Set(replicas.map(({dataCentre}) => dataCentre))];
}

/** Returns the calls a second of all data centres together. */
function meanPerSecond({replicas, load, runMs, hostTimes}: EvenLoadPlan): number {
	const capacity = replicas
		.filter(({joins}) => joins === undefined)
		.reduce((sum, {slots, slowness}) => sum + (slots * msPerSecond) / (runMs * slowness), 0);
	const hostTime = hostTimes
		? (hostTimes.most - hostTimes.least) / Math.log(hostTimes.most / hostTimes.least)
		: 1;
	return (capacity * load) / hostTime;
}

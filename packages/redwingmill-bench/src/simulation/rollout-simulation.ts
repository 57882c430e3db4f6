import {
	RolloutDecider,
	rolloutStates,
	type RolloutBounds,
	type RolloutOrder,
	type RolloutState,
	type WorkerEvidence,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {RolloutEntries} from './rollout-entries.js';
import {type RolloutPlan} from './rollout-scenarios.js';
import {type SimulatedRun, SimulatedWorker} from './simulated-worker.js';

const tickMs = 10;
const decisionMs = 100;
const msPerSecond = 1000;
const dataCentres = 3;
/** Time after the deadline in which calls are still counted. */
const afterDeadlineMs = 2000;
const oldVersion = 'v1';
const targetVersion = 'v2';
const baseRunMs = [20, 40, 80];
/** Standard deviation of the logarithm of a run time. */
const runDeviation = 0.5;

/** Bounds of the users' platform. */
export const standardBounds: RolloutBounds = {
	exposureShare: 0.1,
	exposureSlack: 50,
	rollbackMs: 5000,
};

/** What became of a rollout. Times are in milliseconds since the order. */
export type RolloutOutcome = {
	readonly state: RolloutState;
	/** When the rollout ended; undefined if it runs at the end. */
	readonly endedAt: number | undefined;
	/** Calls that the target got, also after the deadline. */
	readonly exposed: number;
	/** Calls to the service between the order and its deadline. */
	readonly calls: number;
	/** Calls to the target later than the bound after its 50th failure or, if it is slow, late response. */
	readonly lateCalls: number;
	readonly reason: string;
};

/** Simulates a rollout with the real decision code. */
export class RolloutSimulation {
	readonly #plan: RolloutPlan;
	readonly #random: Random;
	readonly #order: RolloutOrder;
	readonly #entries: RolloutEntries;
	readonly #old: readonly SimulatedWorker[];
	readonly #new: readonly SimulatedWorker[];
	readonly #endingRuns = new Map<number, SimulatedRun[]>();
	readonly #reports = new Map<number, WorkerEvidence[]>();
	#decider: RolloutDecider;
	#calls = 0;
	#exposed = 0;
	#badResponses = 0;
	#limitAt = Number.POSITIVE_INFINITY;
	#lateCalls = 0;
	#load = 0;

	constructor(plan: RolloutPlan, seed: number) {
		this.#plan = plan;
		this.#random = new Random(seed);
		this.#order = {
			service: 'simulated',
			targetVersion,
			durationMs: plan.durationMs,
			era: 1,
			revision: 1,
		};
		this.#entries = new RolloutEntries(this.#random);
		this.#old = this.#workers(plan.oldWorkers, oldVersion);
		this.#new = this.#workers(plan.newWorkers, targetVersion);
		this.#decider = this.#createDecider(0, 0);
	}

	run(): RolloutOutcome {
		const {durationMs, takeoverPart = Number.POSITIVE_INFINITY} = this.#plan;
		let nextCallAt = 0;
		let takeoverAt = takeoverPart * durationMs;
		let decision = this.#decider.decide(0);
		let endedAt: number | undefined;
		for (let now = 0; now < durationMs + afterDeadlineMs; now += tickMs) {
			while (nextCallAt < now) {
				this.#call(now);
				nextCallAt +=
					(-Math.log(1 - this.#random.fraction()) * msPerSecond) / this.#plan.callsPerSecond;
			}

			this.#endRuns(now);
			this.#report(now);
			if (now >= takeoverAt) {
				takeoverAt = Number.POSITIVE_INFINITY;
				this.#decider = this.#createDecider(now, decision.share);
			}

			if (now % decisionMs === 0 && endedAt === undefined) {
				decision = this.#decider.decide(now);
				endedAt = decision.state === rolloutStates.running ? undefined : now;
				this.#entries.announce(decision.share, now);
				this.#load = this.#entries.share;
			}
		}

		const {state, reason} = decision;
		const counts = {exposed: this.#exposed, calls: this.#calls, lateCalls: this.#lateCalls};
		return {state, endedAt, reason, ...counts};
	}

	#workers(count: number, version: string): readonly SimulatedWorker[] {
		return Array.from(
			{length: count},
			(_, index) =>
				new SimulatedWorker(this.#random, `${version}-${index}`, version, index % dataCentres),
		);
	}

	#createDecider(now: number, share: number): RolloutDecider {
		return new RolloutDecider(this.#order, standardBounds, {elapsedMs: now, share, now});
	}

	#call(now: number): void {
		this.#calls += now < this.#plan.durationMs ? 1 : 0;
		const isForTarget = this.#entries.isForTarget(now);
		if (isForTarget) {
			this.#exposed += 1;
			this.#lateCalls += now > this.#limitAt ? 1 : 0;
		}

		const workers = isForTarget ? this.#new : this.#old;
		const worker = workers[this.#random.below(workers.length)];
		const route = this.#drawRoute();
		const {failureShare, slowness} = isForTarget
			? this.#plan.behaviour({
					elapsedPart: now / this.#plan.durationMs,
					load: this.#load,
					route,
				})
			: {failureShare: this.#plan.usualFailures, slowness: 1};
		const isFailure = this.#random.fraction() < failureShare;
		const usualMs = baseRunMs[route] * worker.slowness * Math.exp(runDeviation * this.#gaussian());
		const run = {worker, group: `/${route}`, ranMs: usualMs * slowness, isFailure};
		worker.start();
		if (isForTarget && (isFailure || slowness >= 2)) {
			this.#badResponses += 1;
			if (this.#badResponses === 50) {
				this.#limitAt = now + run.ranMs + standardBounds.rollbackMs;
			}
		}

		push(this.#endingRuns, tickAfter(now + run.ranMs), run);
	}

	#endRuns(now: number): void {
		for (const run of this.#endingRuns.get(now) ?? []) {
			run.worker.end(run);
		}

		this.#endingRuns.delete(now);
	}

	#report(now: number): void {
		for (const worker of [...this.#old, ...this.#new]) {
			const report = worker.report(now);
			if (report !== undefined && !this.#isSilent(worker, now)) {
				push(this.#reports, tickAfter(report.at), report.evidence);
			}
		}

		for (const evidence of this.#reports.get(now) ?? []) {
			this.#decider.onEvidence(evidence, now);
		}

		this.#reports.delete(now);
	}

	#isSilent({dataCentre}: SimulatedWorker, now: number): boolean {
		const {silence, durationMs} = this.#plan;
		const part = now / durationMs;
		return silence !== undefined && dataCentre === 0 && part >= silence.from && part < silence.to;
	}

	#drawRoute(): number {
		let left = this.#random.fraction();
		for (const [index, part] of this.#plan.routes.entries()) {
			left -= part;
			if (left < 0) {
				return index;
			}
		}

		return 0;
	}

	#gaussian(): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.#random.fraction()));
		return radius * Math.cos(2 * Math.PI * this.#random.fraction());
	}
}

function tickAfter(at: number): number {
	return Math.ceil(at / tickMs) * tickMs + (at % tickMs === 0 ? tickMs : 0);
}

function push<T>(lists: Map<number, T[]>, key: number, item: T): void {
	const list = lists.get(key);
	if (list === undefined) {
		lists.set(key, [item]);
	} else {
		list.push(item);
	}
}

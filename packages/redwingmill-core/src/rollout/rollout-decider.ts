import {DrainDetector} from './drain-detector.js';
import {ExposureMeter} from './exposure-meter.js';
import {ReportMonitor} from './report-monitor.js';
import {evidenceAges, evidenceKey, RolloutEvidence} from './rollout-evidence.js';
import {figuresOf, isClean, isProven, isRatherBad, isReadyForAll} from './rollout-rules.js';
import {
	rolloutStates,
	type RolloutBounds,
	type RolloutDecision,
	type RolloutOrder,
	type WorkerEvidence,
} from './rollout.js';
import {planStages, type StagePlan} from './stage-plan.js';
import {VerdictClock} from './verdict-clock.js';
import {VersionComparison, type Comparison} from './version-comparison.js';

/** Time from the start of a decider in which evidence of all gates arrives. */
const firstEvidenceMs = 1000;
/** Share while the rate of calls is unknown. */
const firstShare = 0.01;
/** Time in the middle stage before the last one. */
const shortestMiddleMs = 400;
/** Time in the last stage before a completion. */
const shortestFullMs = 300;
/** Share from which on a decider that takes over continues the middle stage. */
const lowestMiddleShare = 0.1;

const stages = {canary: 'canary', middle: 'middle', full: 'full'} as const;
type Stage = (typeof stages)[keyof typeof stages];

/** What a decider starts from: an order at its beginning, or the stage that another decider announced. */
export type DeciderStart = {
	/** Milliseconds since the order. */
	readonly elapsedMs: number;
	/** Share in force, from 0 to 1. */
	readonly share: number;
	/** Monotonic time in milliseconds. */
	readonly now: number;
};

/** Decides on the stages of a rollout and its end. */
export class RolloutDecider {
	readonly #order: RolloutOrder;
	readonly #bounds: RolloutBounds;
	readonly #start: DeciderStart;
	readonly #evidence = new RolloutEvidence();
	readonly #drain = new DrainDetector();
	readonly #reports = new ReportMonitor();
	readonly #verdictClock: VerdictClock;
	readonly #comparison: VersionComparison;
	readonly #exposure: ExposureMeter;
	#decision: RolloutDecision;
	#stage: Stage;
	#stageSince: number;
	#canaryShare: number | undefined;
	/** Whether the last stage was left for want of evidence; no share is raised again. */
	#isLastStageOver = false;

	constructor(order: RolloutOrder, bounds: RolloutBounds, start: DeciderStart) {
		const {durationMs, targetVersion} = order;
		const {elapsedMs, share, now} = start;
		this.#order = order;
		this.#bounds = bounds;
		this.#start = start;
		this.#verdictClock = new VerdictClock(bounds.rollbackMs);
		this.#comparison = new VersionComparison(targetVersion, this.#evidence, {durationMs, now});
		this.#exposure = new ExposureMeter(targetVersion, this.#evidence, {
			elapsedMs,
			share: Math.min(share, firstShare),
		});
		this.#stage = stageOf(share);
		this.#stageSince = now;
		const reason = elapsedMs === 0 ? 'order received' : 'continued by another decider';
		this.#decision = {state: rolloutStates.running, share, reason};
	}

	/** Newest evidence by worker, for operators. */
	get evidence(): RolloutEvidence {
		return this.#evidence;
	}

	/** Takes in a gate's report. Reports on other services, older and repeated ones change no figure. */
	onEvidence(evidence: WorkerEvidence, now: number): void {
		if (evidence.service !== this.#order.service) {
			return;
		}

		const age = this.#evidence.apply(evidence);
		if (age === evidenceAges.older) {
			return;
		}

		const key = evidenceKey(evidence);
		if (evidence.version === this.#order.targetVersion) {
			this.#reports.onEvidence(key, now);
		} else {
			this.#drain.onEvidence(key, age === evidenceAges.newer, now);
		}
	}

	/** Decides by the evidence up to now; to be called some times a second. */
	decide(now: number): RolloutDecision {
		if (this.#decision.state === rolloutStates.running) {
			const elapsedMs = this.#start.elapsedMs + now - this.#start.now;
			this.#exposure.advance(elapsedMs, this.#decision.share);
			this.#decision = this.#decideBy(this.#comparison.compare(now), elapsedMs, now);
		}

		return this.#decision;
	}

	#decideBy(comparison: Comparison, elapsedMs: number, now: number): RolloutDecision {
		if (comparison.fault !== undefined) {
			return rolledBack(comparison.fault);
		}

		const {callsPerSecond} = this.#exposure;
		if (now - this.#start.now < firstEvidenceMs || callsPerSecond === 0) {
			const share = this.#start.elapsedMs === 0 ? firstShare : this.#start.share;
			return running(share, 'waits for evidence');
		}

		const plan = planStages(this.#order.durationMs, this.#bounds, callsPerSecond);
		this.#canaryShare ??= plan.canaryShare;
		const isOver = elapsedMs >= plan.completeByMs;
		const isVerdictDue = this.#verdictClock.isDue(comparison.runs, now);
		if ((isVerdictDue && comparison.isMostLikelySlow) || (isOver && isRatherBad(comparison))) {
			return rolledBack(`rather bad when a verdict was due, ${figuresOf(comparison)}`);
		}

		if (isVerdictDue && comparison.isDoubtful) {
			return running(0, `held, neither good nor bad, ${figuresOf(comparison)}`);
		}

		if (isOver) {
			this.#enter(stages.canary, now);
		} else if (this.#stage === stages.full && this.#reports.isLate(this.#stageSince, now)) {
			this.#isLastStageOver = true;
			this.#enter(stages.canary, now);
		} else if (this.#isComplete(comparison, plan, elapsedMs, now)) {
			const reason = `good in ${comparison.runs} runs, ${figuresOf(comparison)}`;
			return {state: rolloutStates.completed, share: 1, reason};
		} else {
			this.#advance(comparison, plan, elapsedMs, now);
		}

		return this.#running(comparison, plan);
	}

	#isComplete(
		comparison: Comparison,
		{completeFromMs}: StagePlan,
		elapsedMs: number,
		now: number,
	): boolean {
		return (
			this.#stage === stages.full &&
			now - this.#stageSince >= shortestFullMs &&
			elapsedMs >= completeFromMs &&
			isProven(comparison) &&
			this.#drain.isDrained(this.#oldWorkers(), now)
		);
	}

	#advance(comparison: Comparison, plan: StagePlan, elapsedMs: number, now: number): void {
		const mayAdvance =
			!this.#isLastStageOver &&
			this.#exposure.isReported &&
			this.#drain.isHeard(this.#oldWorkers(), now);
		switch (this.#stage) {
			case stages.canary: {
				if (mayAdvance && elapsedMs >= plan.middleAtMs && isClean(comparison)) {
					this.#enter(stages.middle, now);
				}

				break;
			}

			case stages.middle: {
				const isSeen = now - this.#stageSince >= shortestMiddleMs;
				if (mayAdvance && isSeen && elapsedMs >= plan.fullAtMs && isReadyForAll(comparison)) {
					this.#enter(stages.full, now);
				}

				break;
			}

			case stages.full: {
				break;
			}
		}
	}

	#enter(stage: Stage, now: number): void {
		if (stage !== this.#stage) {
			this.#stage = stage;
			this.#stageSince = now;
			this.#comparison.markStage(now);
		}
	}

	#running(comparison: Comparison, plan: StagePlan): RolloutDecision {
		const isSpent = this.#stage !== stages.full && this.#exposure.calls >= plan.exposureCalls;
		return isSpent
			? running(0, `${this.#stage} stage, no calls left within the bound`)
			: running(this.#shareOf(plan), `${this.#stage} stage, ${figuresOf(comparison)}`);
	}

	#shareOf({middleShare}: StagePlan): number {
		switch (this.#stage) {
			case stages.canary: {
				return this.#canaryShare ?? firstShare;
			}

			case stages.middle: {
				return middleShare;
			}

			case stages.full: {
				return 1;
			}
		}
	}

	#oldWorkers(): ReadonlyMap<string, WorkerEvidence> {
		const {targetVersion} = this.#order;
		return new Map(
			[...this.#evidence.present()].filter(([, {version}]) => version !== targetVersion),
		);
	}
}

function stageOf(share: number): Stage {
	if (share >= 1) {
		return stages.full;
	}

	return share >= lowestMiddleShare ? stages.middle : stages.canary;
}

function running(share: number, reason: string): RolloutDecision {
	return {state: rolloutStates.running, share, reason};
}

function rolledBack(reason: string): RolloutDecision {
	return {state: rolloutStates.rolledBack, share: 0, reason};
}

import {isCongested} from './concurrency-check.js';
import {EvidenceHistory, type EvidenceSnapshot} from './evidence-history.js';
import {FailureComparison} from './failure-comparison.js';
import {sumEvidence, type EvidenceSum, type RolloutEvidence} from './rollout-evidence.js';
import {type WorkerEvidence} from './rollout.js';
import {compareRunTimes, type RunTimeFindings} from './run-time-comparison.js';

/** Times over which the old version's failures are counted again, for what disturbs both versions. */
const sameTimesMs = [500, 2000] as const;
const shortestRecentMs = 2000;
/** Part of the order's time over which run times are compared again, for versions that turn slow. */
const recentPart = 1 / 3;

/** Evidence on the target version against the others. */
export type Comparison = RunTimeFindings & {
	/** Runs of the target. */
	readonly runs: number;
	/** Natural logarithms of likelihood ratios, see `FailureTest`. */
	readonly mildBadness: number;
	readonly mildGoodness: number;
	/** Lowest of all routes that make up much of the service's runs. */
	readonly routeGoodness: number;
	/** Goodness since the last call of `markStage`. */
	readonly stageGoodness: number;
};

/** Compares the target version of a rollout with the others, by evidence that arrives over time. */
export class VersionComparison {
	readonly #target: string;
	readonly #evidence: RolloutEvidence;
	readonly #recentMs: number;
	readonly #history: EvidenceHistory;
	readonly #failures = new FailureComparison();
	#stageStart: EvidenceSnapshot;

	/** @param evidence - evidence that is compared; others add to it. */
	constructor(
		target: string,
		evidence: RolloutEvidence,
		{durationMs, now}: {readonly durationMs: number; readonly now: number},
	) {
		this.#target = target;
		this.#evidence = evidence;
		this.#recentMs = Math.max(shortestRecentMs, durationMs * recentPart);
		this.#history = new EvidenceHistory(this.#recentMs);
		this.#stageStart = {at: now, workers: new Map()};
	}

	/** Begins to compare the runs of a new stage. */
	markStage(now: number): void {
		this.#failures.markStage();
		this.#stageStart = {at: now, workers: new Map(this.#evidence.workers)};
	}

	/** Takes in the evidence received since the last call, as one batch whatever its order. */
	compare(now: number): Comparison {
		const {workers} = this.#evidence;
		const newer = this.#sum(workers, true);
		const compared = {
			newer,
			older: this.#sum(workers, false),
			olderBefore: sameTimesMs.map((ageMs) =>
				this.#sum(this.#history.before(ageMs, now)?.workers ?? new Map(), false),
			),
		};
		const failureFault = this.#failures.compare(compared);
		const runTimes = compareRunTimes(this.#evidence, this.#target, {
			recent: this.#history.before(this.#recentMs, now),
			stage: this.#stageStart,
		});
		this.#history.add(workers, now);
		const {whole, stage} = this.#failures;
		return {
			...runTimes,
			fault: failureFault ?? runTimes.fault,
			isStageFast: runTimes.isStageFast && !this.#isCongested(newer, compared.older, now),
			runs: newer.runs,
			mildBadness: whole.mildBadness,
			mildGoodness: whole.mildGoodness,
			routeGoodness: this.#failures.routeGoodness(compared),
			stageGoodness: stage.goodness,
		};
	}

	#sum(workers: ReadonlyMap<string, WorkerEvidence>, isTarget: boolean): EvidenceSum {
		const isCounted = ({version}: WorkerEvidence) => (version === this.#target) === isTarget;
		return sumEvidence([...workers.values()].filter((each) => isCounted(each)));
	}

	#isCongested(newer: EvidenceSum, older: EvidenceSum, now: number): boolean {
		const {at, workers} = this.#stageStart;
		const dispatched = newer.dispatched - this.#sum(workers, true).dispatched;
		return isCongested(newer.inProgress, {dispatched, spanMs: now - at}, older);
	}
}

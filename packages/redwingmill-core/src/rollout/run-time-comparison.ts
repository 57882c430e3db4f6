import {type EvidenceSnapshot} from './evidence-history.js';
import {type RolloutEvidence} from './rollout-evidence.js';
import {
	isFastEnough,
	isRatherSlow,
	isTooSlow,
	runsSince,
	runTimeChange,
	runTimeRatio,
	type RunTimeRatio,
	type WorkerRuns,
} from './run-time-test.js';

/** Standard errors by which a ratio has to be rather slow: to wait, for a verdict that is due, for doubt. */
const waitErrors = 0.5;
const verdictErrors = 0.9;
const recentVerdictErrors = 2;
const doubtErrors = -0.7;
/** Ratio to the old version below which a version that became slower isn't too slow yet; natural logarithm. */
const leastSlownessLog = Math.log(1.15);

/** What the run times of the two versions show. */
export type RunTimeFindings = {
	/** Why the target is to be rolled back; undefined if nothing shows that. */
	readonly fault: string | undefined;
	/** Estimated ratio of run times, new to old; undefined while there are too few runs. */
	readonly slowness: number | undefined;
	readonly isFastEnough: boolean;
	/** Whether the runs since the stage began show that the target is fast enough. */
	readonly isStageFast: boolean;
	/** Whether the target is rather too slow than good: enough to wait. */
	readonly isRatherSlow: boolean;
	/** Whether that is clear enough for a verdict that is due. */
	readonly isMostLikelySlow: boolean;
	/** Whether "too slow" can't be ruled out by much; more runs change little, since hosts differ. */
	readonly isDoubtful: boolean;
};

/** Times since which run times are compared besides the time since the order. */
export type ComparedSpans = {
	/** Start of the last part of the order's time, for versions that turn slow. */
	readonly recent: EvidenceSnapshot | undefined;
	/** Start of the stage. */
	readonly stage: EvidenceSnapshot;
};

/** Compares the run times of the target version with those of the others. */
export function compareRunTimes(
	evidence: RolloutEvidence,
	target: string,
	{recent, stage}: ComparedSpans,
): RunTimeFindings {
	const workers = [...evidence.workers];
	const runs = (isTarget: boolean, since?: EvidenceSnapshot): readonly WorkerRuns[] =>
		workers
			.filter(([, {version}]) => (version === target) === isTarget)
			.map(([key, each]) => runsSince(each, since?.workers.get(key)));
	const newer = runs(true);
	const older = runs(false);
	const whole = runTimeRatio(newer, older, () => true);
	const newerLately = recent === undefined ? newer : runs(true, recent);
	const olderLately = recent === undefined ? older : runs(false, recent);
	const lately = recent && runTimeRatio(newerLately, olderLately, () => true);
	// The old version has few runs in the last stage, so those since the order are compared.
	const inStage = runTimeRatio(runs(true, stage), older, () => true);
	const faultOfChange = (
		since: EvidenceSnapshot | undefined,
		ratio: RunTimeRatio | undefined,
		where: string,
	) => {
		const isRelevant = ratio !== undefined && ratio.log > leastSlownessLog;
		const change = since && isRelevant ? relativeChange(evidence, target, since) : undefined;
		return change !== undefined && isTooSlow(change)
			? `${Math.exp(change.log).toFixed(2)} times slower ${where}`
			: undefined;
	};

	const faultOf = (ratio: RunTimeRatio | undefined, where: string) =>
		ratio !== undefined && isTooSlow(ratio)
			? `${Math.exp(ratio.log).toFixed(2)} times slower on ${where}`
			: undefined;
	const routeFaults = () => {
		const groups = new Set(newer.flatMap(({routes}) => routes.map(({group}) => group)));
		for (const group of groups.size > 1 ? groups : []) {
			const isGroup = (each: string) => each === group;
			const fault =
				faultOf(runTimeRatio(newer, older, isGroup), group) ??
				faultOf(recent && runTimeRatio(newerLately, olderLately, isGroup), group);
			if (fault !== undefined) {
				return fault;
			}
		}

		return undefined;
	};

	return {
		fault:
			faultOf(whole, 'all routes') ??
			faultOf(lately, 'all routes lately') ??
			faultOf(inStage, 'all routes in the stage') ??
			faultOfChange(stage, inStage, 'than before the stage') ??
			faultOfChange(recent, lately, 'than before, lately') ??
			routeFaults(),
		slowness: whole && Math.exp(whole.log),
		isFastEnough: whole !== undefined && isFastEnough(whole),
		isStageFast: inStage !== undefined && isFastEnough(inStage),
		isRatherSlow:
			isSlowBy(whole, 0) || isSlowBy(lately, waitErrors) || isSlowBy(inStage, waitErrors),
		isMostLikelySlow:
			isSlowBy(whole, verdictErrors) ||
			isSlowBy(lately, recentVerdictErrors) ||
			isSlowBy(inStage, recentVerdictErrors),
		isDoubtful: isSlowBy(whole, doubtErrors),
	};
}

/** Change of the target's run times since an earlier state, relative to that of the others if known. */
function relativeChange(
	evidence: RolloutEvidence,
	target: string,
	since: EvidenceSnapshot,
): RunTimeRatio | undefined {
	const workers = [...evidence.workers];
	const older = workers.filter(([, {version}]) => version !== target).map(([, each]) => each);
	const changeOf = (isTarget: boolean) =>
		runTimeChange(
			workers
				.filter(([, {version}]) => (version === target) === isTarget)
				.map(([key, each]) => {
					const before = since.workers.get(key);
					return {before: before ?? {routes: []}, after: runsSince(each, before)};
				}),
			older,
		);
	const change = changeOf(true);
	const usual = changeOf(false);
	return change === undefined || usual === undefined
		? change
		: {
				log: change.log - usual.log,
				hostVariance: 0,
				runVariance: change.runVariance + usual.runVariance,
			};
}

function isSlowBy(ratio: RunTimeRatio | undefined, errors: number): boolean {
	return ratio !== undefined && isRatherSlow(ratio, errors);
}

import {type RolloutBounds} from './rollout.js';

const msPerSecond = 1000;
/**
 * Time in the last stage after which a version that is bad there is found, besides the runs for the test: the
 * age of usual evidence, or the time after which the stage is left because evidence is late.
 */
const noticeMs = 500;
/** Time until all entries send by a new share. */
const followMs = 300;
/** Runs in which 7 % of failures are found on average, see `FailureTest`. */
const detectionRuns = 50;
/** Parts of the bound that are planned with. Rates vary, and evidence of some workers may be missing. */
const plannedExposureShare = 0.97;
const plannedSlackShare = 0.97;
const lowestCanaryShare = 0.005;
const highestCanaryShare = 0.045;
/** Calls a second to the canary up to which its share may be higher, in services with few calls. */
const fewCanaryCalls = 5;
const highestShareOfFewCalls = 0.08;
const middleShare = 0.15;
const shortestMiddleMs = 500;
const longestMiddleMs = 2000;
/** Time in which all calls go to the target version before its completion, where the bound has room for it. */
const fullMs = 1500;
/** Age of evidence at its arrival, with the time until entries follow, in the usual case. */
const usualEvidenceMs = 350;
/** Time before the last moment in which a completion is possible. */
const completionMs = 350;
/** Runs without a failure that a completion needs, see `completionGoodness`. */
const completionRuns = 92;
/** Part of the ordered time after which a version isn't completed any more. */
const completeByShare = 0.95;

/** When a rollout moves to its stages, in milliseconds since the order. */
export type StagePlan = {
	/** Shares of the service's calls for the target version. */
	readonly canaryShare: number;
	readonly middleShare: number;
	readonly middleAtMs: number;
	/** From when on all calls may go to the target; infinite if the bound has no room for it. */
	readonly fullAtMs: number;
	/** Time in which a completion is possible: as late as there is time, since a late verdict is safer. */
	readonly completeFromMs: number;
	readonly completeByMs: number;
	/** Calls that the target may get altogether, as planned. */
	readonly exposureCalls: number;
};

/**
 * Plans the stages so that a version that turns bad at any of them gets fewer calls than the bound.
 *
 * The target gets all calls so late that the calls until the deadline are within the bound whatever the
 * evidence says, or, where that leaves no time for it, so that the calls until a rollback are: the test needs
 * some runs, entries follow within 0.3 s, and the stage is left at once if evidence is late. What is left of
 * the bound goes to the middle stage and then to the canary.
 *
 * @param callsPerSecond - calls of the service, to both versions.
 */
export function planStages(
	durationMs: number,
	bounds: RolloutBounds,
	callsPerSecond: number,
): StagePlan {
	const callsPerMs = Math.max(callsPerSecond, Number.EPSILON) / msPerSecond;
	const exposureCalls =
		plannedExposureShare * bounds.exposureShare * durationMs * callsPerMs +
		plannedSlackShare * bounds.exposureSlack;
	/** Time in which as many calls reach the service. */
	const exposureMs = exposureCalls / callsPerMs;
	const completeByMs = completeByShare * durationMs;
	const reserveMs = lowestCanaryShare * durationMs + middleShare * shortestMiddleMs;
	const lossMs = Math.min(
		durationMs - completeByMs + fullMs,
		noticeMs + followMs + detectionRuns / callsPerMs,
	);
	const hasRoom = lossMs + reserveMs <= exposureMs;
	const lastFullAtMs = hasRoom ? completeByMs - fullMs : durationMs - (exposureMs - reserveMs);
	const leftMs = hasRoom ? exposureMs - lossMs : reserveMs;
	const early = planEarlyStages(durationMs, callsPerSecond, leftMs, lastFullAtMs);
	const shownMs = completeByMs - lastFullAtMs - usualEvidenceMs;
	const shownRuns = (early.exposedMs + shownMs) * callsPerMs;
	const isPossible = shownMs > 0 && shownRuns >= completionRuns;
	const {canaryShare, middleAtMs} = isPossible
		? early
		: planEarlyStages(durationMs, callsPerSecond, exposureMs, completeByMs);
	return {
		canaryShare,
		middleShare,
		middleAtMs,
		fullAtMs: isPossible ? lastFullAtMs : Number.POSITIVE_INFINITY,
		completeFromMs: completeByMs - completionMs,
		completeByMs,
		exposureCalls,
	};
}

/** Plans the canary and the middle stage, which end at `endMs` and have `leftMs` of all calls. */
function planEarlyStages(
	durationMs: number,
	callsPerSecond: number,
	leftMs: number,
	endMs: number,
) {
	const highestShare = clamp(
		fewCanaryCalls / callsPerSecond,
		highestCanaryShare,
		highestShareOfFewCalls,
	);
	const middleMs = clamp(
		(leftMs - highestShare * durationMs) / middleShare,
		shortestMiddleMs,
		Math.min(longestMiddleMs, durationMs / 10),
	);
	const middleAtMs = endMs - middleMs;
	const canaryShare = clamp(
		(leftMs - middleShare * middleMs) / middleAtMs,
		lowestCanaryShare,
		highestShare,
	);
	return {
		canaryShare,
		middleAtMs,
		exposedMs: canaryShare * middleAtMs + middleShare * middleMs,
	};
}

function clamp(value: number, lowest: number, highest: number): number {
	return Math.max(lowest, Math.min(highest, value));
}

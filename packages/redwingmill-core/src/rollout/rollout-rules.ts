import {type Comparison} from './version-comparison.js';

/** Runs of the target below which the canary stage goes on. */
const fewestRuns = 10;
/** Log ratio up to which failures are taken for chance: a single one, or two far apart. */
const chanceBadness = 5;
/** Log ratio from which on a version is rolled back when its time is over: three failures close together. */
const endBadness = 7;
/** Log ratio that a completion needs against 5 points more failures; 1 % of such versions reach it. */
const completionGoodness = Math.log(100);
/** Log ratio that the last stage needs, so that it isn't entered in vain. */
const fullGoodness = 1;
/** Log ratio that a completion needs on each route and in the last stage, against 20 points more. */
const routeGoodness = Math.log(10);

/** Whether nothing speaks against a higher share. */
export function isClean({runs, mildBadness, isRatherSlow}: Comparison): boolean {
	return runs >= fewestRuns && mildBadness <= chanceBadness && !isRatherSlow;
}

/** Whether the target may get all calls. */
export function isReadyForAll(comparison: Comparison): boolean {
	return isClean(comparison) && comparison.mildGoodness >= fullGoodness && comparison.isFastEnough;
}

/** Whether the target is shown to be good, by what ran in the last stage too. */
export function isProven(comparison: Comparison): boolean {
	return (
		isClean(comparison) &&
		comparison.mildGoodness >= completionGoodness &&
		comparison.routeGoodness >= routeGoodness &&
		comparison.stageGoodness >= routeGoodness &&
		comparison.isFastEnough &&
		comparison.isStageFast
	);
}

/** Whether the target is rather bad, when no more evidence is to come. */
export function isRatherBad({mildBadness, isMostLikelySlow}: Comparison): boolean {
	return isMostLikelySlow || mildBadness > endBadness;
}

/** Describes the evidence for operators. */
export function figuresOf({mildBadness, mildGoodness, slowness}: Comparison): string {
	const ratio = slowness === undefined ? 'unknown' : slowness.toFixed(2);
	return `log ratios of failures ${mildGoodness.toFixed(1)} good, ${mildBadness.toFixed(1)} bad, run time ratio ${ratio}`;
}

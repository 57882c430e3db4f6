import {type EvidenceSum} from './rollout-evidence.js';

/** Multiple of the expected calls in progress from which on a version is too slow; 2 is a bad ratio. */
const badRatio = 2;
/** Standard errors of the number of calls in progress. */
const errors = 3;

/**
 * Whether a version has many more calls in progress than the old version's run times explain (Little's law).
 * Runs that are still going on aren't part of the run times, so a version that has just turned slow shows only
 * by its calls in progress.
 *
 * @param dispatched - calls dispatched to the version in the last `spanMs` milliseconds.
 */
export function isCongested(
	inProgress: number,
	{dispatched, spanMs}: {readonly dispatched: number; readonly spanMs: number},
	older: EvidenceSum,
): boolean {
	const expected = (dispatched / Math.max(1, spanMs)) * meanRunMs(older);
	return inProgress > badRatio * expected + errors * Math.sqrt(badRatio * expected) + 1;
}

/** Estimates the mean run time in milliseconds, for run times with a logarithmic normal distribution. */
function meanRunMs({routes}: EvidenceSum): number {
	let all = 0;
	let sum = 0;
	for (const {runs, failures, logSum, logSquareSum} of routes.values()) {
		const successes = runs - failures;
		if (successes > 0) {
			const mean = logSum / successes;
			const variance = Math.max(0, logSquareSum / successes - mean ** 2);
			sum += successes * Math.exp(mean + variance / 2);
			all += successes;
		}
	}

	return all === 0 ? 0 : sum / all;
}

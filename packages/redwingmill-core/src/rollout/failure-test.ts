/** Failure shares above the old version's that the test looks for. */
const alternatives = [0.05, 0.2, 0.6] as const;
/** Lowest failure share that is taken for the old version's; below it a ratio of shares means little. */
const lowestShare = 0.001;
/** Runs at the lowest share that are assumed before the first one, so that one failure of few runs weighs little. */
const priorRuns = 100;
const highestShare = 0.95;

/** Number of tests that a {@link FailureTest} does at once. */
export const failureAlternatives = alternatives.length;

/** Counts of runs, and of those that failed. */
export type FailureCounts = {readonly runs: number; readonly failures: number};

/**
 * Sequential test whether a version fails more often than another: the logarithm of the likelihood ratio of
 * "fails by one of the alternatives more often" to "fails as often". Each excursion above zero of a version
 * that is not worse reaches `h` with a probability of at most exp(-h); excursions start with a failure.
 */
export class FailureTest {
	readonly #excursions: number[] = alternatives.map(() => 0);
	readonly #totals: number[] = alternatives.map(() => 0);

	/** Evidence that the version fails too often, now or since some time ago: natural logarithm of a ratio. */
	get badness(): number {
		return Math.max(...this.#excursions);
	}

	/** Like `badness`, but for the mildest alternative only. */
	get mildBadness(): number {
		return this.#excursions[0] ?? 0;
	}

	/** Evidence over the whole time against failing by 5 points more often: natural logarithm of a ratio. */
	get mildGoodness(): number {
		return -(this.#totals[0] ?? 0);
	}

	/** Evidence over the whole time against failing by 20 points more often: natural logarithm of a ratio. */
	get goodness(): number {
		return -(this.#totals[1] ?? 0);
	}

	/** Adds runs of the tested version; `share` is the failure share of the other one in the same time. */
	add({runs, failures}: FailureCounts, share: number): void {
		for (const [index, alternative] of alternatives.entries()) {
			const bad = Math.min(highestShare, share + alternative);
			const change =
				failures * Math.log(bad / share) + (runs - failures) * Math.log((1 - bad) / (1 - share));
			this.#excursions[index] = Math.max(0, (this.#excursions[index] ?? 0) + change);
			this.#totals[index] = (this.#totals[index] ?? 0) + change;
		}
	}
}

/** Estimates a failure share, from 0.1 % on; `prior` is the share assumed without runs. */
export function failureShare({runs, failures}: FailureCounts, prior: number = lowestShare): number {
	const share = (failures + priorRuns * prior) / (runs + priorRuns);
	return Math.min(highestShare / 2, Math.max(lowestShare, share));
}

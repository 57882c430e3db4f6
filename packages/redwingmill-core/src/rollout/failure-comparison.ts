import {
	failureAlternatives,
	failureShare,
	FailureTest,
	type FailureCounts,
} from './failure-test.js';
import {type EvidenceSum} from './rollout-evidence.js';

/** Probability of a false rollback by failures, divided among the tests. */
const falseRollbacks = 0.0005;
/** Failures of the old version in the last seconds from which on they count as a disturbance of both. */
const fewestSameTimeFailures = 3;
/** Runs of a route by both versions together, as a part of all, from which on it is required to be good. */
const requiredRoutePart = 0.1;
const allRoutes = '';
const noRuns: FailureCounts = {runs: 0, failures: 0};

/** Runs of the two versions since the order, and of the old one until some moments of the last seconds. */
export type ComparedRuns = {
	readonly newer: EvidenceSum;
	readonly older: EvidenceSum;
	readonly olderBefore: readonly EvidenceSum[];
};

/** Tests whether the target version fails more often than the old one, by route and over all routes. */
export class FailureComparison {
	readonly #tests = new Map<string, FailureTest>();
	readonly #tested = new Map<string, FailureCounts>();
	#stageTest = new FailureTest();

	/** Test over all routes. */
	get whole(): FailureTest {
		return this.#tests.get(allRoutes) ?? new FailureTest();
	}

	/** Test over all routes since the last call of `markStage`. */
	get stage(): FailureTest {
		return this.#stageTest;
	}

	markStage(): void {
		this.#stageTest = new FailureTest();
	}

	/** Takes in the runs since the last call; returns why the target is to be rolled back, if it is. */
	compare(compared: ComparedRuns): string | undefined {
		this.#add(allRoutes, compared.newer, compared.older, compared.olderBefore);
		for (const [group, runs] of compared.newer.routes) {
			const {older, olderBefore} = compared;
			this.#add(
				group,
				runs,
				older.routes.get(group),
				olderBefore.map(({routes}) => routes.get(group) ?? noRuns),
			);
		}

		const threshold = Math.log((this.#tests.size * failureAlternatives) / falseRollbacks);
		for (const [group, {badness}] of this.#tests) {
			if (badness >= threshold) {
				const {runs, failures} = this.#tested.get(group) ?? noRuns;
				const where = group === allRoutes ? 'all routes' : group;
				return `${failures} of ${runs} runs failed on ${where}, log ratio ${badness.toFixed(1)}`;
			}
		}

		return undefined;
	}

	/** Lowest goodness of the routes that make up much of the service's runs. */
	routeGoodness({newer, older}: ComparedRuns): number {
		const all = newer.runs + older.runs;
		let lowest = Number.POSITIVE_INFINITY;
		for (const group of new Set([...newer.routes.keys(), ...older.routes.keys()])) {
			const runs = (newer.routes.get(group)?.runs ?? 0) + (older.routes.get(group)?.runs ?? 0);
			if (runs >= all * requiredRoutePart) {
				lowest = Math.min(lowest, this.#tests.get(group)?.goodness ?? 0);
			}
		}

		return lowest;
	}

	#add(
		key: string,
		newer: FailureCounts,
		counts: FailureCounts | undefined,
		olderBefore: readonly FailureCounts[],
	): void {
		const older = counts ?? noRuns;
		const added = difference(newer, this.#tested.get(key) ?? noRuns);
		if (added.runs <= 0) {
			return;
		}

		const share = comparedShare(
			older,
			olderBefore.map((before) => difference(older, before)),
		);
		const test = this.#tests.get(key) ?? new FailureTest();
		test.add(added, share);
		this.#tests.set(key, test);
		this.#tested.set(key, newer);
		if (key === allRoutes) {
			this.#stageTest.add(added, share);
		}
	}
}

/** Failure share of the old version: over the whole time, or higher if it is disturbed at present. */
function comparedShare(whole: FailureCounts, sameTimes: readonly FailureCounts[]): number {
	const share = failureShare(whole);
	const disturbed = sameTimes
		.filter(({failures}) => failures >= fewestSameTimeFailures)
		.map((each) => failureShare(each, share));
	return Math.max(share, ...disturbed);
}

function difference(now: FailureCounts, before: FailureCounts): FailureCounts {
	return {runs: now.runs - before.runs, failures: now.failures - before.failures};
}

import {type RouteRuns, type WorkerEvidence} from './rollout.js';

/** Ratio of run times, new to old, that is still good; natural logarithm. */
const goodLog = Math.log(1.3);
/** Ratio of run times that is bad; natural logarithm. */
const badLog = Math.log(2);
/** Variance of the logarithm of a host's speed, for speeds spread evenly from 0.6 to 1.6. */
const hostVariance = 0.08;
/** Lowest variance of the logarithm of a run time; the estimate from a few runs may be much too low. */
const lowestRunVariance = 0.04;
/** Variance assumed while there are too few runs to estimate it. */
const assumedRunVariance = 0.5;
/** Runs below which no ratio is estimated. */
const fewestRuns = 8;
/**
 * Standard errors from "good" to a verdict. Host speeds are drawn once, so all looks and routes share their
 * error; the error of the runs is new in each look and route, hence larger.
 */
const hostErrors = 2.33;
const runErrors = 4;
/** Standard errors below "bad" at which a version counts as good. */
const acceptErrors = 2.33;

/** Runs of one worker on some routes. */
export type WorkerRuns = {readonly routes: readonly RouteRuns[]};

/** Estimate of the ratio of run times, new to old. */
export type RunTimeRatio = {
	readonly log: number;
	/** Variances of `log` due to the speed of hosts and to the runs. */
	readonly hostVariance: number;
	readonly runVariance: number;
};

/**
 * Estimates the ratio of the run times of two sets of workers on the given routes. Each worker weighs by the
 * inverse of its variance, which the speed of its host limits: a thousand runs on one host say little about
 * the version. Returns undefined while there are too few runs.
 */
export function runTimeRatio(
	tested: readonly WorkerRuns[],
	others: readonly WorkerRuns[],
	isIncluded: (group: string) => boolean,
): RunTimeRatio | undefined {
	const variance = runVarianceOf(others, isIncluded);
	const means = routeMeans(others, isIncluded, variance);
	const deviations = (workers: readonly WorkerRuns[]) =>
		weigh(
			workers.map(({routes}) => deviationOf(routes, means)),
			variance,
		);
	const newer = deviations(tested);
	const older = deviations(others);
	if (newer.runs < fewestRuns || older.runs < fewestRuns) {
		return undefined;
	}

	return {
		log: newer.mean - older.mean,
		hostVariance: newer.hostVariance + older.hostVariance,
		runVariance: newer.runVariance + older.runVariance,
	};
}

/** Runs of a worker in two successive spans of time. */
export type SuccessiveRuns = {readonly before: WorkerRuns; readonly after: WorkerRuns};

/**
 * Estimates how the run times of workers changed, each compared with itself, so that the speed of its host
 * doesn't matter. Returns undefined while there are too few runs.
 *
 * @param others - workers whose run times tell how much run times vary.
 */
export function runTimeChange(
	workers: readonly SuccessiveRuns[],
	others: readonly WorkerRuns[],
): RunTimeRatio | undefined {
	const variance = runVarianceOf(others, () => true);
	let weights = 0;
	let sum = 0;
	let runs = 0;
	for (const {before, after} of workers) {
		for (const route of after.routes) {
			const earlier = before.routes.find(({group}) => group === route.group);
			const count = route.runs - route.failures;
			const earlierCount = earlier === undefined ? 0 : earlier.runs - earlier.failures;
			if (earlier !== undefined && count > 0 && earlierCount > 0) {
				const weight = 1 / (1 / count + 1 / earlierCount);
				weights += weight;
				sum += weight * (route.logSum / count - earlier.logSum / earlierCount);
				runs += count;
			}
		}
	}

	return runs < fewestRuns
		? undefined
		: {log: sum / weights, hostVariance: 0, runVariance: variance / weights};
}

/** Whether the ratio shows that the version is too slow. */
export function isTooSlow({log, hostVariance: host, runVariance}: RunTimeRatio): boolean {
	return log > goodLog + Math.sqrt(hostErrors ** 2 * host + runErrors ** 2 * runVariance);
}

/** Whether the ratio shows that the version isn't too slow. */
export function isFastEnough({log, hostVariance: host, runVariance}: RunTimeRatio): boolean {
	return log < badLog - acceptErrors * Math.sqrt(host + runVariance);
}

/** Whether "too slow" is more likely than "good", by at least the given number of standard errors. */
export function isRatherSlow(
	{log, hostVariance: host, runVariance}: RunTimeRatio,
	errors: number,
): boolean {
	return log > (goodLog + badLog) / 2 + errors * Math.sqrt(host + runVariance);
}

/** Runs of a worker since an earlier report of it. */
export function runsSince(now: WorkerEvidence, before: WorkerEvidence | undefined): WorkerRuns {
	if (before === undefined) {
		return now;
	}

	const earlier = new Map(before.routes.map((route) => [route.group, route]));
	return {
		routes: now.routes.map((route) => {
			const base = earlier.get(route.group);
			return base === undefined
				? route
				: {
						group: route.group,
						runs: route.runs - base.runs,
						failures: route.failures - base.failures,
						logSum: route.logSum - base.logSum,
						logSquareSum: route.logSquareSum - base.logSquareSum,
					};
		}),
	};
}

type Deviation = {readonly runs: number; readonly mean: number};

function deviationOf(routes: readonly RouteRuns[], means: ReadonlyMap<string, number>): Deviation {
	let runs = 0;
	let sum = 0;
	for (const route of routes) {
		const mean = means.get(route.group);
		const successes = route.runs - route.failures;
		if (mean !== undefined && successes > 0) {
			runs += successes;
			sum += route.logSum - successes * mean;
		}
	}

	return {runs, mean: runs === 0 ? 0 : sum / runs};
}

function weigh(deviations: readonly Deviation[], variance: number) {
	let weights = 0;
	let sum = 0;
	let squares = 0;
	let runSquares = 0;
	let runs = 0;
	for (const each of deviations) {
		if (each.runs > 0) {
			const weight = 1 / (hostVariance + variance / each.runs);
			weights += weight;
			sum += weight * each.mean;
			squares += weight * weight;
			runSquares += (weight * weight) / each.runs;
			runs += each.runs;
		}
	}

	const scale = Math.max(weights, Number.MIN_VALUE);
	return {
		runs,
		mean: sum / scale,
		hostVariance: (hostVariance * squares) / scale ** 2,
		runVariance: (variance * runSquares) / scale ** 2,
	};
}

/** Means of the logarithm of the run time by route, each worker weighing as in {@link runTimeRatio}. */
function routeMeans(
	workers: readonly WorkerRuns[],
	isIncluded: (group: string) => boolean,
	variance: number,
): ReadonlyMap<string, number> {
	const sums = new Map<string, {weight: number; sum: number}>();
	for (const {routes} of workers) {
		for (const {group, runs, failures, logSum} of routes) {
			const successes = runs - failures;
			if (successes > 0 && isIncluded(group)) {
				const weight = 1 / (hostVariance + variance / successes);
				const sum = sums.get(group) ?? {weight: 0, sum: 0};
				sum.weight += weight;
				sum.sum += (weight * logSum) / successes;
				sums.set(group, sum);
			}
		}
	}

	return new Map([...sums].map(([group, {weight, sum}]) => [group, sum / weight]));
}

/** Variance of the logarithm of the run time within a worker and route. */
function runVarianceOf(
	workers: readonly WorkerRuns[],
	isIncluded: (group: string) => boolean,
): number {
	let squares = 0;
	let freedom = 0;
	for (const {routes} of workers) {
		for (const {group, runs, failures, logSum, logSquareSum} of routes) {
			const successes = runs - failures;
			if (successes > 1 && isIncluded(group)) {
				squares += Math.max(0, logSquareSum - logSum ** 2 / successes);
				freedom += successes - 1;
			}
		}
	}

	return freedom < fewestRuns ? assumedRunVariance : Math.max(lowestRunVariance, squares / freedom);
}

import {type RouteRuns} from './rollout.js';

/** Shortest run time in milliseconds that is told from 0, so that its logarithm is finite. */
const shortestRunMs = 0.1;
/** Maximum number of routes. Operators' routes already limit them; this guards against mistakes. */
const maximumRoutes = 5000;

/** A run that ended for no cause outside of the worker. */
export type EndedRun = {
	/** Path of the route. */
	readonly group: string;
	/** Run time in milliseconds. */
	readonly ranMs: number;
	readonly isFailure: boolean;
};

/** Counts the runs of a worker by route, from the order of a rollout on. */
export class RunTally {
	readonly #routes = new Map<string, RouteRuns>();

	/** Cumulative figures of each route that had a run. */
	get routes(): readonly RouteRuns[] {
		return [...this.#routes.values()];
	}

	record({group, ranMs, isFailure}: EndedRun): void {
		const before = this.#routes.get(group);
		if (before === undefined && this.#routes.size >= maximumRoutes) {
			return;
		}

		const {runs, failures, logSum, logSquareSum} = before ?? emptyRuns(group);
		const log = isFailure ? 0 : Math.log(Math.max(shortestRunMs, ranMs));
		this.#routes.set(group, {
			group,
			runs: runs + 1,
			failures: failures + (isFailure ? 1 : 0),
			logSum: logSum + log,
			logSquareSum: logSquareSum + log * log,
		});
	}

	/** Starts again from zero, for another order or another worker process. */
	reset(): void {
		this.#routes.clear();
	}
}

/** Returns the figures of a route without runs. */
export function emptyRuns(group: string): RouteRuns {
	return {group, runs: 0, failures: 0, logSum: 0, logSquareSum: 0};
}

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

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};

/** Counts the runs of a worker by route, from the order of a rollout on. */
export class RunTally {
	readonly #routes = new Map<string, Mutable<RouteRuns>>();

	/** Cumulative figures of each route that had a run. */
	get routes(): readonly RouteRuns[] {
		return [...this.#routes.values()].map((route) => ({...route}));
	}

	record({group, ranMs, isFailure}: EndedRun): void {
		const route = this.#routeOf(group);
		if (route === undefined) {
			return;
		}

		route.runs += 1;
		if (isFailure) {
			route.failures += 1;
			return;
		}

		const log = Math.log(Math.max(shortestRunMs, ranMs));
		route.logSum += log;
		route.logSquareSum += log * log;
	}

	/** Starts again from zero, for another order or another worker process. */
	reset(): void {
		this.#routes.clear();
	}

	/** Returns the figures of a route; undefined for a new one beyond the maximum. */
	#routeOf(group: string): Mutable<RouteRuns> | undefined {
		const known = this.#routes.get(group);
		if (known !== undefined || this.#routes.size >= maximumRoutes) {
			return known;
		}

		const added = {group, runs: 0, failures: 0, logSum: 0, logSquareSum: 0};
		this.#routes.set(group, added);
		return added;
	}
}

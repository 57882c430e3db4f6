import {type RouteRuns} from './rollout.js';

/** A run of a worker. */
export type WorkerRun = {
	/** Path of the route. */
	readonly group: string;
	readonly ranMs: number;
	readonly isFailure: boolean;
};

/** Shortest run time counted, as the logarithm of 0 has no value. */
const minimumRunMs = 0.01;

/** Counts the runs of a worker by route. */
export class RunTally {
	readonly #routes = new Map<string, RouteRuns>();

	/** Counts of each route; the lists of earlier calls don't change. */
	get routes(): readonly RouteRuns[] {
		return [...this.#routes.values()];
	}

	record({group, ranMs, isFailure}: WorkerRun): void {
		const known = this.#routes.get(group) ?? {
			group,
			runs: 0,
			failures: 0,
			logSum: 0,
			logSquareSum: 0,
		};
		const log = isFailure ? 0 : Math.log(Math.max(minimumRunMs, ranMs));
		this.#routes.set(group, {
			group,
			runs: known.runs + 1,
			failures: known.failures + (isFailure ? 1 : 0),
			logSum: known.logSum + log,
			logSquareSum: known.logSquareSum + log * log,
		});
	}
}

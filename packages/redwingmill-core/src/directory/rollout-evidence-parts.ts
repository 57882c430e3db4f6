import {type RouteRuns, type WorkerEvidence} from '../rollout/rollout.js';
import {type VersionTotals} from './rollouts-section.js';

/** Puts together the evidence of workers whose routes arrive in several datagrams. */
export class EvidenceParts {
	readonly #byWorker = new Map<string, WorkerEvidence>();

	/** Merges a part and returns all evidence of its worker. Counts only grow, so the largest is newest. */
	merge(part: WorkerEvidence): WorkerEvidence {
		const key = `${part.node} ${part.incarnation} ${part.worker}`;
		const known = this.#byWorker.get(key);
		if (known === undefined) {
			this.#byWorker.set(key, part);
			return part;
		}

		const routes = new Map<string, RouteRuns>(known.routes.map((runs) => [runs.group, runs]));
		for (const runs of part.routes) {
			if (runs.runs >= (routes.get(runs.group)?.runs ?? 0)) {
				routes.set(runs.group, runs);
			}
		}

		const newest = part.dispatched >= known.dispatched ? part : known;
		const merged = {...newest, routes: [...routes.values()]};
		this.#byWorker.set(key, merged);
		return merged;
	}

	/** Returns the sums over all workers of each version, by version. */
	totals(): VersionTotals[] {
		const evidence = [...this.#byWorker.values()];
		return [...new Set(evidence.map(({version}) => version))]
			.map((version) =>
				totalsOf(
					version,
					evidence.filter((each) => each.version === version),
				),
			)
			.toSorted((a, b) => (a.version < b.version ? -1 : 1));
	}
}

function totalsOf(version: string, evidence: readonly WorkerEvidence[]): VersionTotals {
	let runs = 0;
	let failures = 0;
	let logSum = 0;
	for (const route of evidence.flatMap(({routes}) => routes)) {
		runs += route.runs;
		failures += route.failures;
		logSum += route.logSum;
	}

	const successes = runs - failures;
	const meanMs = successes > 0 ? Math.exp(logSum / successes) : 0;
	const workers = new Set(evidence.map(({worker}) => worker)).size;
	return {version, workers, runs, failures, meanMs};
}

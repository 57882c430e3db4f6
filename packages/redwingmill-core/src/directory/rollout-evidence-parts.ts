import {type RouteRuns, type WorkerEvidence} from '../rollout/rollout.js';

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
}

import {type RouteRuns, type WorkerEvidence} from './rollout.js';

/** Evidence on some workers together, without the identity of a worker. */
export type EvidenceSum = {
	/** Workers with evidence, including those of earlier incarnations of a node. */
	readonly workers: number;
	readonly inProgress: number;
	readonly dispatched: number;
	readonly runs: number;
	readonly failures: number;
	/** By path of the route. */
	readonly routes: ReadonlyMap<string, RouteRuns>;
};

/** How a report relates to the one held of the same worker. */
export const evidenceAges = {newer: 'newer', same: 'same', older: 'older'} as const;
export type EvidenceAge = (typeof evidenceAges)[keyof typeof evidenceAges];

/** Newest evidence of each worker. Reports are cumulative, so loss and duplication don't matter. */
export class RolloutEvidence {
	readonly #workers = new Map<string, WorkerEvidence>();

	/** Newest evidence by worker. The keys are the same for the same worker, and opaque. */
	get workers(): ReadonlyMap<string, WorkerEvidence> {
		return this.#workers;
	}

	/** Versions with evidence. */
	get versions(): ReadonlySet<string> {
		return new Set([...this.#workers.values()].map(({version}) => version));
	}

	/**
	 * Keeps the evidence if it is newer than what is held of the worker, and returns how it relates to it.
	 *
	 * Reports carry no sequence number, and all figures but `inProgress` only grow. Of two reports that
	 * differ in `inProgress` alone, the one received last is kept.
	 */
	apply(evidence: WorkerEvidence): EvidenceAge {
		const key = evidenceKey(evidence);
		const held = this.#workers.get(key);
		const age = held === undefined ? evidenceAges.newer : ageOf(evidence, held);
		if (age === evidenceAges.newer) {
			this.#workers.set(key, evidence);
		}

		return age;
	}

	/** Newest evidence by worker without workers of nodes that have restarted since. */
	present(): ReadonlyMap<string, WorkerEvidence> {
		const incarnations = new Map<string, number>();
		for (const {node, incarnation} of this.#workers.values()) {
			incarnations.set(node, Math.max(incarnation, incarnations.get(node) ?? incarnation));
		}

		return new Map(
			[...this.#workers].filter(
				([, {node, incarnation}]) => incarnation === incarnations.get(node),
			),
		);
	}

	/** Calls dispatched to the workers of a version, or to all workers. */
	dispatched(version?: string): number {
		let dispatched = 0;
		for (const each of this.#workers.values()) {
			if (version === undefined || each.version === version) {
				dispatched += each.dispatched;
			}
		}

		return dispatched;
	}

	/** Sums up the evidence on a version. */
	sumOf(version: string): EvidenceSum {
		return sumEvidence([...this.#workers.values()].filter((each) => each.version === version));
	}
}

/** Identifies the worker process and the start of the node that counts its runs. */
export function evidenceKey({node, incarnation, worker}: WorkerEvidence): string {
	return `${node} ${incarnation} ${worker}`;
}

/** Sums up evidence on different workers. */
export function sumEvidence(evidence: Iterable<WorkerEvidence>): EvidenceSum {
	const routes = new Map<string, Mutable<RouteRuns>>();
	const sum = {workers: 0, inProgress: 0, dispatched: 0, runs: 0, failures: 0};
	for (const each of evidence) {
		sum.workers += 1;
		sum.inProgress += each.inProgress;
		sum.dispatched += each.dispatched;
		for (const route of each.routes) {
			sum.runs += route.runs;
			sum.failures += route.failures;
			addRuns(routes, route);
		}
	}

	return {...sum, routes};
}

type Mutable<T> = {-readonly [Key in keyof T]: T[Key]};

function addRuns(routes: Map<string, Mutable<RouteRuns>>, added: RouteRuns): void {
	const sum = routes.get(added.group);
	if (sum === undefined) {
		routes.set(added.group, {...added});
		return;
	}

	sum.runs += added.runs;
	sum.failures += added.failures;
	sum.logSum += added.logSum;
	sum.logSquareSum += added.logSquareSum;
}

function ageOf(evidence: WorkerEvidence, held: WorkerEvidence): EvidenceAge {
	const runs = runsOf(evidence);
	const heldRuns = runsOf(held);
	if (evidence.dispatched < held.dispatched || runs < heldRuns) {
		return evidenceAges.older;
	}

	const isSame =
		evidence.dispatched === held.dispatched &&
		runs === heldRuns &&
		evidence.inProgress === held.inProgress;
	return isSame ? evidenceAges.same : evidenceAges.newer;
}

function runsOf({routes}: WorkerEvidence): number {
	let runs = 0;
	for (const route of routes) {
		runs += route.runs;
	}

	return runs;
}

import {type RouteRuns, type WorkerEvidence} from './rollout.js';
import {emptyRuns} from './run-tally.js';

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

	/** Sums up the evidence on the workers that `isIncluded` accepts. */
	sum(isIncluded: (evidence: WorkerEvidence) => boolean): EvidenceSum {
		return sumEvidence([...this.#workers.values()].filter((each) => isIncluded(each)));
	}

	/** Sums up the evidence on a version. */
	sumOf(version: string): EvidenceSum {
		return this.sum((each) => each.version === version);
	}
}

/** Identifies the worker process and the start of the node that counts its runs. */
export function evidenceKey({node, incarnation, worker}: WorkerEvidence): string {
	return `${node} ${incarnation} ${worker}`;
}

/** Sums up evidence on different workers. */
export function sumEvidence(evidence: readonly WorkerEvidence[]): EvidenceSum {
	const routes = new Map<string, RouteRuns>();
	const sum = {workers: 0, inProgress: 0, dispatched: 0, runs: 0, failures: 0};
	for (const each of evidence) {
		sum.workers += 1;
		sum.inProgress += each.inProgress;
		sum.dispatched += each.dispatched;
		for (const route of each.routes) {
			sum.runs += route.runs;
			sum.failures += route.failures;
			routes.set(route.group, addRuns(routes.get(route.group) ?? emptyRuns(route.group), route));
		}
	}

	return {...sum, routes};
}

function addRuns(a: RouteRuns, b: RouteRuns): RouteRuns {
	return {
		group: a.group,
		runs: a.runs + b.runs,
		failures: a.failures + b.failures,
		logSum: a.logSum + b.logSum,
		logSquareSum: a.logSquareSum + b.logSquareSum,
	};
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

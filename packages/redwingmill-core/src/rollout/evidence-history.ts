import {type WorkerEvidence} from './rollout.js';

const snapshotMs = 500;

/** Evidence by worker at some time. */
export type EvidenceSnapshot = {
	readonly at: number;
	readonly workers: ReadonlyMap<string, WorkerEvidence>;
};

/** Keeps earlier states of the evidence, so that versions are compared over a recent time. */
export class EvidenceHistory {
	readonly #keptMs: number;
	#snapshots: EvidenceSnapshot[] = [];

	/** @param keptMs - time for which states are kept. */
	constructor(keptMs: number) {
		this.#keptMs = keptMs;
	}

	/** Keeps the state if the last one is old enough. */
	add(workers: ReadonlyMap<string, WorkerEvidence>, now: number): void {
		const last = this.#snapshots.at(-1);
		if (last === undefined || now - last.at >= snapshotMs) {
			this.#snapshots.push({at: now, workers: new Map(workers)});
			this.#snapshots = this.#snapshots.filter(({at}) => now - at <= this.#keptMs + snapshotMs);
		}
	}

	/** Returns the newest state that is at least `ageMs` old; undefined if there is none. */
	before(ageMs: number, now: number): EvidenceSnapshot | undefined {
		return this.#snapshots.findLast(({at}) => now - at >= ageMs);
	}
}

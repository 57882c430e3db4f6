import {type WorkerEvidence} from './rollout.js';

/** Gates report changes every 250 ms, so a longer time without a change means that nothing happened. */
const quietMs = 300;
/** Gates repeat an unchanged report every second. One that doesn't may be cut off, with calls running. */
const silentMs = 1600;
/** Time after which a silent worker is taken for lost, if nearly all others report. */
const lostMs = 5000;
/** Part of the workers that may be lost. More of them at once are rather cut off. */
const highestLostPart = 0.1;

/** Detects when the workers of the old version have nothing to do any more. */
export class DrainDetector {
	readonly #heardAt = new Map<string, number>();
	#changedAt: number | undefined;

	/** Records that a worker of the old version reported, under its key, and whether the report was new. */
	onEvidence(key: string, isNew: boolean, now: number): void {
		this.#heardAt.set(key, now);
		if (isNew) {
			this.#changedAt = now;
		}
	}

	/** Whether the given workers report, except for few that are lost. False if there are none. */
	isHeard(workers: ReadonlyMap<string, WorkerEvidence>, now: number): boolean {
		const silences = [...workers.keys()].map((key) => this.#silentForMs(key, now));
		const lost = silences.filter((silentForMs) => silentForMs > lostMs).length;
		return (
			workers.size > 0 &&
			lost <= workers.size * highestLostPart &&
			silences.every((silentForMs) => silentForMs <= silentMs || silentForMs > lostMs)
		);
	}

	/** Whether the given workers report and have had nothing in progress and no new calls for some time. */
	isDrained(workers: ReadonlyMap<string, WorkerEvidence>, now: number): boolean {
		const isIdle = [...workers].every(
			([key, {inProgress}]) => inProgress === 0 || this.#silentForMs(key, now) > lostMs,
		);
		const isQuiet = this.#changedAt !== undefined && now - this.#changedAt >= quietMs;
		return isIdle && isQuiet && this.isHeard(workers, now);
	}

	#silentForMs(key: string, now: number): number {
		return now - (this.#heardAt.get(key) ?? Number.NEGATIVE_INFINITY);
	}
}

import {pickIntervalOf} from './rank-queue.js';

/**
 * Chooses between ranks: the most urgent, except that each other one is guaranteed a share of the picks by
 * its position among all ranks. Ranks with the same share take turns.
 */
export class IntervalPicker {
	readonly #guaranteedAt = new Map<number, number>();
	#picks = 0;

	/**
	 * @param ranks - all ranks, most urgent first.
	 * @returns undefined if nothing waits.
	 */
	choose(ranks: readonly number[], hasItems: (rank: number) => boolean): number | undefined {
		this.#picks += 1;
		const waiting = ranks
			.map((rank, position) => ({rank, intervalPicks: pickIntervalOf(position)}))
			.filter(({rank}) => hasItems(rank));
		const guaranteed = waiting.filter(
			({intervalPicks}) => intervalPicks > 1 && this.#picks % intervalPicks === 0,
		);
		const [first] = guaranteed.toSorted(
			(a, b) =>
				b.intervalPicks - a.intervalPicks || this.#lastGuaranteed(a) - this.#lastGuaranteed(b),
		);
		if (first) {
			this.#guaranteedAt.set(first.rank, this.#picks);
		}

		return (first ?? waiting.at(0))?.rank;
	}

	#lastGuaranteed({rank}: {readonly rank: number}): number {
		return this.#guaranteedAt.get(rank) ?? 0;
	}
}

/** Waiting item and its sort key within the rank. */
type Entry<Item> = {
	readonly item: Item;
	/** Monotonic milliseconds by which the item should be done. */
	readonly dueAt: number;
};

/**
 * Every n-th pick goes to a rank even while more urgent items wait; n is 1, 4, 16, 16, ... for ranks
 * 0, 1, 2, 3, ... This keeps lower ranks from starving.
 */
const pickIntervalBase = 4;
const maximumPickIntervalExponent = 2;

/**
 * Priority queue: items are ordered by rank, 0 being the most urgent, and within a rank by due time.
 * Lower ranks have a guaranteed share of the picks and of the capacity.
 */
export class RankQueue<Item> {
	readonly #waiting = new Map<number, Array<Entry<Item>>>();
	/** Ranks that have had items, most urgent first. */
	#ranks: readonly number[] = [];
	#picks = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Most urgent rank that has had items; undefined if there were none. */
	get mostUrgentRank(): number | undefined {
		return this.#ranks.at(0);
	}

	/** Whether an item of the most urgent rank waits. */
	get hasMostUrgent(): boolean {
		const [rank] = this.#ranks;
		return rank !== undefined && this.#entriesOf(rank).length > 0;
	}

	/** Yields the items that precede a new one of this rank that is due at `dueAt`. */
	*ahead(rank: number, dueAt: number): Generator<Item> {
		for (const each of this.#ranks) {
			for (const entry of each <= rank ? this.#entriesOf(each) : []) {
				if (each < rank || entry.dueAt <= dueAt) {
					yield entry.item;
				}
			}
		}
	}

	/**
	 * Adds an item.
	 *
	 * @param dueAt - sort key within the rank, in monotonic milliseconds.
	 */
	add(item: Item, rank: number, dueAt: number): void {
		const entries = this.#entriesOf(rank);
		let index = entries.length;
		while (index > 0 && entries[index - 1].dueAt > dueAt) {
			index -= 1;
		}

		entries.splice(index, 0, {item, dueAt});
		this.#size += 1;
	}

	/** Removes and returns the next item. */
	pick(): Item | undefined {
		this.#picks += 1;
		const waiting = this.#ranks.filter((rank) => this.#entriesOf(rank).length > 0);
		const rank = waiting.findLast((each) => this.#picks % pickIntervalOf(each) === 0) ?? waiting[0];
		return rank === undefined ? undefined : this.#shift(rank);
	}

	/** Whether an item may be added: there is room, or its rank hasn't used up its reserved share. */
	hasRoom(rank: number, capacity: number): boolean {
		return this.#size < capacity || this.#entriesOf(rank).length < reserveOf(rank, capacity);
	}

	/**
	 * Makes room for an item of `rank`: removes and returns the item due last in the least urgent rank
	 * that is less urgent than `rank` and exceeds its reserved share; undefined when there is none.
	 */
	displace(rank: number, capacity: number): Item | undefined {
		const lower = this.#ranks.findLast(
			(each) => each > rank && this.#entriesOf(each).length > reserveOf(each, capacity),
		);
		const entry = lower === undefined ? undefined : this.#entriesOf(lower).pop();
		this.#size -= entry ? 1 : 0;
		return entry?.item;
	}

	/** Removes and returns every item for which `isSelected` holds. */
	removeWhere(isSelected: (item: Item) => boolean): Item[] {
		const removed: Item[] = [];
		for (const [rank, entries] of this.#waiting) {
			const selected = entries.filter(({item}) => isSelected(item));
			if (selected.length > 0) {
				this.#waiting.set(
					rank,
					entries.filter((entry) => !selected.includes(entry)),
				);
				removed.push(...selected.map(({item}) => item));
			}
		}

		this.#size -= removed.length;
		return removed;
	}

	#shift(rank: number): Item | undefined {
		this.#size -= 1;
		return this.#entriesOf(rank).shift()?.item;
	}

	#entriesOf(rank: number): Array<Entry<Item>> {
		const known = this.#waiting.get(rank);
		if (known) {
			return known;
		}

		const entries: Array<Entry<Item>> = [];
		this.#waiting.set(rank, entries);
		this.#ranks = [...this.#waiting.keys()].toSorted((a, b) => a - b);
		return entries;
	}
}

/** Returns n for the rank whose every n-th pick is guaranteed, see {@link RankQueue}. */
export function pickIntervalOf(rank: number): number {
	return pickIntervalBase ** Math.min(maximumPickIntervalExponent, Math.max(0, rank));
}

/** Returns the capacity reserved for a rank: all of it for rank 0, then a quarter, an eighth, ... */
export function reserveOf(rank: number, capacity: number): number {
	return Math.max(1, Math.floor(rank <= 0 ? capacity : capacity / 2 ** (rank + 1)));
}

/** One waiting item with what orders it. */
type Entry<Item> = {
	readonly item: Item;
	/** Monotonic milliseconds by which the item should be done. */
	readonly dueAt: number;
};

/** Of this many picks, one goes to a rank even when more urgent items wait: 1, 4, 16, 16, ... */
const guaranteeBase = 4;
const maximumGuaranteeExponent = 2;

/**
 * Waiting items by rank, 0 being the most urgent; within a rank, the one due first goes first. Lower
 * ranks have a guaranteed share of the picks and of the room.
 */
export class RankQueue<Item> {
	readonly #waiting = new Map<number, Array<Entry<Item>>>();
	/** Ranks seen so far, most urgent first. */
	#ranks: readonly number[] = [];
	#picks = 0;
	#size = 0;

	get size(): number {
		return this.#size;
	}

	/** Items that go before a new one of this rank, due at `dueAt`. */
	*ahead(rank: number, dueAt: number): Generator<Item> {
		for (const each of this.#ranks) {
			for (const entry of each <= rank ? this.#entriesOf(each) : []) {
				if (each < rank || entry.dueAt <= dueAt) {
					yield entry.item;
				}
			}
		}
	}

	/** @param dueAt - monotonic milliseconds. */
	add(item: Item, rank: number, dueAt: number): void {
		const entries = this.#entriesOf(rank);
		let index = entries.length;
		while (index > 0 && entries[index - 1].dueAt > dueAt) {
			index -= 1;
		}

		entries.splice(index, 0, {item, dueAt});
		this.#size += 1;
	}

	/** Takes the item to run next. */
	pick(): Item | undefined {
		this.#picks += 1;
		const waiting = this.#ranks.filter((rank) => this.#entriesOf(rank).length > 0);
		const rank = waiting.findLast((each) => this.#picks % guaranteeOf(each) === 0) ?? waiting[0];
		return rank === undefined ? undefined : this.#shift(rank);
	}

	/** Whether an item may wait: there is room, or its rank hasn't got its own share of it yet. */
	hasRoom(rank: number, bound: number): boolean {
		return this.#size < bound || this.#entriesOf(rank).length < reserveOf(rank, bound);
	}

	/** Takes out the item due last of the lowest rank below `rank`, to make room. */
	displace(rank: number, bound: number): Item | undefined {
		const lower = this.#ranks.findLast(
			(each) => each > rank && this.#entriesOf(each).length > reserveOf(each, bound),
		);
		const entry = lower === undefined ? undefined : this.#entriesOf(lower).pop();
		this.#size -= entry ? 1 : 0;
		return entry?.item;
	}

	/** Takes out every item that `isTaken` selects. */
	removeWhere(isTaken: (item: Item) => boolean): Item[] {
		const taken: Item[] = [];
		for (const [rank, entries] of this.#waiting) {
			const selected = entries.filter(({item}) => isTaken(item));
			if (selected.length > 0) {
				this.#waiting.set(
					rank,
					entries.filter((entry) => !selected.includes(entry)),
				);
				taken.push(...selected.map(({item}) => item));
			}
		}

		this.#size -= taken.length;
		return taken;
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

function guaranteeOf(rank: number): number {
	return guaranteeBase ** Math.min(maximumGuaranteeExponent, Math.max(0, rank));
}

/** Places of the queue that other ranks can't take from a rank: all, a quarter, an eighth, ... */
function reserveOf(rank: number, bound: number): number {
	return Math.max(1, Math.floor(rank <= 0 ? bound : bound / 2 ** (rank + 1)));
}

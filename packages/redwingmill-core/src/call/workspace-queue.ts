import {FairLevel, type FairPlace} from './fair-level.js';
import {IntervalPicker} from './interval-picker.js';
import {reserveOf} from './rank-queue.js';
import {ServedShares} from './served-shares.js';

/** Where an item belongs. */
export type WorkspacePlace = FairPlace & {
	/** Rank of the workspace; 0 is the most urgent. */
	readonly rank: number;
	/** Rank of the route; 0 is the most urgent. */
	readonly routeRank: number;
};

/** The items of all workspaces of one rank. */
type Rank<Item> = {
	/** By the rank of the route. */
	readonly levels: Map<number, FairLevel<Item>>;
	/** Ranks of routes that have had items, most urgent first. */
	routeRanks: readonly number[];
	readonly picker: IntervalPicker;
	readonly shares: ServedShares;
};

/**
 * Priority queue of items of workspaces: ordered by the rank of the workspace, then of the route, with a
 * fair share between the workspaces of one rank. Ranks may be any numbers; the shares that lower ones are
 * guaranteed of the picks and of the capacity derive from their positions among those that have occurred.
 */
export class WorkspaceQueue<Item> {
	readonly #costOf: (item: Item) => number;
	readonly #byRank = new Map<number, Rank<Item>>();
	readonly #picker = new IntervalPicker();
	/** Ranks that have had items, most urgent first. */
	#ranks: readonly number[] = [];
	#size = 0;

	/** @param costOf - expected run time of an item in milliseconds. */
	constructor(costOf: (item: Item) => number) {
		this.#costOf = costOf;
	}

	get size(): number {
		return this.#size;
	}

	/** Whether an item of the most urgent level waits. */
	get hasMostUrgent(): boolean {
		const first = this.#byRank.get(this.#ranks[0]);
		return (first?.levels.get(first.routeRanks[0])?.size ?? 0) > 0;
	}

	/** Whether no item has been more urgent than one at this place. */
	isMostUrgent(place: WorkspacePlace): boolean {
		const rank = this.#ranks.at(0) ?? place.rank;
		const routeRank = this.#byRank.get(rank)?.routeRanks.at(0) ?? place.routeRank;
		return place.rank < rank || (place.rank === rank && place.routeRank <= routeRank);
	}

	/** Yields the items that are expected to be picked before a new one at this place. */
	*ahead(place: WorkspacePlace): Generator<Item> {
		const {rank, routeRank, workspace} = place;
		const isPreferred = workspace !== undefined && this.#isUnderserved(rank, workspace);
		for (const each of this.#levels()) {
			if (each.rank < rank || (each.rank === rank && each.routeRank < routeRank)) {
				yield* each.level.items();
			} else if (each.rank === rank && each.routeRank === routeRank) {
				yield* each.level.ahead(place, isPreferred);
			}
		}
	}

	/** Returns the share of the items picked of its rank that are of a place's workspace; 1 for none. */
	shareOf({rank, workspace}: WorkspacePlace): number {
		return workspace === undefined ? 1 : (this.#byRank.get(rank)?.shares.shareOf(workspace) ?? 1);
	}

	/** Yields all items at levels that are at least as urgent. */
	*upTo({rank, routeRank}: WorkspacePlace): Generator<Item> {
		for (const each of this.#levels()) {
			if (each.rank < rank || (each.rank === rank && each.routeRank <= routeRank)) {
				yield* each.level.items();
			}
		}
	}

	/** Records that an item arrived, whether or not it is added. */
	onAsked({rank, workspace}: WorkspacePlace): void {
		if (workspace !== undefined) {
			this.#rankOf(rank).shares.onAsked(workspace);
		}
	}

	add(item: Item, place: WorkspacePlace): void {
		this.#levelOf(place).add(item, place);
		this.#size += 1;
	}

	/**
	 * Removes and returns the next item.
	 *
	 * @param workspaceOf - returns the workspace that an item belongs to.
	 */
	pick(workspaceOf: (item: Item) => string | undefined): Item | undefined {
		const rank = this.#picker.choose(this.#ranks, (each) => this.#hasItems(each));
		if (rank === undefined) {
			return undefined;
		}

		const {levels, routeRanks, picker, shares} = this.#rankOf(rank);
		const routeRank = picker.choose(routeRanks, (each) => (levels.get(each)?.size ?? 0) > 0);
		const level = routeRank === undefined ? undefined : levels.get(routeRank);
		const item = level?.pick((workspace) => shares.isUnderserved(workspace));
		if (item === undefined) {
			return undefined;
		}

		const workspace = workspaceOf(item);
		if (workspace !== undefined) {
			shares.onServed(workspace);
		}

		this.#size -= 1;
		return item;
	}

	/** Whether an item may be added: there is room, or its level hasn't used up its reserved share. */
	hasRoom(place: WorkspacePlace, capacity: number): boolean {
		return (
			this.#size < capacity ||
			this.#levelOf(place).size < this.#reserveOf(place.rank, place.routeRank, capacity)
		);
	}

	/**
	 * Makes room for an item: removes and returns one of the workspace that holds most of the least urgent
	 * level which exceeds its reserved share. Within its own level, an item only displaces one of a
	 * workspace that holds more than its own would.
	 */
	displace(place: WorkspacePlace, capacity: number): Item | undefined {
		const {rank, routeRank, workspace} = place;
		const lower = [...this.#levels()].findLast(
			(each) =>
				(each.rank > rank || (each.rank === rank && each.routeRank > routeRank)) &&
				each.level.size > this.#reserveOf(each.rank, each.routeRank, capacity),
		);
		const own = this.#levelOf(place);
		const isFewer = workspace !== undefined && own.largestSize > own.sizeOf(workspace) + 1;
		const item = (lower?.level ?? (isFewer ? own : undefined))?.displace();
		this.#size -= item === undefined ? 0 : 1;
		return item;
	}

	/** Removes and returns every item for which `isSelected` holds. */
	removeWhere(isSelected: (item: Item) => boolean): Item[] {
		const removed = [...this.#levels()].flatMap(({level}) => level.removeWhere(isSelected));
		this.#size -= removed.length;
		return removed;
	}

	#isUnderserved(rank: number, workspace: string): boolean {
		return this.#byRank.get(rank)?.shares.isUnderserved(workspace) ?? false;
	}

	#hasItems(rank: number): boolean {
		const {levels} = this.#rankOf(rank);
		return [...levels.values()].some(({size}) => size > 0);
	}

	#reserveOf(rank: number, routeRank: number, capacity: number): number {
		return reserveOf(routeRank, reserveOf(this.#ranks.indexOf(rank), capacity));
	}

	/** Yields the levels that have had items, most urgent first. */
	*#levels(): Generator<{
		readonly rank: number;
		readonly routeRank: number;
		readonly level: FairLevel<Item>;
	}> {
		for (const rank of this.#ranks) {
			const {levels, routeRanks} = this.#rankOf(rank);
			for (const routeRank of routeRanks) {
				yield {rank, routeRank, level: levels.get(routeRank)!};
			}
		}
	}

	#rankOf(rank: number): Rank<Item> {
		const known = this.#byRank.get(rank);
		if (known) {
			return known;
		}

		const added: Rank<Item> = {
			levels: new Map(),
			routeRanks: [],
			picker: new IntervalPicker(),
			shares: new ServedShares(),
		};
		this.#byRank.set(rank, added);
		this.#ranks = [...this.#byRank.keys()].toSorted((a, b) => a - b);
		return added;
	}

	#levelOf({rank, routeRank}: WorkspacePlace): FairLevel<Item> {
		const owner = this.#rankOf(rank);
		const known = owner.levels.get(routeRank);
		if (known) {
			return known;
		}

		const level = new FairLevel<Item>(this.#costOf);
		owner.levels.set(routeRank, level);
		owner.routeRanks = [...owner.levels.keys()].toSorted((a, b) => a - b);
		return level;
	}
}

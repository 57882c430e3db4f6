/** Waiting item and its sort key among those of its workspace. */
type Entry<Item> = {
	readonly item: Item;
	/** Monotonic milliseconds by which the item should be done. */
	readonly dueAt: number;
};

/** Items of one workspace. */
type Flow<Item> = {
	/** In the order of their due times. */
	readonly entries: Array<Entry<Item>>;
	/** Virtual time in milliseconds of run time at which the next item starts. */
	startMs: number;
};

/** Item that is to be added, as far as its place among the others depends on it. */
export type FairPlace = {
	/** Absent for items that belong to no workspace; these have no share of their own to exceed. */
	readonly workspace?: string;
	/** Monotonic milliseconds by which the item should be done. */
	readonly dueAt: number;
};

/** Runs by which a workspace may be ahead of the others while its due times still count. */
const slackRuns = 2;
/** Runs that a workspace can be charged in advance at most, so that an earlier load isn't held against it long. */
const maximumLeadRuns = 16;

/**
 * Items of one rank, shared fairly between workspaces: start-time fair queueing by expected run time, and
 * by due time among the workspaces that aren't ahead of their share.
 */
export class FairLevel<Item> {
	readonly #costOf: (item: Item) => number;
	readonly #flows = new Map<string | undefined, Flow<Item>>();
	#virtualMs = 0;
	#size = 0;

	/** @param costOf - expected run time of an item in milliseconds. */
	constructor(costOf: (item: Item) => number) {
		this.#costOf = costOf;
	}

	get size(): number {
		return this.#size;
	}

	/** Number of waiting items of the workspace that has most of them. */
	get largestSize(): number {
		return Math.max(0, ...[...this.#flows.values()].map(({entries}) => entries.length));
	}

	sizeOf(workspace: string | undefined): number {
		return this.#flows.get(workspace)?.entries.length ?? 0;
	}

	/** Yields all waiting items. */
	*items(): Generator<Item> {
		for (const {entries} of this.#flows.values()) {
			for (const {item} of entries) {
				yield item;
			}
		}
	}

	/**
	 * Yields the items that are expected to be picked before a new one at this place.
	 *
	 * @param isPreferred - whether its workspace precedes the others, whatever its share.
	 */
	*ahead({workspace, dueAt}: FairPlace, isPreferred: boolean): Generator<Item> {
		let startMs = this.#startOf(workspace);
		for (const entry of this.#flows.get(workspace)?.entries ?? []) {
			if (entry.dueAt > dueAt) {
				break;
			}

			startMs += workspace === undefined ? 0 : this.#costOf(entry.item);
			yield entry.item;
		}

		for (const [other, {entries}] of isPreferred ? [] : this.#flows) {
			let otherMs = this.#startOf(other);
			for (const entry of other === workspace ? [] : entries) {
				const costMs = this.#costOf(entry.item);
				const isPreceding =
					otherMs + slackRuns * costMs < startMs ||
					(otherMs <= startMs + slackRuns * costMs && entry.dueAt <= dueAt);
				if (!isPreceding) {
					break;
				}

				otherMs += other === undefined ? 0 : costMs;
				yield entry.item;
			}
		}
	}

	add(item: Item, {workspace, dueAt}: FairPlace): void {
		const flow = this.#flowOf(workspace);
		const {entries} = flow;
		let index = entries.length;
		while (index > 0 && entries[index - 1].dueAt > dueAt) {
			index -= 1;
		}

		entries.splice(index, 0, {item, dueAt});
		this.#size += 1;
	}

	/**
	 * Removes and returns the next item.
	 *
	 * @param isPreferred - whether a workspace precedes the others, whatever its share.
	 */
	pick(isPreferred: (workspace: string) => boolean): Item | undefined {
		const waiting = [...this.#flows.keys()].filter((workspace) => this.sizeOf(workspace) > 0);
		if (waiting.length === 0) {
			return undefined;
		}

		const earliestMs = Math.min(...waiting.map((workspace) => this.#startOf(workspace)));
		const preferred = waiting.filter(
			(workspace) => workspace !== undefined && isPreferred(workspace),
		);
		const eligible = waiting.filter((workspace) => {
			const [head] = this.#flows.get(workspace)!.entries;
			return this.#startOf(workspace) <= earliestMs + slackRuns * this.#costOf(head.item);
		});
		const next = earliestDue(
			preferred.length > 0 ? preferred : eligible,
			(workspace) => this.#flows.get(workspace)!.entries[0].dueAt,
		);
		this.#virtualMs = Math.max(this.#virtualMs, earliestMs);
		this.#forgetIdle();
		return this.#take(next);
	}

	/** Removes and returns the item due last of the workspace that has most items. */
	displace(): Item | undefined {
		const {largestSize} = this;
		const flow = [...this.#flows.values()].find(({entries}) => entries.length === largestSize);
		const entry = flow?.entries.pop();
		this.#size -= entry ? 1 : 0;
		return entry?.item;
	}

	/** Removes and returns every item for which `isSelected` holds. */
	removeWhere(isSelected: (item: Item) => boolean): Item[] {
		const removed: Item[] = [];
		for (const {entries} of this.#flows.values()) {
			const kept = entries.filter(({item}) => !isSelected(item));
			if (kept.length < entries.length) {
				removed.push(...entries.map(({item}) => item).filter((item) => isSelected(item)));
				entries.splice(0, entries.length, ...kept);
			}
		}

		this.#size -= removed.length;
		return removed;
	}

	#startOf(workspace: string | undefined): number {
		const startMs = workspace === undefined ? undefined : this.#flows.get(workspace)?.startMs;
		return Math.max(this.#virtualMs, startMs ?? 0);
	}

	#flowOf(workspace: string | undefined): Flow<Item> {
		const known = this.#flows.get(workspace);
		if (known) {
			return known;
		}

		const flow: Flow<Item> = {entries: [], startMs: this.#virtualMs};
		this.#flows.set(workspace, flow);
		return flow;
	}

	#take(workspace: string | undefined): Item | undefined {
		const flow = this.#flowOf(workspace);
		const startMs = this.#startOf(workspace);
		const entry = flow.entries.shift();
		if (entry === undefined) {
			return undefined;
		}

		const costMs = this.#costOf(entry.item);
		flow.startMs = Math.min(startMs + costMs, this.#virtualMs + maximumLeadRuns * costMs);
		this.#size -= 1;
		return entry.item;
	}

	/** Forgets workspaces that have no items and aren't ahead of their share. */
	#forgetIdle(): void {
		for (const [workspace, {entries, startMs}] of this.#flows) {
			if (entries.length === 0 && (workspace === undefined || startMs <= this.#virtualMs)) {
				this.#flows.delete(workspace);
			}
		}
	}
}

function earliestDue(
	workspaces: ReadonlyArray<string | undefined>,
	dueAtOf: (workspace: string | undefined) => number,
): string | undefined {
	let [best] = workspaces;
	for (const workspace of workspaces) {
		best = dueAtOf(workspace) < dueAtOf(best) ? workspace : best;
	}

	return best;
}

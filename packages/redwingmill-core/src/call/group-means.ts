const smoothing = 0.1;
/** Maximum number of groups. Operators' routes already limit them; this guards against mistakes. */
const maximumGroups = 5000;

/** Moving averages of a property of calls, such as the run time, by group of similar calls. */
export class GroupMeans {
	readonly #initial: number;
	readonly #groups = new Map<string, number>();
	#mean: number | undefined;

	/** @param initial - value assumed until the first one is recorded. */
	constructor(initial: number) {
		this.#initial = initial;
	}

	/** Mean over all groups. */
	get mean(): number {
		return this.#mean ?? this.#initial;
	}

	/** Highest mean of any group. */
	get highest(): number {
		return Math.max(this.mean, ...this.#groups.values());
	}

	/** Returns the mean of a group, or the mean over all while the group has none. */
	expected(group: string): number {
		return this.#groups.get(group) ?? this.mean;
	}

	record(group: string, value: number): void {
		this.#mean = smoothed(this.#mean, value);
		if (this.#groups.has(group) || this.#groups.size < maximumGroups) {
			this.#groups.set(group, smoothed(this.#groups.get(group), value));
		}
	}

	/** Discards all recorded values, for a new worker instance. */
	reset(): void {
		this.#groups.clear();
		this.#mean = undefined;
	}
}

function smoothed(mean: number | undefined, value: number): number {
	return mean === undefined ? value : mean + smoothing * (value - mean);
}

const smoothing = 0.1;
/** Groups kept; the operators' routes bound them, so this only guards against mistakes. */
const maximumGroups = 5000;

/** Moving means of a figure of calls, such as their run time, by group of similar calls. */
export class GroupMeans {
	readonly #initial: number;
	readonly #groups = new Map<string, number>();
	#mean: number | undefined;

	/** @param initial - assumed until the first call of any group. */
	constructor(initial: number) {
		this.#initial = initial;
	}

	/** Mean over all groups. */
	get mean(): number {
		return this.#mean ?? this.#initial;
	}

	/** Mean of the group that has the highest. */
	get highest(): number {
		return Math.max(this.mean, ...this.#groups.values());
	}

	/** Mean of a group, or that of all while the group is unknown. */
	expected(group: string): number {
		return this.#groups.get(group) ?? this.mean;
	}

	record(group: string, value: number): void {
		this.#mean = smoothed(this.#mean, value);
		if (this.#groups.has(group) || this.#groups.size < maximumGroups) {
			this.#groups.set(group, smoothed(this.#groups.get(group), value));
		}
	}

	/** Forgets everything; what was measured is gone. */
	reset(): void {
		this.#groups.clear();
		this.#mean = undefined;
	}
}

function smoothed(mean: number | undefined, value: number): number {
	return mean === undefined ? value : mean + smoothing * (value - mean);
}

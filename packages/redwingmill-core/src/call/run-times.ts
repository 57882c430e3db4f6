const smoothing = 0.1;
/** Assumed until the first call of any group has finished. */
const initialRunMs = 20;
/** Groups kept; the operators' routes bound them, so this only guards against mistakes. */
const maximumGroups = 5000;

/** Moving averages of how long a worker runs calls, by group of similar calls. */
export class RunTimes {
	readonly #groups = new Map<string, number>();
	#meanMs: number | undefined;

	/** Mean over all groups, in milliseconds. */
	get meanMs(): number {
		return this.#meanMs ?? initialRunMs;
	}

	/** Expected time of the group that runs longest, in milliseconds. */
	get longestMs(): number {
		return Math.max(this.meanMs, ...this.#groups.values());
	}

	/** Expected time of a call of this group, in milliseconds. */
	expectedMs(group: string): number {
		return this.#groups.get(group) ?? this.meanMs;
	}

	record(group: string, runMs: number): void {
		this.#meanMs = smoothed(this.#meanMs, runMs);
		if (this.#groups.has(group) || this.#groups.size < maximumGroups) {
			this.#groups.set(group, smoothed(this.#groups.get(group), runMs));
		}
	}

	/** Forgets everything; another worker has taken the place. */
	reset(): void {
		this.#groups.clear();
		this.#meanMs = undefined;
	}
}

function smoothed(meanMs: number | undefined, runMs: number): number {
	return meanMs === undefined ? runMs : meanMs + smoothing * (runMs - meanMs);
}

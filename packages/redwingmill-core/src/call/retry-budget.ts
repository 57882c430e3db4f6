/** Retries allowed in any window. */
export type RetryAllowance = {
	/** Retries per first attempt. */
	readonly share: number;
	/** Retries on top, whatever the first attempts were. */
	readonly slack: number;
};

/** Calls counted in one slice of the window. */
type Slice = {
	readonly startedAt: number;
	firstAttempts: number;
	retries: number;
};

const slicesPerWindow = 20;

/**
 * Bounds retries to a share of first attempts in a sliding window. Each node keeps its own budgets
 * from its own calls, so the sum over all nodes is within the share without any exchange between
 * them; the slack is the node's part of what the whole mesh may spend.
 */
export class RetryBudget {
	readonly #windowMs: number;
	#slices: Slice[] = [];

	/** @param windowMs - length of the sliding window, in milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Counts a first attempt. */
	recordFirstAttempt(now: number): void {
		this.#slice(now).firstAttempts += 1;
	}

	/** Takes one retry out of the budget if there is one. */
	tryTake({share, slack}: RetryAllowance, now: number): boolean {
		const slice = this.#slice(now);
		const firsts = this.#slices.reduce((sum, each) => sum + each.firstAttempts, 0);
		const retries = this.#slices.reduce((sum, each) => sum + each.retries, 0);
		if (retries + 1 > share * firsts + slack) {
			return false;
		}

		slice.retries += 1;
		return true;
	}

	#slice(now: number): Slice {
		const windowMs = this.#windowMs;
		const oldest = now - windowMs;
		if (this.#slices.length > 0 && this.#slices[0].startedAt <= oldest) {
			this.#slices = this.#slices.filter(({startedAt}) => startedAt > oldest);
		}

		const last = this.#slices.at(-1);
		if (last && now - last.startedAt < windowMs / slicesPerWindow) {
			return last;
		}

		const slice: Slice = {startedAt: now, firstAttempts: 0, retries: 0};
		this.#slices.push(slice);
		return slice;
	}
}

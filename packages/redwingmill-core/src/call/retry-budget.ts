/** Retries allowed in any sliding window. */
export type RetryAllowance = {
	/** Retries per first attempt. */
	readonly share: number;
	/** Additional retries, regardless of the number of first attempts. */
	readonly slack: number;
};

/**
 * Returns one node's part of the mesh's allowance.
 *
 * @param nodeCount - number of nodes that share the slack; undefined when this node doesn't know it, and
 *   may not use any.
 */
export function allowanceOfNode(
	{share, slack}: RetryAllowance,
	nodeCount: number | undefined,
): RetryAllowance {
	return {share, slack: nodeCount === undefined ? 0 : slack / nodeCount};
}

/** Attempts counted in one slice of the window. */
type Slice = {
	readonly startedAt: number;
	firstAttempts: number;
	retries: number;
};

const slicesPerWindow = 20;

/**
 * Limits retries to a share of first attempts in a sliding window. Each node counts only its own
 * calls, so that the sum over all nodes stays within the share without coordination. The slack is
 * the node's part of the additional retries allowed to the whole mesh.
 */
export class RetryBudget {
	readonly #windowMs: number;
	#slices: Slice[] = [];

	/** @param windowMs - length of the sliding window, in milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	recordFirstAttempt(now: number): void {
		this.#slice(now).firstAttempts += 1;
	}

	/** Counts a retry if the budget allows one; returns whether it does. */
	tryTake({share, slack}: RetryAllowance, now: number): boolean {
		const slice = this.#slice(now);
		const firstAttempts = this.#slices.reduce((sum, each) => sum + each.firstAttempts, 0);
		const retries = this.#slices.reduce((sum, each) => sum + each.retries, 0);
		if (retries + 1 > share * firstAttempts + slack) {
			return false;
		}

		slice.retries += 1;
		return true;
	}

	/** Whether no retry was made within the window, so that nothing is lost by forgetting the budget. */
	isUnusedAt(now: number): boolean {
		return this.#slices.every(
			({startedAt, retries}) => retries === 0 || startedAt <= now - this.#windowMs,
		);
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

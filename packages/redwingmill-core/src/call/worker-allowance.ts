/** Time over which a worker counts the requests that it gets. */
const windowMs = 4000;
/** Time by which requests may come closer together on their way to the worker. */
const transitMs = 200;
/** A worker tolerates this multiple of what its limit allows in a window, and these requests more. */
const toleratedMultiple = 1.5;
const toleratedExtra = 5;
/** Time for whose worth of calls an unused allowance is kept. */
const burstMs = 250;
/**
 * Lowest rate of calls. A worker that takes none still gets a call now and then: only a response shows
 * that it takes calls again.
 */
const minimumPerSecond = 0.5;
const msPerSecond = 1000;
/** Share of the tokens that can be saved, beyond the one that a call needs. */
const reservedShare = 0.5;
/** Tolerance for rounding in the count of tokens. */
const epsilon = 1e-9;

/** What is left of the calls that a worker takes, as its gate reports it. */
export type Allowance = {
	/** Calls a second. */
	readonly perSecond: number;
	/**
	 * Milliseconds until a new call of the lowest rank may be sent; below 0 by as long as it took to save
	 * what is left.
	 */
	readonly waitMs: number;
};

/**
 * Spaces the calls to a worker that limits them: a token bucket that holds little, so that no 4 s see much
 * more than the limit allows. After a limit was lowered, the calls of the last 4 s count against the new
 * one as well. Without a limit, any call may be sent at once.
 */
export class WorkerAllowance {
	/** Calls a second, as the worker states it; undefined while there is no limit. */
	#limit: number | undefined;
	#tokens = 0;
	#refilledAt = 0;
	/** When the latest calls were sent, oldest first; undefined for a worker that never had a limit. */
	#sentAt: number[] | undefined;

	get isLimited(): boolean {
		return this.#limit !== undefined;
	}

	/** Calls a second at which tokens are added. */
	get #rate(): number {
		return Math.max(this.#limit ?? 0, minimumPerSecond);
	}

	/** Number of calls that are kept at most while none is sent. */
	get #capacity(): number {
		return 1 + (this.#rate * burstMs) / msPerSecond;
	}

	/**
	 * Sets or lifts the limit. A new one begins without tokens: the worker has just got calls, maybe
	 * from an earlier process of this node.
	 *
	 * @param limit - calls a second; undefined if there is no limit any more.
	 */
	setLimit(limit: number | undefined, now: number): void {
		this.#refill(now);
		this.#tokens = this.#limit === undefined ? 0 : this.#tokens;
		this.#limit = limit;
		if (limit !== undefined) {
			this.#sentAt ??= [];
		}
	}

	/** Begins anew for another worker process. */
	reset(): void {
		this.#limit = undefined;
		this.#sentAt = undefined;
	}

	/**
	 * Share of a call, or one call, that less urgent calls leave over, so that the most urgent ones are sent as
	 * they come. As much as a small limit can save.
	 */
	get reserve(): number {
		return Math.min(1, (this.#capacity - 1) * reservedShare);
	}

	/** Records that a call is sent. */
	record(now: number): void {
		if (this.#sentAt === undefined) {
			return;
		}

		this.#refill(now);
		this.#tokens -= 1;
		this.#forget(now);
		this.#sentAt.push(now);
	}

	/**
	 * Returns the time in milliseconds until a call may be sent; 0 if one may be sent now.
	 *
	 * @param ahead - number of calls that are sent before it, or are to be left over.
	 */
	waitMs(now: number, ahead = 0): number {
		return Math.max(0, this.#signedWaitMs(now, ahead));
	}

	/** @param waiting - number of calls that wait. */
	reportAt(now: number, waiting: number): Allowance | undefined {
		return this.isLimited
			? {perSecond: this.#rate, waitMs: this.#signedWaitMs(now, waiting)}
			: undefined;
	}

	#signedWaitMs(now: number, ahead: number): number {
		const limit = this.#limit;
		if (limit === undefined) {
			return 0;
		}

		this.#refill(now);
		const missing = ahead + 1 - this.#tokens;
		const tokenMs = Math.abs(missing) > epsilon ? (missing / this.#rate) * msPerSecond : 0;
		const windowWaitMs = this.#windowWaitMs(limit, now, ahead);
		return windowWaitMs > 0 ? Math.max(tokenMs, windowWaitMs) : tokenMs;
	}

	/** Returns the time until so few calls are left in the window that another one is tolerated. */
	#windowWaitMs(limit: number, now: number, ahead: number): number {
		this.#forget(now);
		const sentAt = this.#sentAt ?? [];
		const tolerated = Math.floor(
			toleratedMultiple * limit * (windowMs / msPerSecond) + toleratedExtra,
		);
		const excess = sentAt.length + ahead + 1 - tolerated;
		const last = sentAt.at(Math.min(excess, sentAt.length) - 1);
		return excess > 0 && last !== undefined ? last + windowMs + transitMs - now : 0;
	}

	#refill(now: number): void {
		const elapsedMs = Math.max(0, now - this.#refilledAt);
		const tokens = this.#tokens + (elapsedMs / msPerSecond) * this.#rate;
		this.#tokens = Math.min(this.#capacity, tokens);
		this.#refilledAt = now;
	}

	#forget(now: number): void {
		const sentAt = this.#sentAt ?? [];
		const count = sentAt.findIndex((at) => at > now - windowMs - transitMs);
		sentAt.splice(0, count === -1 ? sentAt.length : count);
	}
}

/** Time within which a retry counts as the same call. */
const retentionMs = 3000;
const maximumCalls = 10_000;

/**
 * Retains recently refused calls, so that a caller's retry of the same request is treated as having
 * waited since its first try.
 */
export class RefusedCalls {
	/** Times of the first try and of the last refusal by request, oldest refusal first. */
	readonly #firstTries = new Map<string, {readonly triedAt: number; readonly refusedAt: number}>();

	/**
	 * Records a refusal.
	 *
	 * @param request - identifies the request by its contents.
	 * @param triedAt - time of the caller's first try, in monotonic milliseconds.
	 */
	recordRefusal(request: string, triedAt: number, now: number): void {
		this.#firstTries.delete(request);
		this.#firstTries.set(request, {triedAt, refusedAt: now});
		for (const [oldest, {refusedAt}] of this.#firstTries) {
			if (now - refusedAt <= retentionMs && this.#firstTries.size <= maximumCalls) {
				break;
			}

			this.#firstTries.delete(oldest);
		}
	}

	/** Removes a request and returns the time of its first try: `now` unless it was recently refused. */
	takeFirstTry(request: string, now: number): number {
		const known = this.#firstTries.get(request);
		this.#firstTries.delete(request);
		return known && now - known.refusedAt <= retentionMs ? known.triedAt : now;
	}
}

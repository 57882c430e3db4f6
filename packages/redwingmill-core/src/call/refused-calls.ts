/** How long a refused caller may take to come back. */
const retentionMs = 3000;
const maximumCalls = 10_000;

/**
 * Calls that were refused a short while ago, so that a caller that comes back with the same request
 * is known to have waited already.
 */
export class RefusedCalls {
	/** Time of the first try by request, the one refused longest ago first. */
	readonly #firstTries = new Map<string, {readonly triedAt: number; readonly refusedAt: number}>();

	/**
	 * @param request - names the request by its contents.
	 * @param triedAt - monotonic milliseconds at which the caller first came with it.
	 */
	remember(request: string, triedAt: number, now: number): void {
		this.#firstTries.delete(request);
		this.#firstTries.set(request, {triedAt, refusedAt: now});
		for (const [oldest, {refusedAt}] of this.#firstTries) {
			if (now - refusedAt <= retentionMs && this.#firstTries.size <= maximumCalls) {
				break;
			}

			this.#firstTries.delete(oldest);
		}
	}

	/** Time of the caller's first try: now, unless the request was refused before. Takes the entry out. */
	takeFirstTry(request: string, now: number): number {
		const known = this.#firstTries.get(request);
		this.#firstTries.delete(request);
		return known && now - known.refusedAt <= retentionMs ? known.triedAt : now;
	}
}

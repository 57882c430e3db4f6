/** Token bucket whose capacity and rate change. Times in milliseconds. */
export class LocalBucket {
	tokens: number;
	capacity: number;
	perSecond: number;
	#at: number;

	constructor(
		{
			tokens,
			capacity,
			perSecond,
		}: {readonly tokens: number; readonly capacity: number; readonly perSecond: number},
		now: number,
	) {
		this.tokens = tokens;
		this.capacity = capacity;
		this.perSecond = perSecond;
		this.#at = now;
	}

	take(now: number): boolean {
		this.refill(now);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}

	refill(now: number): void {
		const gained = ((now - this.#at) * this.perSecond) / 1000;
		this.tokens = Math.min(Math.max(this.capacity, this.tokens), this.tokens + gained);
		this.#at = now;
	}
}

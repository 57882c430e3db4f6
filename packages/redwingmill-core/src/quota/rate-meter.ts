/** Moving average of a rate, in events a second. Recent events weigh more, exponentially. */
export class RateMeter {
	readonly #timeConstantMs: number;
	#perSecond = 0;
	#at: number;

	constructor(timeConstantMs: number, now: number) {
		this.#timeConstantMs = timeConstantMs;
		this.#at = now;
	}

	record(events: number, now: number): void {
		this.#perSecond = this.perSecond(now) + (events * 1000) / this.#timeConstantMs;
		this.#at = Math.max(now, this.#at);
	}

	perSecond(now: number): number {
		const elapsedMs = Math.max(0, now - this.#at);
		return this.#perSecond * Math.exp(-elapsedMs / this.#timeConstantMs);
	}
}

type Waiting = {readonly dueAt: number; readonly act: () => void};

/** Acts in the order of arrival, each after its delay or with the one before it. */
export class DelayLine {
	readonly #waiting: Waiting[] = [];

	push(delayMs: number, act: () => void): void {
		if (delayMs === 0 && this.#waiting.length === 0) {
			act();
			return;
		}

		const last = this.#waiting.at(-1);
		this.#waiting.push({dueAt: Math.max(last?.dueAt ?? 0, performance.now() + delayMs), act});
		if (this.#waiting.length === 1) {
			this.#wait();
		}
	}

	#wait(): void {
		const [{dueAt}] = this.#waiting;
		setTimeout(() => {
			this.#waiting.shift()?.act();
			if (this.#waiting.length > 0) {
				this.#wait();
			}
		}, dueAt - performance.now());
	}
}

type PendingAction = {readonly dueAt: number; readonly action: () => void};

/** Acts in the order of arrival, each after its delay or with the one before it. */
export class DelayQueue {
	readonly #pending: PendingAction[] = [];

	push(delayMs: number, act: () => void): void {
		if (delayMs === 0 && this.#pending.length === 0) {
			act();
			return;
		}

		const last = this.#pending.at(-1);
		this.#pending.push({
			dueAt: Math.max(last?.dueAt ?? 0, performance.now() + delayMs),
			action: act,
		});
		if (this.#pending.length === 1) {
			this.#scheduleNext();
		}
	}

	#scheduleNext(): void {
		const [{dueAt}] = this.#pending;
		setTimeout(() => {
			this.#pending.shift()?.action();
			if (this.#pending.length > 0) {
				this.#scheduleNext();
			}
		}, dueAt - performance.now());
	}
}

type PendingAction = {readonly dueAt: number; readonly action: () => void};

/**
 * Runs actions in the order in which they were added, each after its own delay but not before the
 * one ahead of it.
 */
export class DelayQueue {
	readonly #pending: PendingAction[] = [];

	push(delayMs: number, action: () => void): void {
		if (delayMs === 0 && this.#pending.length === 0) {
			action();
			return;
		}

		const last = this.#pending.at(-1);
		this.#pending.push({dueAt: Math.max(last?.dueAt ?? 0, performance.now() + delayMs), action});
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

const sweepIntervalMs = 20;

type Entry = {
	readonly deadlineAt: number;
	readonly onDeadline: () => void;
};

/** Removes a deadline before it passes. Calling it again has no effect. */
export type Disarm = () => void;

/** Tracks the deadlines of many short calls with one timer, which runs only while there are any. */
export class DeadlineTimer {
	readonly #entries = new Set<Entry>();
	#timer: NodeJS.Timeout | undefined;

	/**
	 * Calls `onDeadline` once the deadline has passed, unless it is removed before.
	 *
	 * @param deadlineAt - monotonic milliseconds.
	 */
	arm(deadlineAt: number, onDeadline: () => void): Disarm {
		const entry = {deadlineAt, onDeadline};
		this.#entries.add(entry);
		this.#timer ??= setInterval(() => {
			this.#sweep(performance.now());
		}, sweepIntervalMs);
		return () => {
			this.#entries.delete(entry);
		};
	}

	#sweep(now: number): void {
		for (const entry of this.#entries) {
			if (entry.deadlineAt <= now) {
				this.#entries.delete(entry);
				entry.onDeadline();
			}
		}

		if (this.#entries.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}
}

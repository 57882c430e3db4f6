type Task = {
	readonly at: number;
	/** Rank among tasks due at the same time: the one scheduled first runs first. */
	readonly order: number;
	readonly run: () => void;
};

/** Virtual clock of a simulation: runs tasks in the order of their due times, without waiting. */
export class VirtualClock {
	readonly #tasks: Task[] = [];
	#now = 0;
	#order = 0;

	get now(): number {
		return this.#now;
	}

	/** Schedules a task `delayMs` after the current virtual time. */
	after(delayMs: number, run: () => void): void {
		const task = {at: this.#now + delayMs, order: this.#order, run};
		this.#order += 1;
		this.#insert(task);
	}

	/** Runs tasks until virtual time `at` or until `isDone` holds; returns whether it holds. */
	runUntil(at: number, isDone: () => boolean = () => false): boolean {
		while (this.#tasks.length > 0 && this.#tasks[0].at <= at) {
			const task = this.#tasks.shift();
			if (task) {
				this.#now = task.at;
				task.run();
			}

			if (isDone()) {
				return true;
			}
		}

		this.#now = at;
		return isDone();
	}

	#insert(task: Task): void {
		let low = 0;
		let high = this.#tasks.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			const other = this.#tasks[middle];
			if (other.at < task.at || (other.at === task.at && other.order < task.order)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#tasks.splice(low, 0, task);
	}
}

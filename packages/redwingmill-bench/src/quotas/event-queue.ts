type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** Events of a simulation, in the order of their times; a binary heap, as there are many. */
export class EventQueue {
	readonly #heap: Event[] = [];
	#order = 0;
	#now = 0;

	get now(): number {
		return this.#now;
	}

	/** Schedules an event at a virtual time in milliseconds. */
	at(at: number, run: () => void): void {
		const event = {at: Math.max(at, this.#now), order: this.#order, run};
		this.#order += 1;
		this.#heap.push(event);
		let index = this.#heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(this.#heap[index], this.#heap[parent])) {
				break;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	runUntil(end: number): void {
		while (this.#heap.length > 0 && this.#heap[0].at <= end) {
			const event = this.#take();
			this.#now = event.at;
			event.run();
		}

		this.#now = end;
	}

	#take(): Event {
		const [first] = this.#heap;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#sink();
		}

		return first;
	}

	#sink(): void {
		let index = 0;
		for (;;) {
			let least = index;
			for (const child of [2 * index + 1, 2 * index + 2]) {
				if (child < this.#heap.length && isBefore(this.#heap[child], this.#heap[least])) {
					least = child;
				}
			}

			if (least === index) {
				return;
			}

			this.#swap(index, least);
			index = least;
		}
	}

	#swap(a: number, b: number): void {
		[this.#heap[a], this.#heap[b]] = [this.#heap[b], this.#heap[a]];
	}
}

function isBefore(a: Event, b: Event): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Bounded queue that is read as an asynchronous iterable, for messages to be sent over a link. */
export class MessageQueue<Item> implements AsyncIterable<Item> {
	readonly #capacity: number;
	#items: Item[] = [];
	#isClosed = false;
	#wake: (() => void) | undefined;

	/** @param capacity - maximum number of queued items. */
	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	/** Adds an item. Returns false if the queue is full. */
	push(item: Item): boolean {
		if (this.#items.length >= this.#capacity) {
			return false;
		}

		this.#items.push(item);
		this.#wake?.();
		return true;
	}

	/** Ends the iteration after the queued items. */
	close(): void {
		this.#isClosed = true;
		this.#wake?.();
	}

	async *[Symbol.asyncIterator](): AsyncGenerator<Item> {
		for (;;) {
			const items = this.#items;
			this.#items = [];
			yield* items;
			if (this.#items.length > 0) {
				continue;
			}

			if (this.#isClosed) {
				return;
			}

			await new Promise<void>((resolve) => {
				this.#wake = resolve;
			});
		}
	}
}

/** Messages waiting to be sent over one link, as an asynchronous sequence with a bound. */
export class MessageQueue<Item> implements AsyncIterable<Item> {
	readonly #capacity: number;
	#items: Item[] = [];
	#isClosed = false;
	#wake: (() => void) | undefined;

	/** @param bound - items that may wait. */
	constructor(bound: number) {
		this.#capacity = bound;
	}

	/** Adds an item; returns false when too many wait. */
	push(item: Item): boolean {
		if (this.#items.length >= this.#capacity) {
			return false;
		}

		this.#items.push(item);
		this.#wake?.();
		return true;
	}

	/** Ends the sequence after the items that wait. */
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

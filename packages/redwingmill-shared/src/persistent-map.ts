import {hashOf} from './hash.js';

const bucketCount = 64;

type Bucket<Value> = ReadonlyMap<string, Value>;

/**
 * An immutable map with string keys. Changing some entries copies only the buckets that hold them, so a
 * change costs far less than a copy of the map. Iteration is in an unspecified order.
 */
export class PersistentMap<Value> implements Iterable<readonly [string, Value]> {
	static empty<Value>(): PersistentMap<Value> {
		return new PersistentMap<Value>([], 0);
	}

	readonly size: number;
	/** Sparse; a missing bucket is empty. */
	readonly #buckets: ReadonlyArray<Bucket<Value> | undefined>;

	private constructor(buckets: ReadonlyArray<Bucket<Value> | undefined>, size: number) {
		this.#buckets = buckets;
		this.size = size;
	}

	get(key: string): Value | undefined {
		return this.#buckets[bucketIndexOf(key)]?.get(key);
	}

	has(key: string): boolean {
		return this.#buckets[bucketIndexOf(key)]?.has(key) ?? false;
	}

	/** Returns a map with the entry added or replaced. */
	with(key: string, value: Value): PersistentMap<Value> {
		return this.withAll([[key, value]]);
	}

	/** Returns a map with the entries added or replaced. */
	withAll(entries: Iterable<readonly [string, Value]>): PersistentMap<Value> {
		const buckets: Array<Bucket<Value> | undefined> = [...this.#buckets];
		const copied = new Map<number, Map<string, Value>>();
		let {size} = this;
		for (const [key, value] of entries) {
			const index = bucketIndexOf(key);
			const bucket = copied.get(index) ?? new Map(buckets[index]);
			copied.set(index, bucket);
			buckets[index] = bucket;
			size += bucket.has(key) ? 0 : 1;
			bucket.set(key, value);
		}

		return copied.size === 0 ? this : new PersistentMap(buckets, size);
	}

	/** Returns a map without the keys. */
	without(keys: Iterable<string>): PersistentMap<Value> {
		const buckets = [...this.#buckets];
		let {size} = this;
		for (const key of keys) {
			const index = bucketIndexOf(key);
			const bucket = new Map(buckets[index]);
			size -= bucket.delete(key) ? 1 : 0;
			buckets[index] = bucket;
		}

		return size === this.size ? this : new PersistentMap(buckets, size);
	}

	*[Symbol.iterator](): Iterator<readonly [string, Value]> {
		for (const bucket of this.#buckets) {
			if (bucket) {
				yield* bucket;
			}
		}
	}

	*keys(): Iterable<string> {
		for (const [key] of this) {
			yield key;
		}
	}
}

function bucketIndexOf(key: string): number {
	return hashOf(key) % bucketCount;
}

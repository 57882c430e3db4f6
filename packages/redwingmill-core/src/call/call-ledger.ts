import {type Outcome} from './outcome.js';

/** Final answer to a call. The payload belongs to the transport. */
export type Answer<Payload> = {
	readonly outcome: Outcome;
	readonly payload?: Payload;
	/** Time that the worker ran the call, in milliseconds; absent when it didn't answer. */
	readonly ranMs?: number;
	/** Time after which the caller should come back, when that makes sense. */
	readonly retryAfterMs?: number;
};

/** What a gate remembers of a call. */
export type CallEntry<Payload> =
	| {readonly type: 'open'; readonly admittedAt: number}
	| {
			readonly type: 'done';
			readonly admittedAt: number;
			readonly finishedAt: number;
			readonly answer: Answer<Payload>;
			readonly bytes: number;
	  }
	/** Withdrawn before it arrived; it must never run. */
	| {readonly type: 'tombstone'; readonly admittedAt: number};

/** Bounds of a ledger. */
export type LedgerBounds = {
	readonly retentionMs: number;
	readonly maximumBytes: number;
	readonly maximumEntries: number;
	/** Called for each entry that is no longer kept. */
	readonly onEvicted?: (key: string) => void;
};

/** Bytes counted for an entry besides its payload. */
const entryBytes = 200;

/**
 * Calls that a gate has admitted or refused for good, bounded in time and bytes. It knows up to
 * which admission time entries are gone, so that it never takes a forgotten call for a new one.
 */
export class CallLedger<Payload> {
	readonly #bounds: LedgerBounds;
	readonly #entries = new Map<string, CallEntry<Payload>>();
	/** Keys of finished entries in the order in which they are evicted. */
	readonly #finished = new Map<string, number>();
	#bytes = 0;
	#evictedThrough = Number.NEGATIVE_INFINITY;

	constructor(bounds: LedgerBounds) {
		this.#bounds = bounds;
	}

	get(key: string): CallEntry<Payload> | undefined {
		return this.#entries.get(key);
	}

	/** Whether a call that arrived at `time` or later can't have been forgotten. */
	isCompleteSince(time: number): boolean {
		return time > this.#evictedThrough;
	}

	open(key: string, now: number): void {
		this.#entries.set(key, {type: 'open', admittedAt: now});
	}

	/** Forgets a call that wasn't run, so that it may come again. */
	remove(key: string): void {
		this.#entries.delete(key);
	}

	finish(key: string, answer: Answer<Payload>, payloadBytes: number, now: number): void {
		const admittedAt = this.#entries.get(key)?.admittedAt ?? now;
		const bytes = payloadBytes + entryBytes;
		this.#settle(key, {type: 'done', admittedAt, finishedAt: now, answer, bytes}, bytes, now);
	}

	addTombstone(key: string, now: number): void {
		this.#settle(key, {type: 'tombstone', admittedAt: now}, entryBytes, now);
	}

	/** Evicts entries that are too old or too many. */
	evict(now: number): void {
		for (const [key, finishedAt] of this.#finished) {
			const isOver =
				this.#bytes > this.#bounds.maximumBytes ||
				this.#finished.size > this.#bounds.maximumEntries;
			if (!isOver && now - finishedAt < this.#bounds.retentionMs) {
				return;
			}

			this.#evictEntry(key);
		}
	}

	#settle(key: string, entry: CallEntry<Payload>, bytes: number, now: number): void {
		this.#entries.set(key, entry);
		this.#finished.set(key, now);
		this.#bytes += bytes;
		this.evict(now);
	}

	#evictEntry(key: string): void {
		const entry = this.#entries.get(key);
		this.#finished.delete(key);
		this.#entries.delete(key);
		if (entry) {
			this.#bytes -= entry.type === 'done' ? entry.bytes : entryBytes;
			this.#evictedThrough = Math.max(this.#evictedThrough, entry.admittedAt);
			this.#bounds.onEvicted?.(key);
		}
	}
}

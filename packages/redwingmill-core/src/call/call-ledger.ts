import {type Outcome} from './outcome.js';

/** Final answer to a call. The payload is opaque to the core; the transport defines it. */
export type Answer<Payload> = {
	readonly outcome: Outcome;
	readonly payload?: Payload;
	/** Run time at the worker in milliseconds; absent when the call didn't succeed. */
	readonly ranMs?: number;
	/** Time in milliseconds after which to retry; absent when a retry is pointless. */
	readonly retryAfterMs?: number;
};

/** State of a call in a ledger. */
export type CallEntry<Payload> =
	| {readonly type: 'open'; readonly admittedAt: number}
	| {
			readonly type: 'done';
			readonly admittedAt: number;
			readonly finishedAt: number;
			readonly answer: Answer<Payload>;
			readonly bytes: number;
	  }
	/** The call was withdrawn before it arrived; it must never run. */
	| {readonly type: 'tombstone'; readonly admittedAt: number};

/** Limits of a ledger. */
export type LedgerBounds = {
	readonly retentionMs: number;
	readonly maximumBytes: number;
	readonly maximumEntries: number;
	/** Called with the key of each evicted entry. */
	readonly onEvicted?: (key: string) => void;
};

/** Size counted for an entry besides its payload. */
const entryBytes = 200;

/**
 * Retains the calls that a gate has admitted or finally refused, bounded by age, number and bytes.
 * Tracks up to which admission time entries were evicted, so that an evicted call is never taken
 * for a new one.
 */
export class CallLedger<Payload> {
	readonly #bounds: LedgerBounds;
	readonly #entries = new Map<string, CallEntry<Payload>>();
	/** Times at which calls were finished or withdrawn, by key, oldest first. */
	readonly #finished = new Map<string, number>();
	#bytes = 0;
	#evictedThrough = Number.NEGATIVE_INFINITY;

	constructor(bounds: LedgerBounds) {
		this.#bounds = bounds;
	}

	get(key: string): CallEntry<Payload> | undefined {
		return this.#entries.get(key);
	}

	/** Whether no call that was admitted at `time` or later has been evicted. */
	isCompleteSince(time: number): boolean {
		return time > this.#evictedThrough;
	}

	open(key: string, now: number): void {
		this.#entries.set(key, {type: 'open', admittedAt: now});
	}

	/** Removes a call that wasn't run, so that it may be submitted again. */
	remove(key: string): void {
		this.#entries.delete(key);
	}

	finish(key: string, answer: Answer<Payload>, payloadBytes: number, now: number): void {
		const admittedAt = this.#entries.get(key)?.admittedAt ?? now;
		const bytes = payloadBytes + entryBytes;
		this.#settle(key, {type: 'done', admittedAt, finishedAt: now, answer, bytes}, bytes, now);
	}

	/** Records that a call that hasn't arrived yet must never run. */
	addTombstone(key: string, now: number): void {
		this.#settle(key, {type: 'tombstone', admittedAt: now}, entryBytes, now);
	}

	/** Evicts finished entries that are too old or exceed the limits on number and bytes. */
	evict(now: number): void {
		for (const [key, finishedAt] of this.#finished) {
			const isOverLimit =
				this.#bytes > this.#bounds.maximumBytes ||
				this.#finished.size > this.#bounds.maximumEntries;
			if (!isOverLimit && now - finishedAt < this.#bounds.retentionMs) {
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

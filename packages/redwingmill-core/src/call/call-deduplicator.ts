import {CallLedger, type Answer} from './call-ledger.js';
import {type GateCall} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';

/** Identifies a call to the gate: by its ticket, or by the attempt's id if it has none. */
export type CallIdentity = Pick<GateCall, 'id' | 'ticket'>;

/** Result of asking the gate to withdraw an attempt. */
export type Withdrawal<Payload> =
	/** The attempt will never run. */
	| {readonly type: 'never-admitted'}
	/** The call is waiting or running; its answer follows under `key`. */
	| {readonly type: 'open'; readonly key: string}
	| {readonly type: 'done'; readonly answer: Answer<Payload>}
	/** The attempt may have been admitted and its outcome evicted since. */
	| {readonly type: 'forgotten'};

const ticketPrefix = 'ticket ';

/**
 * Issues tickets and retains the outcomes of calls, so that each call runs at most once and repeated
 * attempts get the first answer.
 */
export class CallDeduplicator<Payload> {
	readonly #limits: GateLimits;
	readonly #attempts: CallLedger<Payload>;
	readonly #tickets: CallLedger<Payload>;
	#lastIssuedTicket = 0;
	#highestEvictedTicket = 0;

	constructor(limits: GateLimits) {
		const {retentionMs, ticketRetentionMs, retainedBytes, retainedEntries} = limits;
		const bounds = {maximumBytes: retainedBytes, maximumEntries: retainedEntries};
		this.#limits = limits;
		this.#attempts = new CallLedger({...bounds, retentionMs});
		this.#tickets = new CallLedger({
			...bounds,
			retentionMs: ticketRetentionMs,
			onEvicted: (key) => {
				this.#highestEvictedTicket = Math.max(this.#highestEvictedTicket, ticketOf(key));
			},
		});
	}

	/** Issues a ticket and returns its number. */
	issueTicket(): number {
		this.#lastIssuedTicket += 1;
		return this.#lastIssuedTicket;
	}

	/** Returns the key that identifies a call: its ticket's, or the attempt's id if it has none. */
	keyOf(call: CallIdentity): string {
		return call.ticket === undefined ? call.id : `${ticketPrefix}${call.ticket}`;
	}

	/**
	 * Returns the answer to a call that needs no admission; 'joined' when an earlier attempt of the
	 * same call is in progress; undefined when the call has to be admitted.
	 */
	settledAnswer(call: CallIdentity): Answer<Payload> | 'joined' | undefined {
		if (this.#attempts.get(call.id)?.type === 'tombstone') {
			return {outcome: {type: 'not-run', reason: 'withdrawn'}};
		}

		const entry = this.#ledgerOf(call).get(this.keyOf(call));
		switch (entry?.type) {
			case 'open': {
				return 'joined';
			}

			case 'done': {
				return entry.answer;
			}

			default: {
				return call.ticket === undefined ? undefined : this.#answerToTicket(call.ticket);
			}
		}
	}

	/** Records that the call was admitted. */
	recordAdmission(call: CallIdentity, now: number): void {
		this.#ledgerOf(call).open(this.keyOf(call), now);
	}

	/** Returns the admission time in monotonic milliseconds; undefined when there was none. */
	admittedAt(call: CallIdentity): number | undefined {
		return this.#ledgerOf(call).get(this.keyOf(call))?.admittedAt;
	}

	/** Records the call's final answer. */
	recordAnswer(call: CallIdentity, answer: Answer<Payload>, bytes: number, now: number): void {
		this.#ledgerOf(call).finish(this.keyOf(call), answer, bytes, now);
	}

	/** Records that the call wasn't run. Its ticket may be reused; without one, the refusal is final. */
	recordRefusal(call: CallIdentity, answer: Answer<Payload>, now: number): void {
		if (call.ticket === undefined) {
			this.#attempts.finish(this.keyOf(call), answer, 0, now);
		} else {
			this.#tickets.remove(this.keyOf(call));
		}
	}

	/**
	 * Ensures that an attempt whose exchange broke can't run later, or returns what became of it.
	 *
	 * @param ageMs - time since the entry node began the attempt.
	 */
	withdraw(call: CallIdentity, ageMs: number, now: number): Withdrawal<Payload> {
		const key = this.keyOf(call);
		const entry = this.#ledgerOf(call).get(key);
		switch (entry?.type) {
			case 'open': {
				return {type: 'open', key};
			}

			case 'done': {
				return {type: 'done', answer: entry.answer};
			}

			case 'tombstone': {
				return {type: 'never-admitted'};
			}

			case undefined: {
				return this.#withdrawUnseen(call, ageMs, now);
			}
		}
	}

	/** Evicts outcomes that are past their retention time or exceed the limits. */
	evict(now: number): void {
		this.#attempts.evict(now);
		this.#tickets.evict(now);
	}

	#ledgerOf(call: CallIdentity): CallLedger<Payload> {
		return call.ticket === undefined ? this.#attempts : this.#tickets;
	}

	#answerToTicket(ticket: number): Answer<Payload> | undefined {
		if (ticket > this.#lastIssuedTicket) {
			return {outcome: {type: 'not-run', reason: 'ticket-invalid'}};
		}

		return ticket <= this.#highestEvictedTicket
			? {outcome: {type: 'unknown', reason: 'evicted'}}
			: undefined;
	}

	#withdrawUnseen(call: CallIdentity, ageMs: number, now: number): Withdrawal<Payload> {
		const ledger = this.#ledgerOf(call);
		if (!ledger.isCompleteSince(now - ageMs - this.#limits.withdrawMarginMs)) {
			return {type: 'forgotten'};
		}

		this.#attempts.addTombstone(call.id, now);
		return {type: 'never-admitted'};
	}
}

function ticketOf(key: string): number {
	return Number(key.slice(ticketPrefix.length));
}

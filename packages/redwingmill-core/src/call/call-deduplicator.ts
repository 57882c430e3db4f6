import {CallLedger, type Answer} from './call-ledger.js';
import {type GateCall} from './gate-call.js';
import {type GateLimits} from './gate-limits.js';

/** What names a call in the memory: its ticket, or else the attempt itself. */
export type CallIdentity = Pick<GateCall, 'id' | 'ticket'>;

/** Result of asking the gate to withdraw an attempt. */
export type Withdrawal<Payload> =
	| {readonly type: 'never-admitted'}
	| {readonly type: 'open'; readonly key: string}
	| {readonly type: 'done'; readonly answer: Answer<Payload>}
	| {readonly type: 'forgotten'};

const ticketPrefix = 'ticket ';

/** Remembers what became of calls, so that each runs at most once and its answer can be given again. */
export class CallDeduplicator<Payload> {
	readonly #limits: GateLimits;
	readonly #attempts: CallLedger<Payload>;
	readonly #tickets: CallLedger<Payload>;
	#lastIssuedTicket = 0;
	#highestEvictedTicket = 0;

	constructor(limits: GateLimits) {
		const {
			retentionMs,
			ticketRetentionMs,
			retainedBytes: keptBytes,
			retainedEntries: keptEntries,
		} = limits;
		const bounds = {maximumBytes: keptBytes, maximumEntries: keptEntries};
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

	/** Gives out the number of a new ticket. */
	issueTicket(): number {
		this.#lastIssuedTicket += 1;
		return this.#lastIssuedTicket;
	}

	/** Key under which a call's answer is given out: its ticket's, or its own. */
	keyOf(call: CallIdentity): string {
		return call.ticket === undefined ? call.id : `${ticketPrefix}${call.ticket}`;
	}

	/** Answer that is settled before admission, 'joined' when the call waits for an earlier one. */
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

	/** The call is admitted. */
	recordAdmission(call: CallIdentity, now: number): void {
		this.#ledgerOf(call).open(this.keyOf(call), now);
	}

	/** Monotonic milliseconds at which the call was admitted; undefined when it wasn't. */
	admittedAt(call: CallIdentity): number | undefined {
		return this.#ledgerOf(call).get(this.keyOf(call))?.admittedAt;
	}

	/** The call has its final answer. */
	recordAnswer(call: CallIdentity, answer: Answer<Payload>, bytes: number, now: number): void {
		this.#ledgerOf(call).finish(this.keyOf(call), answer, bytes, now);
	}

	/** The call wasn't run. Its ticket may be used again; an attempt without one is over. */
	recordRefusal(call: CallIdentity, answer: Answer<Payload>, now: number): void {
		if (call.ticket === undefined) {
			this.#attempts.finish(this.keyOf(call), answer, 0, now);
		} else {
			this.#tickets.remove(this.keyOf(call));
		}
	}

	/**
	 * Makes sure that an attempt whose exchange broke doesn't run later, or tells what became of it.
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

	/** Forgets what is no longer kept. */
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

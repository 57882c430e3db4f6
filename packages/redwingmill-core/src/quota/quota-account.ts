import {type Quota} from 'redwingmill-text';
import {type QuotaGrant, type QuotaUse} from './quota-message.js';

/**
 * Time in which a node without news of its server uses up to its last share. Others keep that share
 * free for it for as long; afterwards both sides count with a part of it.
 */
export const shareHeldMs = 10_000;
/** Part of the last share that remains after {@link shareHeldMs}. */
export const lateShare = 0.25;
/** Credit of an account for which no grant has come, so that the first call needn't wait for one. */
const initialCredit = 1;
/** Time for which a limited account saves up tokens, in seconds, besides the one that it needs. */
const savingSeconds = 0.3;

/** A change is reported twice, so that the loss of one datagram doesn't hide it until the next call. */
const reportsOfChange = 2;

const nothingCounted = {asked: 0, admitted: 0};

/** State of one workspace's quota at an entry: a token bucket that grants of the server refill. */
export class QuotaAccount {
	readonly id: number;
	epoch: number;
	quota: Quota;
	asked = 0;
	admitted = 0;
	usedAt: number;
	/** Whether each call has to be reported promptly. */
	isPrompt = false;
	/** Sequence of the last reply with a grant for this account. */
	grantSequence = 0;
	refused = 0;
	#isOpen = true;
	#tokens = initialCredit;
	#capacity = initialCredit;
	#perSecond: number;
	#at: number;
	#reportsLeft = 0;
	/** Capacity before the account was limited for lack of answers. */
	#openCapacity: number | undefined;
	/** Counts in the last report. */
	#reported = nothingCounted;
	/** Counts in the last report before the last answer, which came in round `#round`. */
	#answered = nothingCounted;
	#round = 0;

	constructor(
		{id, epoch, quota}: {readonly id: number; readonly epoch: number; readonly quota: Quota},
		perSecond: number,
		now: number,
	) {
		this.id = id;
		this.epoch = epoch;
		this.quota = quota;
		this.usedAt = now;
		this.#perSecond = perSecond;
		this.#at = now;
	}

	/** Whether so much of an open workspace's credit is used that a report is urgent. */
	get isLow(): boolean {
		const usedUp = this.isPrompt ? 1 : this.#capacity / 2;
		return this.#isOpen && this.#capacity - this.#tokens >= Math.min(usedUp, this.#capacity / 2);
	}

	get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether the counts have changed since the last report, or that report may have been lost. */
	get isReportDue(): boolean {
		return this.#reportsLeft > 0;
	}

	/** Includes the account in the next report. */
	repeatReport(): void {
		this.#reportsLeft = Math.max(1, this.#reportsLeft);
	}

	/** Takes a token if there is one; returns whether there was. */
	take(now: number, rateFactor: number): boolean {
		this.#refill(now, rateFactor);
		this.asked += 1;
		this.#reportsLeft = reportsOfChange;
		this.usedAt = now;
		if (this.#tokens < 1) {
			this.refused += 1;
			return false;
		}

		this.#tokens -= 1;
		this.admitted += 1;
		return true;
	}

	/**
	 * Reduces what an open account may take at once, while the server doesn't answer. The sum over all
	 * nodes is otherwise more than a small quota tolerates.
	 */
	limit(): void {
		if (this.#isOpen) {
			this.#isOpen = false;
			this.#openCapacity = this.#capacity;
			this.#capacity = 1 + this.#perSecond * savingSeconds;
			this.#tokens = Math.min(this.#tokens, this.#capacity);
		}
	}

	/** Ends {@link limit}, as the server answers again. */
	resume(): void {
		if (this.#openCapacity !== undefined) {
			this.#isOpen = true;
			this.#capacity = this.#openCapacity;
			this.#openCapacity = undefined;
		}
	}

	refund(): void {
		if (this.admitted > 0) {
			this.admitted -= 1;
			this.#reportsLeft = reportsOfChange;
			this.#tokens = Math.min(this.#capacity, this.#tokens + 1);
		}
	}

	/** Returns the time until there is a token, in milliseconds. */
	waitMs(rateFactor: number): number {
		const perSecond = this.#perSecond * rateFactor;
		return perSecond > 0 ? (Math.max(0, 1 - this.#tokens) * 1000) / perSecond : Infinity;
	}

	/**
	 * Starts to count anew, for a server that lacks the old counts. Calls are kept that no answered report
	 * has counted.
	 *
	 * @param round - number of the last answer of a server.
	 */
	restart(epoch: number, round: number): void {
		const counted = this.#round === round ? this.#answered : this.#reported;
		this.epoch = epoch;
		this.grantSequence = 0;
		this.repeatReport();
		this.asked -= counted.asked;
		this.admitted = Math.max(0, this.admitted - counted.admitted);
		this.#reported = nothingCounted;
		this.#answered = nothingCounted;
	}

	/** Returns the counts for a report. */
	takeUse(round: number): QuotaUse {
		const {id, epoch, asked, admitted} = this;
		if (round !== this.#round) {
			this.#round = round;
			this.#answered = this.#reported;
		}

		this.#reportsLeft -= 1;
		this.#reported = {asked, admitted};
		return {id, epoch, asked, admitted};
	}

	/** @param fraction - random number by which the tokens of nodes that become limited at once differ. */
	applyGrant(grant: QuotaGrant, fraction: number, now: number): void {
		this.#refill(now, 1);
		this.#perSecond = grant.perSecond;
		this.#openCapacity = undefined;
		if (grant.isOpen) {
			const used = grant.epoch === this.epoch ? this.admitted - grant.admitted : 0;
			this.#capacity = grant.credit;
			this.#tokens = Math.min(grant.credit, grant.credit - used);
		} else {
			this.#capacity = 1 + grant.perSecond * savingSeconds;
			this.#tokens = Math.min(this.#tokens, this.#isOpen ? fraction : this.#capacity);
		}

		this.#isOpen = grant.isOpen;
	}

	/** Applies a changed quota. What was granted under a higher one is reduced in proportion. */
	applyQuota(quota: Quota): void {
		const ratio = quota.perSecond / Math.max(this.quota.perSecond, Number.MIN_VALUE);
		if (ratio < 1) {
			this.#perSecond *= ratio;
			this.#tokens *= ratio;
		}

		this.quota = quota;
	}

	#refill(now: number, rateFactor: number): void {
		const elapsedMs = Math.max(0, now - this.#at);
		const gained = (elapsedMs * this.#perSecond * rateFactor) / 1000;
		this.#at = Math.max(now, this.#at);
		this.#tokens = Math.min(Math.max(this.#capacity, this.#tokens), this.#tokens + gained);
	}
}

import {type Random} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';
import {lateShare, QuotaAccount, shareHeldMs} from './quota-account.js';
import {needsPromptReports, type QuotaBounds} from './quota-bounds.js';
import {emptyQuotaIndex, type QuotaIndex} from './quota-index.js';
import {partsOf, type QuotaReply, type QuotaReport} from './quota-message.js';

/** Decision on a call. */
export type QuotaDecision =
	{readonly type: 'admitted'} | {readonly type: 'refused'; readonly retryAfterMs: number};

/** A workspace as the status page shows it. */
export type QuotaLine = {
	readonly workspace: string;
	readonly isOpen: boolean;
	readonly asked: number;
	readonly admitted: number;
	readonly refused: number;
};

/** Time without calls after which an account is discarded. Below the time that servers keep theirs. */
const accountIdleMs = 20_000;
/** Shares of nodes that have no grant are so much smaller than an equal one, as many may have none. */
const ungrantedShare = 0.5;
/** Sign of life to the server while accounts exist, so that it keeps a share free only for silent nodes. */
const aliveIntervalMs = 500;
/**
 * Time without an answer after which open accounts are limited, and their reports are repeated when the
 * server answers again. It answers within 150 ms.
 */
const limitedAfterMs = 400;
const shortestRetryMs = 200;
const longestRetryMs = 5000;
const admitted: QuotaDecision = {type: 'admitted'};

export type QuotaLedgerOptions = {
	readonly incarnation: number;
	readonly bounds: QuotaBounds;
	readonly random: Random;
};

/** Decides at an entry which calls are within their workspace's quota. */
export class QuotaLedger {
	readonly #incarnation: number;
	readonly #bounds: QuotaBounds;
	readonly #random: Random;
	#accounts = new Map<string, QuotaAccount>();
	#index: QuotaIndex = emptyQuotaIndex;
	#nodeCount = 1;
	#sequence = 0;
	#epoch = 0;
	#serverIncarnation = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** Since when reports are unanswered, in monotonic milliseconds; undefined if none is. */
	#unansweredSince: number | undefined;
	/** Number of answers. */
	#round = 0;
	#isUrgent = false;

	constructor({incarnation, bounds, random}: QuotaLedgerOptions) {
		this.#incarnation = incarnation;
		this.#bounds = bounds;
		this.#random = random;
	}

	/** Whether a report should be sent before the next regular one. */
	get isUrgent(): boolean {
		return this.#isUrgent;
	}

	/** Returns the accounts that refused most calls, then those that were asked for most. */
	largest(count: number): readonly QuotaLine[] {
		return [...this.#accounts]
			.toSorted(([, a], [, b]) => b.refused - a.refused || b.asked - a.asked)
			.slice(0, count)
			.map(([workspace, {isOpen, asked, admitted, refused}]) => ({
				workspace,
				isOpen,
				asked,
				admitted,
				refused,
			}));
	}

	/** Applies a version of the configuration, and the number of nodes that are known. */
	setLimits(index: QuotaIndex, nodeCount: number): void {
		this.#nodeCount = Math.max(1, nodeCount);
		if (index === this.#index) {
			return;
		}

		this.#index = index;
		for (const [name, account] of this.#accounts) {
			const entry = index.byName.get(name);
			if (entry?.id === account.id) {
				account.applyQuota(entry.quota);
				account.isPrompt = needsPromptReports(entry.quota, this.#bounds);
			} else {
				this.#accounts.delete(name);
			}
		}
	}

	/** Starts new counts for another server, which may know the old ones only in part. */
	onServerChange(now: number): void {
		const previous = this.#accounts;
		this.#accounts = new Map();
		this.#serverIncarnation = 0;
		for (const [name, account] of previous) {
			if (now - account.usedAt < shareHeldMs) {
				account.restart(this.#nextEpoch(), this.#round);
				this.#accounts.set(name, account);
			}
		}
	}

	admit({name, quota}: Workspace, now: number): QuotaDecision {
		if (quota === undefined) {
			return admitted;
		}

		const account = this.#accounts.get(name) ?? this.#open(name, now);
		if (account === undefined) {
			return admitted;
		}

		const rateFactor = this.#rateFactor(now);
		const isAdmitted = account.take(now, rateFactor);
		this.#isUrgent ||= account.isLow;
		if (isAdmitted) {
			return admitted;
		}

		const waitMs = account.waitMs(rateFactor);
		return {
			type: 'refused',
			retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, waitMs)),
		};
	}

	/** Gives the credit of a call back that wasn't run. */
	refund({name}: Workspace): void {
		this.#accounts.get(name)?.refund();
	}

	/** Returns the reports that are due: counts that have changed, or a sign of life. */
	report(now: number): readonly QuotaReport[] {
		this.#isUrgent = false;
		const changed = [];
		for (const [name, account] of this.#accounts) {
			if (account.isReportDue) {
				changed.push(account.takeUse(this.#round));
			} else if (now - account.usedAt > accountIdleMs) {
				this.#accounts.delete(name);
			}
		}

		const isAliveDue =
			this.#unansweredSince !== undefined || now - this.#reportedAt >= aliveIntervalMs;
		if (changed.length === 0 && (!isAliveDue || this.#accounts.size === 0)) {
			return [];
		}

		this.#reportedAt = now;
		this.#unansweredSince ??= now;
		if (now - this.#unansweredSince >= limitedAfterMs) {
			for (const account of this.#accounts.values()) {
				account.limit();
			}
		}

		return partsOf(changed).map((uses) => {
			this.#sequence += 1;
			return {
				incarnation: this.#incarnation,
				sequence: this.#sequence,
				serverIncarnation: this.#serverIncarnation,
				uses,
			};
		});
	}

	applyReply({incarnation, sequence, grants}: QuotaReply, now: number): void {
		if (incarnation < this.#serverIncarnation) {
			return;
		}

		if (incarnation !== this.#serverIncarnation && this.#serverIncarnation !== 0) {
			this.onServerChange(now);
		}

		this.#serverIncarnation = incarnation;
		const unansweredMs = now - (this.#unansweredSince ?? now);
		for (const account of unansweredMs >= limitedAfterMs ? this.#accounts.values() : []) {
			account.resume();
			account.repeatReport();
		}

		this.#unansweredSince = undefined;
		this.#round += 1;
		for (const grant of grants) {
			const entry = this.#index.byId.get(grant.id);
			const account = entry && (this.#accounts.get(entry.name) ?? this.#open(entry.name, now));
			if (account && account.grantSequence < sequence) {
				account.grantSequence = sequence;
				account.applyGrant(grant, this.#random.fraction(), now);
			}
		}
	}

	#open(name: string, now: number): QuotaAccount | undefined {
		const entry = this.#index.byName.get(name);
		if (entry === undefined) {
			return undefined;
		}

		const perSecond = (entry.quota.perSecond / this.#nodeCount) * ungrantedShare;
		const account = new QuotaAccount({...entry, epoch: this.#nextEpoch()}, perSecond, now);
		account.isPrompt = needsPromptReports(entry.quota, this.#bounds);
		this.#accounts.set(name, account);
		return account;
	}

	#nextEpoch(): number {
		this.#epoch += 1;
		return this.#epoch;
	}

	#rateFactor(now: number): number {
		const since = this.#unansweredSince;
		return since !== undefined && now - since > shareHeldMs ? lateShare : 1;
	}
}

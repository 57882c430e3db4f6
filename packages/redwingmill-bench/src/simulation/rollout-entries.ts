import {type Random} from 'redwingmill-shared';

/** Nodes that send calls, each by the share that it knows. */
const entryCount = 8;
const usualFollowMs = 60;
const latestFollowMs = 300;
/** Part of the stages that reach an entry late, by the way of a watcher or a repetition. */
const lateFollowing = 0.1;

type Entry = {
	share: number;
	sent: number;
	pending: Array<{readonly at: number; readonly share: number}>;
};

/** Entries of a service, which follow an announced share within 0.3 s. */
export class RolloutEntries {
	readonly #random: Random;
	readonly #entries: readonly Entry[];
	#announced = 0;

	constructor(random: Random) {
		this.#random = random;
		this.#entries = Array.from({length: entryCount}, () => ({
			share: 0,
			sent: random.fraction(),
			pending: [],
		}));
	}

	/** Share that the entries follow on average. */
	get share(): number {
		let sum = 0;
		for (const {share} of this.#entries) {
			sum += share;
		}

		return sum / entryCount;
	}

	announce(share: number, now: number): void {
		if (share === this.#announced) {
			return;
		}

		this.#announced = share;
		for (const entry of this.#entries) {
			const isLate = this.#random.fraction() < lateFollowing;
			const delay = this.#random.jitter(isLate ? latestFollowMs : usualFollowMs);
			entry.pending = entry.pending.filter(({at}) => at < now + delay);
			entry.pending.push({at: now + delay, share});
		}
	}

	/** Sends a call by an entry; returns whether it goes to the target version. */
	isForTarget(now: number): boolean {
		const entry = this.#entries[this.#random.below(entryCount)];
		while (entry.pending.length > 0 && entry.pending[0].at <= now) {
			entry.share = entry.pending.shift()?.share ?? entry.share;
		}

		entry.sent += entry.share;
		if (entry.sent < 1) {
			return false;
		}

		entry.sent -= 1;
		return true;
	}
}

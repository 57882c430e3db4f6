import {type Random} from 'redwingmill-shared';

/**
 * Factors on the share of calls that are sent, for each that gates admitted and each that they refused. They
 * balance where gates admit about four of five.
 */
const factors = {admitted: 1.05, refused: 0.8} as const;
/**
 * Bounds of the share. Above 1 it has to fall first before a call is refused here, so that a few refusals by
 * gates throttle nothing; the lower bound keeps asking whether there is room again.
 */
const shareBounds = {least: 0.1, most: 1.5} as const;
/** Time in which the share doubles by itself: what gates refused a while ago says little of the present. */
const doublingMs = 4000;
/** Share of a new value in the mean time to retry. */
const smoothing = 0.2;
/** Maximum number of groups. Operators' routes already limit them; this guards against mistakes. */
const maximumGroups = 5000;
const initialRetryAfterMs = 200;

type Group = {
	/** Share of the calls to send; above 1 all are. */
	share: number;
	updatedAt: number;
	/** Mean time to retry that gates have stated. */
	retryAfterMs: number;
};

/**
 * Refuses part of an entry's calls before any gate is asked, while gates refuse many of the same group for lack
 * of capacity. An exchange that ends in a refusal costs two nodes processor time, which under overload the calls
 * that are admitted need. Each entry follows its own calls and draws at random, so that entries don't act in
 * step; the idea is that of adaptive throttling in "Site Reliability Engineering" (O'Reilly, 2016), chapter 21.
 */
export class AdaptiveThrottle {
	readonly #random: Random;
	readonly #groups = new Map<string, Group>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Whether to refuse a new call of a group. */
	refuses(group: string, now: number): boolean {
		const state = this.#groups.get(group);
		if (state === undefined) {
			return false;
		}

		scale(state, 1, now);
		return state.share < 1 && this.#random.fraction() >= state.share;
	}

	/** Returns the time after which a call that is refused here may be worth sending again, in milliseconds. */
	retryAfterMs(group: string): number {
		return this.#groups.get(group)?.retryAfterMs ?? initialRetryAfterMs;
	}

	/** Records a call that ended with anything but a refusal for lack of capacity. */
	onAdmitted(group: string, now: number): void {
		const state = this.#groups.get(group);
		if (state) {
			scale(state, factors.admitted, now);
		}
	}

	/**
	 * Records a call that gates refused for lack of capacity.
	 *
	 * @param retryAfterMs - time to retry that they stated; absent when they stated none.
	 */
	onRefused(group: string, retryAfterMs: number | undefined, now: number): void {
		const state = this.#groups.get(group) ?? this.#add(group, now);
		if (state === undefined) {
			return;
		}

		scale(state, factors.refused, now);
		state.retryAfterMs += smoothing * ((retryAfterMs ?? state.retryAfterMs) - state.retryAfterMs);
	}

	/** Adds a group with the share of one whose calls were all admitted so far; undefined if there are too many. */
	#add(group: string, now: number): Group | undefined {
		if (this.#groups.size >= maximumGroups) {
			return undefined;
		}

		const {most} = shareBounds;
		const added = {share: most, updatedAt: now, retryAfterMs: initialRetryAfterMs};
		this.#groups.set(group, added);
		return added;
	}
}

function scale(group: Group, factor: number, now: number): void {
	const grown = group.share * factor * 2 ** (Math.max(0, now - group.updatedAt) / doublingMs);
	group.share = Math.min(shareBounds.most, Math.max(shareBounds.least, grown));
	group.updatedAt = now;
}

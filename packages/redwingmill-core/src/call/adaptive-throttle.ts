import {type Random} from 'redwingmill-shared';
import {fairLimitOf} from './fair-limit.js';
import {type CallWorkspace} from './gate-call.js';

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
/** Time after which a call counts half in what its workspace has sent. */
const halfLifeMs = 1000;
/** Calls below which a workspace is forgotten. */
const leastCalls = 0.05;
/** Maximum number of groups. Operators' routes already limit them; this guards against mistakes. */
const maximumGroups = 5000;
const initialRetryAfterMs = 200;

/** What calls are throttled by. */
export type ThrottledCall = {
	/** Identifies calls with similar run times. */
	readonly group: string;
	/** Absent for calls without one. */
	readonly workspace?: CallWorkspace;
};

type Group = {
	/** Share of the calls to send; above 1 all are. */
	share: number;
	updatedAt: number;
	/** Mean time to retry that gates have stated. */
	retryAfterMs: number;
	/** Calls of late by workspace. */
	readonly sent: Map<string, number>;
};

/**
 * Refuses part of an entry's calls before any gate is asked, while gates refuse many of the same group for lack
 * of capacity. An exchange that ends in a refusal costs two nodes processor time, which under overload the calls
 * that are admitted need. Each entry follows its own calls and draws at random, so that entries don't act in
 * step; the idea is that of adaptive throttling in "Site Reliability Engineering" (O'Reilly, 2016), chapter 21.
 * The workspaces that send most bear the refusals: each may send up to the same limit.
 */
export class AdaptiveThrottle {
	readonly #random: Random;
	readonly #groups = new Map<string, Group>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Whether to refuse a new call. */
	refuses(call: ThrottledCall, now: number): boolean {
		const state = this.#groups.get(keyOf(call));
		if (state === undefined) {
			return false;
		}

		scale(state, 1, now);
		const name = call.workspace?.name ?? '';
		const ownCalls = (state.sent.get(name) ?? 0) + 1;
		state.sent.set(name, ownCalls);
		if (state.share >= 1) {
			return false;
		}

		return this.#random.fraction() * ownCalls >= fairLimitOf([...state.sent.values()], state.share);
	}

	/** Returns the time after which a call that is refused here may be worth sending again, in milliseconds. */
	retryAfterMs(call: ThrottledCall): number {
		return this.#groups.get(keyOf(call))?.retryAfterMs ?? initialRetryAfterMs;
	}

	/** Records a call that ended with anything but a refusal for lack of capacity. */
	onAdmitted(call: ThrottledCall, now: number): void {
		const state = this.#groups.get(keyOf(call));
		if (state) {
			scale(state, factors.admitted, now);
		}
	}

	/**
	 * Records a call that gates refused for lack of capacity.
	 *
	 * @param retryAfterMs - time to retry that they stated; absent when they stated none.
	 */
	onRefused(call: ThrottledCall, retryAfterMs: number | undefined, now: number): void {
		const key = keyOf(call);
		const state = this.#groups.get(key) ?? this.#add(key, now);
		if (state === undefined) {
			return;
		}

		scale(state, factors.refused, now);
		state.retryAfterMs += smoothing * ((retryAfterMs ?? state.retryAfterMs) - state.retryAfterMs);
	}

	/** Adds a group with the share of one whose calls were all admitted so far; undefined if there are too many. */
	#add(key: string, now: number): Group | undefined {
		if (this.#groups.size >= maximumGroups) {
			return undefined;
		}

		const {most} = shareBounds;
		const added: Group = {
			share: most,
			updatedAt: now,
			retryAfterMs: initialRetryAfterMs,
			sent: new Map(),
		};
		this.#groups.set(key, added);
		return added;
	}
}

/** Gates prefer workspaces by rank, so that calls of each rank fare differently. */
function keyOf({group, workspace}: ThrottledCall): string {
	return workspace === undefined ? group : `${workspace.rank} ${group}`;
}

function scale(group: Group, factor: number, now: number): void {
	const elapsedMs = Math.max(0, now - group.updatedAt);
	const grown = group.share * factor * 2 ** (elapsedMs / doublingMs);
	group.share = Math.min(shareBounds.most, Math.max(shareBounds.least, grown));
	group.updatedAt = now;
	if (elapsedMs === 0) {
		return;
	}

	for (const [name, calls] of group.sent) {
		const left = calls * 0.5 ** (elapsedMs / halfLifeMs);
		if (left < leastCalls) {
			group.sent.delete(name);
		} else {
			group.sent.set(name, left);
		}
	}
}

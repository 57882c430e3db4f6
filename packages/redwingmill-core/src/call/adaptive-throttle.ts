import {type Random} from 'redwingmill-shared';
import {fairLimitOf} from './fair-limit.js';
import {type CallWorkspace} from './gate-call.js';

/** Step of the share of calls that are sent for each that gates admitted. */
const admittedStep = 0.05;
/** Upper bound of the share. It has to fall to 1 before a call is refused here, so that few refusals throttle nothing. */
const mostShare = 1.5;
/**
 * Factor on the share for each call that gates refused, and its lower bound, which keeps asking whether there is
 * room again: while nodes have processor time to spare, and while refused exchanges take it from admitted calls.
 */
const refusedSteps = {
	spare: {factor: 0.8, leastShare: 0.1},
	scarce: {factor: 0.6, leastShare: 0.005},
} as const;
/** Step of the share for each second: what gates refused a while ago says little of the present. */
const recoveryPerSecond = 0.2;
/**
 * Time of calls on their way, as a share of the time to their target, up to which nodes have processor time to
 * spare, and from which they lack it.
 */
const scarceTransit = {from: 0.03, to: 0.08} as const;
const msPerSecond = 1000;
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
	/** Expected time on the way to a gate and back, as a share of the time to the target; by default 0. */
	readonly transitShare?: number;
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

		age(state, call, now);
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
			age(state, call, now);
			setShare(state, state.share + admittedStep * growthOf(state, call), call);
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

		age(state, call, now);
		setShare(
			state,
			state.share * between(refusedSteps.spare.factor, refusedSteps.scarce.factor, call),
			call,
		);
		state.retryAfterMs += smoothing * ((retryAfterMs ?? state.retryAfterMs) - state.retryAfterMs);
	}

	/** Adds a group with the share of one whose calls were all admitted so far; undefined if there are too many. */
	#add(key: string, now: number): Group | undefined {
		if (this.#groups.size >= maximumGroups) {
			return undefined;
		}

		const added: Group = {
			share: mostShare,
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

function setShare(group: Group, share: number, call: ThrottledCall): void {
	const {spare, scarce} = refusedSteps;
	const least = between(spare.leastShare, scarce.leastShare, call);
	group.share = Math.min(mostShare, Math.max(least, share));
}

/** Returns the geometric mean of two values, weighted by how much nodes lack processor time. */
function between(spare: number, scarce: number, call: ThrottledCall): number {
	return spare * (scarce / spare) ** scarcityOf(call);
}

/** Whether calls' time on the way shows that nodes have no processor time to spare for refused exchanges. */
export function lacksProcessorTime(call: ThrottledCall): boolean {
	return scarcityOf(call) > 0;
}

/** Returns how much nodes lack processor time, from 0 to 1. */
function scarcityOf({transitShare = 0}: ThrottledCall): number {
	const {from, to} = scarceTransit;
	return Math.min(1, Math.max(0, (transitShare - from) / (to - from)));
}

/**
 * Returns the factor on steps up. While nodes have processor time to spare, steps don't depend on the share, so
 * that entries that are refused alike come to like shares (additive increase, multiplicative decrease). While they
 * lack it, each refused exchange takes time from calls that were admitted, and a low share grows in proportion
 * to itself only.
 */
function growthOf({share}: Group, call: ThrottledCall): number {
	const scarcity = scarcityOf(call);
	return 1 - scarcity + scarcity * share;
}

/** Lets the share recover and the counts of calls fade since the last update. */
function age(group: Group, call: ThrottledCall, now: number): void {
	const elapsedMs = Math.max(0, now - group.updatedAt);
	group.updatedAt = now;
	if (elapsedMs === 0) {
		return;
	}

	const step = (elapsedMs / msPerSecond) * recoveryPerSecond;
	setShare(group, group.share + step * growthOf(group, call), call);
	for (const [name, calls] of group.sent) {
		const left = calls * 0.5 ** (elapsedMs / halfLifeMs);
		if (left < leastCalls) {
			group.sent.delete(name);
		} else {
			group.sent.set(name, left);
		}
	}
}

import {type Random} from 'redwingmill-shared';
import {type Endpoint} from '../model/routing-table.js';
import {rolloutStates, type RolloutOrder, type RolloutStage} from './rollout.js';

/** Endpoints that a call may be sent to. */
export type VersionChoice = {
	readonly endpoints: readonly Endpoint[];
	/** Endpoints for every attempt but the first; absent when they are the same. */
	readonly fallback?: readonly Endpoint[];
};

/** Endpoints of a service by the version of their workers; empty text for those that announce none. */
type VersionGroups = {
	/** The only choice when all endpoints have the same version; absent otherwise. */
	readonly uniform?: VersionChoice;
	readonly byVersion: ReadonlyMap<string, readonly Endpoint[]>;
	/** Endpoints of all versions but one, by that version; filled when they are first needed. */
	readonly others: Map<string, readonly Endpoint[]>;
};

/** Share of a service's calls that has accrued to the target version, in calls. */
type ShareCredit = {credit: number};

/**
 * Time for which a version gets no calls while another one has been known for longer: the worker may be
 * known before the order that concerns it.
 */
const versionSettlingMs = 3000;
const noEndpoints: readonly Endpoint[] = [];

/** Restricts calls to the workers of one version while a rollout of their service is in progress. */
export class VersionChooser {
	readonly #random: Random;
	readonly #groups = new WeakMap<readonly Endpoint[], VersionGroups>();
	/** When each version of a service was first known without a break, in monotonic milliseconds. */
	readonly #firstSeenAt = new Map<string, Map<string, number>>();
	readonly #credits = new Map<string, ShareCredit>();

	constructor(random: Random) {
		this.#random = random;
	}

	/**
	 * Returns the endpoints for the next call.
	 *
	 * @param endpoints - all endpoints of the service; an unchanged list is grouped once.
	 * @param stage - stage known for the service; undefined if no order is known.
	 */
	choose(
		service: string,
		endpoints: readonly Endpoint[],
		stage: RolloutStage | undefined,
		now: number,
	): VersionChoice {
		const groups = this.#groupsOf(service, endpoints, now);
		if (stage === undefined) {
			return groups.uniform ?? this.#chooseWithoutOrder(service, endpoints, groups, now);
		}

		return this.#chooseByStage(endpoints, groups, stage);
	}

	#chooseByStage(
		endpoints: readonly Endpoint[],
		groups: VersionGroups,
		{order, state, share}: RolloutStage,
	): VersionChoice {
		const targets = groups.byVersion.get(order.targetVersion) ?? noEndpoints;
		const others = targets.length === 0 ? endpoints : othersOf(endpoints, groups, order);
		switch (state) {
			case rolloutStates.completed: {
				return {endpoints: targets.length > 0 ? targets : others};
			}

			case rolloutStates.rolledBack: {
				return {endpoints: others};
			}

			case rolloutStates.running: {
				return targets.length > 0 && this.#isTargetsTurn(order.service, share)
					? {endpoints: targets, ...(share < 1 && {fallback: others})}
					: {endpoints: others};
			}
		}
	}

	/** Whether the next call goes to the target version. Any number of calls is within one of the share. */
	#isTargetsTurn(service: string, share: number): boolean {
		if (share <= 0 || share >= 1) {
			return share >= 1;
		}

		const credit = this.#credits.get(service) ?? {credit: this.#random.fraction()};
		this.#credits.set(service, credit);
		credit.credit += share;
		if (credit.credit < 1) {
			return false;
		}

		credit.credit -= 1;
		return true;
	}

	/** Returns the endpoints of settled versions, or of the most frequent version if none is settled. */
	#chooseWithoutOrder(
		service: string,
		endpoints: readonly Endpoint[],
		{byVersion}: VersionGroups,
		now: number,
	): VersionChoice {
		const seenAt = this.#firstSeenAt.get(service);
		const isSettled = (version: string) => now - (seenAt?.get(version) ?? now) >= versionSettlingMs;
		const versions = [...byVersion.keys()];
		const settled = versions.filter((version) => isSettled(version));
		if (settled.length === versions.length) {
			return {endpoints};
		}

		if (settled.length > 0) {
			const kept = new Set(settled);
			return {endpoints: endpoints.filter(({version = ''}) => kept.has(version))};
		}

		return {endpoints: mostFrequent(byVersion)};
	}

	#groupsOf(service: string, endpoints: readonly Endpoint[], now: number): VersionGroups {
		const known = this.#groups.get(endpoints);
		if (known) {
			return known;
		}

		const byVersion = new Map<string, Endpoint[]>();
		for (const endpoint of endpoints) {
			const {version = ''} = endpoint;
			const group = byVersion.get(version);
			if (group) {
				group.push(endpoint);
			} else {
				byVersion.set(version, [endpoint]);
			}
		}

		this.#recordVersions(service, byVersion, now);
		const uniform = byVersion.size <= 1 ? {endpoints} : undefined;
		const groups = {byVersion, others: new Map(), ...(uniform && {uniform})};
		this.#groups.set(endpoints, groups);
		return groups;
	}

	#recordVersions(service: string, byVersion: ReadonlyMap<string, unknown>, now: number): void {
		const previous = this.#firstSeenAt.get(service);
		const versions = [...byVersion.keys()];
		this.#firstSeenAt.set(
			service,
			new Map(versions.map((version) => [version, previous?.get(version) ?? now])),
		);
	}
}

function othersOf(
	endpoints: readonly Endpoint[],
	{others}: VersionGroups,
	{targetVersion}: RolloutOrder,
): readonly Endpoint[] {
	const known = others.get(targetVersion);
	if (known) {
		return known;
	}

	const remaining = endpoints.filter(({version}) => version !== targetVersion);
	others.set(targetVersion, remaining);
	return remaining;
}

/** Returns the largest group; of equal ones that of the lowest version, so that all nodes agree. */
function mostFrequent(byVersion: ReadonlyMap<string, readonly Endpoint[]>): readonly Endpoint[] {
	const [largest] = [...byVersion].toSorted(
		([versionA, a], [versionB, b]) => b.length - a.length || (versionA < versionB ? -1 : 1),
	);
	return largest[1];
}

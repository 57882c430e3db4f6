import {type NodeRecord} from '../model/node-record.js';
import {aliveIndexOf, rankWatchers} from './alive-index.js';
import {type DirectoryContext} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState, type MembersSection} from './directory-state.js';
import {scaledByDataCentre} from './digest-intervals.js';
import {isWatching} from './member-actions.js';
import {type HeldRollout} from './rollouts-section.js';
import {isSmallMesh, watchersOf} from './watchers.js';

const rankings = new WeakMap<readonly NodeRecord[], readonly string[]>();
/** Announcements that a decider may miss before the next one takes its place. */
const missedAnnouncements = 3;
/** Summaries after which a remote watcher's contact with the store counts as lost. */
const missedSummaries = 2.5;

/**
 * Whether this node decides on a rollout: it is the first by rank that reaches the store, or the first
 * of all if none does. Several nodes may think so at once.
 */
export function isDecider(
	state: DirectoryState,
	held: HeldRollout,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): boolean {
	const {members, watch, registry} = state;
	const {address} = members.self;
	if (!isWatching(watch) && !registry.hasBeenListed) {
		// A node that has just started knows too few of the others.
		return false;
	}

	// Continues until it receives a stage from another one, so that a change of roles leaves no gap.
	if (held.stage.decider === address) {
		return true;
	}

	const summaryMs = scaledByDataCentre(limits.summaryIntervalMs, members, limits);
	const timeoutMs = Math.max(limits.rolloutDeciderTimeoutMs, summaryMs * missedSummaries);
	const isSilent = now - held.heldAt > limits.rolloutAnnouncementIntervalMs * missedAnnouncements;
	const candidates = rankingOf(members, limits).filter(
		(candidate) => !(isSilent && candidate === held.stage.decider),
	);
	const reachesStore = (candidate: string) => {
		const reportedAt = members.peers.get(candidate)?.watchReportedAt ?? Number.NEGATIVE_INFINITY;
		return candidate === address ? isWatching(watch) : now - reportedAt <= timeoutMs;
	};

	return (candidates.find((candidate) => reachesStore(candidate)) ?? candidates.at(0)) === address;
}

/**
 * Whether a decider may raise the share. One that reaches neither the store nor most of the nodes may be
 * cut off together with a part of the evidence.
 */
export function mayRaiseShare({members, watch}: DirectoryState): boolean {
	if (isWatching(watch)) {
		return true;
	}

	const liveCount = [...members.records.values()].filter(({status}) => status === 'live').length;
	return members.alive.length * 2 > liveCount + 1;
}

/** Returns the nodes that may decide, first by priority. */
function rankingOf(members: MembersSection, limits: DirectoryLimits): readonly string[] {
	const {alive} = members;
	const known = rankings.get(alive);
	if (known) {
		return known;
	}

	const ranking = isSmallMesh(members, limits)
		? alive.map(({address}) => address).toSorted()
		: watcherRanking(members, limits);
	rankings.set(alive, ranking);
	return ranking;
}

function watcherRanking(members: MembersSection, limits: DirectoryLimits): readonly string[] {
	const watchers = new Set(
		[...aliveIndexOf(members.alive).keys()].flatMap((dataCentre) =>
			watchersOf(members, dataCentre, limits),
		),
	);
	return rankWatchers(members.alive.filter(({address}) => watchers.has(address)));
}

import {aliveIndexOf} from './alive-index.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState} from './directory-state.js';
import {isSmallMesh} from './watchers.js';

/**
 * Returns the duration of this node's next long poll of the store, in milliseconds. A change ends the
 * polls of all nodes at once; the first ones after it have different durations, so that some poll of the
 * mesh ends soon at any time, which shows whether the store still answers on these connections.
 *
 * @param isFirst - whether this node's previous poll ended with a change, or the configuration was read.
 */
export function longPollMs(
	state: DirectoryState,
	limits: DirectoryLimits,
	isFirst: boolean,
): number {
	const watchers = watchingNodes(state, limits);
	const fullMs = Math.min(limits.longPollMs, watchers.length * limits.longPollGapMs);
	const turn = Math.max(0, watchers.indexOf(state.members.self.address)) + 1;
	return isFirst ? Math.ceil((fullMs * turn) / watchers.length) : fullMs;
}

/** Returns the control addresses of the nodes that watch the store, in the same order on each of them. */
function watchingNodes({members}: DirectoryState, limits: DirectoryLimits): readonly string[] {
	const watchers = isSmallMesh(members, limits)
		? members.alive.map(({address}) => address)
		: [...aliveIndexOf(members.alive).values()].flatMap(({ranking}) =>
				ranking.slice(0, limits.storeWatchersPerDataCentre),
			);
	return watchers.toSorted();
}

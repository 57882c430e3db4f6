import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {isSmallMesh, rankWatchers} from './watchers.js';

/**
 * Decides which nodes watch the configuration in the store. The store hands out each version whole,
 * so in a large mesh a few nodes of each data centre watch it and the others take changes from them.
 * A node that hears of none which is in contact with the store, or doesn't get what they tell of,
 * watches it itself.
 */
export class WatchController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type === 'store-contact') {
			update.set('watch', {isStoreReachable: event.isStoreReachable});
		} else if (event.type === 'tick') {
			updateWatch(update, context);
		}
	}
}

function updateWatch(update: DirectoryUpdate, context: DirectoryContext): void {
	const {watch} = update.pending;
	const isOn = isWatchNeeded(update, context);
	if (isOn === watch.isOn) {
		return;
	}

	update.set('watch', {isOn, isStoreReachable: false});
	update.emit({type: 'set-watch', isOn}, {type: 'notify', notice: {type: 'watch-changed', isOn}});
}

function isWatchNeeded(update: DirectoryUpdate, {now, limits}: DirectoryContext): boolean {
	const {members, adoption} = update.pending;
	if (adoption.held === undefined || isSmallMesh(members, limits)) {
		return true;
	}

	// Others tell of a version and don't give it: perhaps nothing that this node sends arrives.
	const {newer} = adoption;
	if (newer && now - newer.behindSince > limits.watcherTimeoutMs) {
		return true;
	}

	const ranked = rankWatchers(members);
	const ownRank = ranked.indexOf(members.self.address);
	if (ownRank < limits.watchersPerDataCentre) {
		return true;
	}

	// Only one that ranks before it relieves a node, so two never relieve each other.
	return !ranked.slice(0, ownRank).some((address) => {
		const watchedAt = members.peers.get(address)?.watchReportedAt ?? Number.NEGATIVE_INFINITY;
		return now - watchedAt <= limits.watcherTimeoutMs;
	});
}

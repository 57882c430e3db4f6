import {aliveIndexOf} from './alive-index.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {scaledByDataCentre} from './digest-intervals.js';
import {isSmallMesh} from './watchers.js';

/**
 * Decides whether this node watches the configuration in the store. The store sends each version
 * whole, so in a large mesh a few nodes of each data centre watch it and the others request changes
 * from them. A node that knows no watcher in contact with the store, or does not get a version that
 * was announced, watches the store itself.
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

	// A version was announced but not delivered. The requests of this node may be getting lost.
	const {newer} = adoption;
	if (newer && now - newer.behindSince > limits.watcherTimeoutMs) {
		return true;
	}

	const ranked = aliveIndexOf(members.alive).get(members.self.dataCentre)?.ranking ?? [];
	const ownRank = ranked.indexOf(members.self.address);
	if (ownRank < limits.watchersPerDataCentre) {
		return true;
	}

	const digestMs = scaledByDataCentre(limits.digestIntervalMs, members, limits);
	const timeoutMs = Math.max(limits.watcherTimeoutMs, digestMs * limits.watcherTimeoutDigests);
	// Only a watcher of higher rank lets a node stop, so two nodes never stop because of each other.
	return !ranked.slice(0, ownRank).some((address) => {
		const watchReportedAt = members.peers.get(address)?.watchReportedAt ?? Number.NEGATIVE_INFINITY;
		return now - watchReportedAt <= timeoutMs;
	});
}

import {aliveIndexOf, rankWatchers} from './alive-index.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent, type WatchRenewalReason} from './directory-event.js';
import {scaledByDataCentre} from './digest-intervals.js';
import {type DirectoryState} from './directory-state.js';
import {isWatching} from './member-actions.js';
import {recordIndexOf} from './record-index.js';
import {isSmallMesh} from './watchers.js';

/**
 * Decides whether this node watches the configuration in the store. The store sends each version
 * whole, so in a large mesh a few nodes of each data centre watch it and the others request changes
 * from them. A node that knows no watcher in contact with the store, or does not get a version that
 * was announced, watches the store itself.
 */
export class WatchController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'store-contact': {
				const {isStoreReachable} = event;
				update.set('watch', {isStoreReachable, ...(isStoreReachable && {contactAt: context.now})});
				break;
			}

			case 'configuration-read': {
				recordOrigin(update, event.origin, context.now);
				break;
			}

			case 'registry-listed':
			case 'tick': {
				updateWatch(update, context);
				renewOvertakenPoll(update, context);
				break;
			}

			default: {
				break;
			}
		}

		renewPollOfEarlierEra(update, context.now);
	}
}

function recordOrigin(update: DirectoryUpdate, origin: 'store' | 'node', now: number): void {
	const {adoption, watch} = update.pending;
	if (origin === 'store') {
		update.set('watch', {overtakenAt: undefined});
	} else if (watch.isOn && adoption.held !== update.current.adoption.held) {
		update.set('watch', {overtakenAt: watch.overtakenAt ?? now});
	}
}

/** Abandons a poll that hasn't delivered what other nodes know: its connection may be dead. */
function renewOvertakenPoll(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {watch, adoption} = update.pending;
	const behindSince = Math.min(
		watch.overtakenAt ?? Number.POSITIVE_INFINITY,
		adoption.newer?.heardAt ?? Number.POSITIVE_INFINITY,
	);
	const isOvertaken = now - behindSince >= limits.pollOvertakenMs;
	const isDue = now - watch.renewedAt >= limits.pollRenewalIntervalMs;
	if (isWatching(watch) && isOvertaken && isDue) {
		renewPoll(update, 'overtaken', now);
	}
}

/** Abandons a poll once the store has returned from an older copy, whoever reported that. */
function renewPollOfEarlierEra(update: DirectoryUpdate, now: number): void {
	const {store, watch} = update.pending;
	const previousEra = update.current.store.era;
	if (watch.isOn && previousEra > 0 && store.era > previousEra) {
		renewPoll(update, 'era-changed', now);
	}
}

function renewPoll(update: DirectoryUpdate, reason: WatchRenewalReason, now: number): void {
	update.set('watch', {overtakenAt: undefined, renewedAt: now});
	update.emit({type: 'renew-watch'}, {type: 'notify', notice: {type: 'watch-renewed', reason}});
}

function updateWatch(update: DirectoryUpdate, context: DirectoryContext): void {
	const {watch} = update.pending;
	const isOn = isWatchNeeded(update, context);
	if (isOn === watch.isOn) {
		return;
	}

	update.set('watch', {isOn, isStoreReachable: false, overtakenAt: undefined});
	update.emit({type: 'set-watch', isOn}, {type: 'notify', notice: {type: 'watch-changed', isOn}});
}

function isWatchNeeded(update: DirectoryUpdate, {now, limits}: DirectoryContext): boolean {
	const {members, adoption, registry, serving} = update.pending;
	const mayKnowMesh = registry.hasBeenListed || now - serving.since >= limits.firstReadDelayMs;
	if (isSmallMesh(members, limits)) {
		return mayKnowMesh;
	}

	// A version was announced but not delivered. The requests of this node may be getting lost.
	const {newer} = adoption;
	if (newer && now - newer.behindSince > limits.watcherTimeoutMs) {
		return true;
	}

	const ranked = rankingOf(update.pending);
	const ownRank = ranked.indexOf(members.self.address);
	if (ownRank < limits.storeWatchersPerDataCentre) {
		return true;
	}

	// A node that has just started first hears from the others, which may hold the configuration.
	if (adoption.held === undefined && now - serving.since < limits.firstReadDelayMs) {
		return false;
	}

	const digestMs = scaledByDataCentre(limits.digestIntervalMs, members, limits);
	const timeoutMs = Math.max(limits.watcherTimeoutMs, digestMs * limits.watcherTimeoutDigests);
	// Only a watcher of higher rank lets a node stop, so two nodes never stop because of each other.
	return !ranked.slice(0, ownRank).some((address) => {
		const watchReportedAt = members.peers.get(address)?.watchReportedAt ?? Number.NEGATIVE_INFINITY;
		return now - watchReportedAt <= timeoutMs;
	});
}

/**
 * Returns the local data centre's nodes by priority for watching. A node without a configuration has
 * heard from few others, and counts those that the registry lists too.
 */
function rankingOf({members, adoption}: DirectoryState): readonly string[] {
	const {self, alive, records} = members;
	if (adoption.held !== undefined) {
		return aliveIndexOf(alive).get(self.dataCentre)?.ranking ?? [];
	}

	const listed = recordIndexOf(records).byDataCentre.get(self.dataCentre) ?? [];
	return rankWatchers([self, ...listed.filter(({status}) => status === 'live')]);
}

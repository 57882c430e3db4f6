import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {isSmall, rankWatchers} from './watchers.js';

/**
 * Decides which nodes watch the configuration in the store. The store hands out each version whole,
 * so in a large mesh a few nodes of each data centre watch it and the others take changes from them.
 * A node that hears of none which is in contact with the store, or doesn't get what they tell of,
 * watches it itself.
 */
export class WatchController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type === 'store-contact') {
			update.set('watch', {isInContact: event.isInContact});
		} else if (event.type === 'tick') {
			decide(update, context);
		}
	}
}

function decide(update: DirectoryUpdate, context: DirectoryContext): void {
	const {watch} = update.pending;
	const isOn = isNeeded(update, context);
	if (isOn === watch.isOn) {
		return;
	}

	update.set('watch', {isOn, isInContact: false});
	update.emit({type: 'set-watch', isOn}, {type: 'notify', notice: {type: 'watch-changed', isOn}});
}

function isNeeded(update: DirectoryUpdate, {now, limits}: DirectoryContext): boolean {
	const {members, adoption} = update.pending;
	if (adoption.held === undefined || isSmall(members, limits)) {
		return true;
	}

	// Others tell of a version and don't give it: perhaps nothing that this node sends arrives.
	const {newer} = adoption;
	if (newer && now - newer.behindSince > limits.watcherPatienceMs) {
		return true;
	}

	const ranked = rankWatchers(members);
	const ownRank = ranked.indexOf(members.self.address);
	if (ownRank < limits.watchersPerDataCentre) {
		return true;
	}

	// Only one that ranks before it relieves a node, so two never relieve each other.
	return !ranked.slice(0, ownRank).some((address) => {
		const watchedAt = members.contacts.get(address)?.watchedAt ?? Number.NEGATIVE_INFINITY;
		return now - watchedAt <= limits.watcherPatienceMs;
	});
}

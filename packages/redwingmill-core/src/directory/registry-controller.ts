import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {failed, isDue, scheduledAt, voided} from './store-request.js';
import {isSmallMesh, isWatcher} from './watchers.js';

/**
 * Writes this node's record to the registry before listing it, so that of two nodes that start at the
 * same time at least one finds the other. Retries are jittered, as a whole mesh may reconnect at once.
 */
export class RegistryController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'tick': {
				startDueRequests(update, context.now);
				break;
			}

			case 'record-written': {
				onWritten(update, event.hasSucceeded, event.era, context);
				break;
			}

			case 'registry-listed': {
				onListed(update, event.records?.length, context);
				break;
			}

			default: {
				rewriteRecord(update, context.now);
			}
		}

		rewriteLostRecord(update, context);
	}
}

function onWritten(
	update: DirectoryUpdate,
	hasSucceeded: boolean,
	era: number,
	context: DirectoryContext,
): void {
	const {writing} = update.pending.registry;
	if (hasSucceeded) {
		const next = scheduledAt(Number.POSITIVE_INFINITY);
		update.set('registry', {writing: next, writtenEra: era});
	} else {
		update.set('registry', {writing: failed(writing, context)});
	}
}

/** Schedules another write of the record after the store has lost it. */
function rewriteLostRecord(update: DirectoryUpdate, context: DirectoryContext): void {
	const {registry, store, members} = update.pending;
	const {writing, writtenEra} = registry;
	const isScheduled = writing.isInProgress || writing.dueAt < Number.POSITIVE_INFINITY;
	if (!isScheduled && writtenEra !== undefined && writtenEra < store.era) {
		update.set('registry', {writing: voided(members.peers.size, context)});
	}
}

function startDueRequests(update: DirectoryUpdate, now: number): void {
	const {writing, listing} = update.pending.registry;
	if (isDue(writing, now)) {
		update.set('registry', {writing: {...writing, isInProgress: true}});
		update.emit({type: 'write-record', record: update.pending.members.self});
	}

	// A node that fails to write its record still lists the others.
	const hasTriedWriting = writing.dueAt === Number.POSITIVE_INFINITY || writing.attempt > 0;
	if (hasTriedWriting && isDue(listing, now)) {
		update.set('registry', {listing: {...listing, isInProgress: true}});
		update.emit({type: 'list-registry', isFirst: !update.pending.registry.hasBeenListed});
	}
}

function onListed(
	update: DirectoryUpdate,
	nodes: number | undefined,
	context: DirectoryContext,
): void {
	const {listing, hasBeenListed} = update.pending.registry;
	if (nodes === undefined) {
		update.set('registry', {listing: failed(listing, context)});
		if (listing.attempt === 0) {
			update.emit({type: 'notify', notice: {type: 'registry-failed', attempt: 1}});
		}

		return;
	}

	const relistAt =
		context.now + relistIntervalMs(update, context) * (0.5 + context.random.fraction());
	update.set('registry', {hasBeenListed: true, listing: scheduledAt(relistAt)});
	if (!hasBeenListed || listing.attempt > 0) {
		update.emit({type: 'notify', notice: {type: 'registry-reached', nodes}});
	}
}

/**
 * Returns the mean interval at which this node lists the registry again. In a large mesh the watchers
 * do; the others learn of new nodes from them, and list it about as often together as a small mesh does.
 */
function relistIntervalMs({pending}: DirectoryUpdate, {limits}: DirectoryContext): number {
	const {members} = pending;
	const isFrequent = isSmallMesh(members, limits) || isWatcher(members, limits);
	return isFrequent
		? limits.relistIntervalMs
		: (limits.relistIntervalMs * members.peers.size) / limits.smallMeshNodes;
}

/** Schedules another write of the record after this node's incarnation has changed. */
function rewriteRecord(update: DirectoryUpdate, now: number): void {
	const {self} = update.pending.members;
	if (self.incarnation !== update.current.members.self.incarnation) {
		update.set('registry', {writing: scheduledAt(now)});
	}
}

import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {failed, isDue, scheduledAt} from './store-request.js';

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
				const {writing} = update.pending.registry;
				const next = event.hasSucceeded
					? scheduledAt(Number.POSITIVE_INFINITY)
					: failed(writing, context);
				update.set('registry', {writing: next});
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
		update.emit({type: 'list-registry'});
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
		context.now + context.limits.relistIntervalMs * (0.5 + context.random.fraction());
	update.set('registry', {hasBeenListed: true, listing: scheduledAt(relistAt)});
	if (!hasBeenListed || listing.attempt > 0) {
		update.emit({type: 'notify', notice: {type: 'registry-reached', nodes}});
	}
}

/** Schedules another write of the record after this node's incarnation has changed. */
function rewriteRecord(update: DirectoryUpdate, now: number): void {
	const {self} = update.pending.members;
	if (self.incarnation !== update.current.members.self.incarnation) {
		update.set('registry', {writing: scheduledAt(now)});
	}
}

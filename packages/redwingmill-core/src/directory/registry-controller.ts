import {backoffDelay} from 'redwingmill-shared';
import {type RegistryCall} from './directory-board.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';

/**
 * Writes the own record to the registry and then lists it, so that of two nodes that start at the
 * same time at least one finds the other. Retries spread, as a whole mesh may return at once.
 */
export class RegistryController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'tick': {
				beginCalls(update, context.now);
				break;
			}

			case 'record-written': {
				const {writing} = update.pending.registry;
				const next = event.isDone ? settled(Number.POSITIVE_INFINITY) : failed(writing, context);
				update.set('registry', {writing: next});
				break;
			}

			case 'registry-listed': {
				onListed(update, event.records?.length, context);
				break;
			}

			default: {
				renewRecord(update, context.now);
			}
		}
	}
}

function beginCalls(update: DirectoryUpdate, now: number): void {
	const {writing, listing} = update.pending.registry;
	if (!writing.isUnderWay && writing.dueAt <= now) {
		update.set('registry', {writing: {...writing, isUnderWay: true}});
		update.emit({type: 'write-record', record: update.pending.members.self});
	}

	// A node that can't write still looks for the others.
	const hasTriedWriting = writing.dueAt === Number.POSITIVE_INFINITY || writing.attempt > 0;
	if (hasTriedWriting && !listing.isUnderWay && listing.dueAt <= now) {
		update.set('registry', {listing: {...listing, isUnderWay: true}});
		update.emit({type: 'list-registry'});
	}
}

function onListed(
	update: DirectoryUpdate,
	nodes: number | undefined,
	context: DirectoryContext,
): void {
	const {listing, isKnown} = update.pending.registry;
	if (nodes === undefined) {
		update.set('registry', {listing: failed(listing, context)});
		if (listing.attempt === 0) {
			update.emit({type: 'notify', notice: {type: 'registry-failed', attempt: 1}});
		}

		return;
	}

	const relistAt =
		context.now + context.limits.relistIntervalMs * (0.5 + context.random.fraction());
	update.set('registry', {isKnown: true, listing: settled(relistAt)});
	if (!isKnown || listing.attempt > 0) {
		update.emit({type: 'notify', notice: {type: 'registry-reached', nodes}});
	}
}

/** A node that took a new incarnation writes its record again. */
function renewRecord(update: DirectoryUpdate, now: number): void {
	const {self} = update.pending.members;
	if (self.incarnation !== update.current.members.self.incarnation) {
		update.set('registry', {writing: settled(now)});
	}
}

function settled(dueAt: number): RegistryCall {
	return {isUnderWay: false, dueAt, attempt: 0};
}

function failed({attempt}: RegistryCall, {now, limits, random}: DirectoryContext): RegistryCall {
	const dueAt = now + backoffDelay(limits.registryBackoff, attempt, random);
	return {isUnderWay: false, dueAt, attempt: attempt + 1};
}

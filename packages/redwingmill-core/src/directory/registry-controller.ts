import {includesDeparture, type Departure} from '../model/node-record.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {failed, isDue, scheduledAt, voided} from './store-request.js';
import {isSmallMesh, isWatcher} from './watchers.js';

/** Departures kept for later processes: announcements of instances before them are no longer on their way. */
const maximumKeptDepartures = 4;

/**
 * Writes this node's record to the registry before listing it, so that of two nodes that start at the
 * same time at least one finds the other. Retries are jittered, as a whole mesh may reconnect at once.
 * The record also keeps the departures of workers that were announced to this node; the record of the
 * node's earlier process is read before it is replaced.
 */
export class RegistryController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'tick': {
				startDueRequests(update, context.now);
				break;
			}

			case 'own-record-read': {
				onOwnRecordRead(update, event, context);
				break;
			}

			case 'worker-leaving': {
				addDepartures(update, [event.departure], context.now);
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

function onOwnRecordRead(
	update: DirectoryUpdate,
	{hasSucceeded, record}: Extract<DirectoryEvent, {type: 'own-record-read'}>,
	context: DirectoryContext,
): void {
	const {reading} = update.pending.registry;
	if (!hasSucceeded) {
		update.set('registry', {reading: failed(reading, context)});
		return;
	}

	update.set('registry', {reading: scheduledAt(Number.POSITIVE_INFINITY)});
	for (const {instance, startedAt} of record?.departed ?? []) {
		update.emit({type: 'worker-departed', instance, startedAt});
	}

	// While the store was unreachable, an earlier process couldn't keep the departures announced to it.
	if (reading.attempt === 0) {
		update.emit({type: 'departures-read'});
	}

	addDepartures(update, record?.departed ?? [], context.now);
}

/** Adds departures to this node's record, and writes it at once unless it has them already. */
function addDepartures(
	update: DirectoryUpdate,
	departures: readonly Departure[],
	now: number,
): void {
	const {members, registry} = update.pending;
	const known = members.self.departed ?? [];
	const added = departures.filter((departure) => !includesDeparture(known, departure));
	if (added.length > 0) {
		const departed = [...known, ...added].slice(-maximumKeptDepartures);
		update.set('members', {self: {...members.self, departed}});
		if (!registry.writing.isInProgress) {
			update.set('registry', {writing: scheduledAt(now)});
		}
	} else if (hasWrittenDepartures(update)) {
		update.emit({type: 'departures-kept', departed: known});
	}

	startDueRequests(update, now);
}

/** Whether the store keeps all departures in this node's record. */
function hasWrittenDepartures({pending: {members, registry}}: DirectoryUpdate): boolean {
	const {writing, writtenRecord} = registry;
	return (
		writing.dueAt === Number.POSITIVE_INFINITY && writtenRecord?.departed === members.self.departed
	);
}

function onWritten(
	update: DirectoryUpdate,
	hasSucceeded: boolean,
	era: number,
	context: DirectoryContext,
): void {
	const {writing, writtenRecord} = update.pending.registry;
	if (!hasSucceeded) {
		update.set('registry', {writing: failed(writing, context)});
		return;
	}

	const {departed} = update.pending.members.self;
	const isCurrent = writtenRecord?.departed === departed;
	const dueAt = isCurrent ? Number.POSITIVE_INFINITY : context.now;
	update.set('registry', {writing: scheduledAt(dueAt), writtenEra: era});
	if (writtenRecord?.departed) {
		update.emit({type: 'departures-kept', departed: writtenRecord.departed});
	}

	startDueRequests(update, context.now);
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
	const {reading, writing, listing} = update.pending.registry;
	const {self} = update.pending.members;
	if (isDue(reading, now)) {
		update.set('registry', {reading: {...reading, isInProgress: true}});
		update.emit({type: 'read-own-record', address: self.address});
	}

	const hasRead = reading.dueAt === Number.POSITIVE_INFINITY;
	if (hasRead && isDue(writing, now)) {
		update.set('registry', {writing: {...writing, isInProgress: true}, writtenRecord: self});
		update.emit({type: 'write-record', record: self});
	}

	// A node that fails to read or write its record still lists the others.
	const hasTriedWriting =
		writing.dueAt === Number.POSITIVE_INFINITY || writing.attempt > 0 || reading.attempt > 0;
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

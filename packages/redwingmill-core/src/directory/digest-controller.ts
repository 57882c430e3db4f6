import {type Datagram} from '../model/datagram.js';
import {
	digestIdOf,
	stampOf,
	type DataCentreSummary,
	type NodeStatus,
	type ReportedLoad,
} from '../model/node-status.js';
import {aliveIndexOf} from './alive-index.js';
import {sendRecords, sendStatuses} from './digest-datagrams.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	announcementOf,
	inquire,
	markAlive,
	mergeRecords,
	sendToPeers,
	type SignOfLife,
} from './member-actions.js';
import {recordIndexOf} from './record-index.js';

type Digest = Extract<Datagram, {type: 'digest'}>;

/** Keeps a request below the usual size of a packet on the network. */
const idsPerDatagram = 200;

/**
 * Learns from the digests of watchers which nodes are alive and how loaded they are. Requests what it
 * knows otherwise than a digest says, and answers such requests of other nodes.
 */
export class DigestController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type === 'datagram') {
			handleDatagram(update, event.from, event.datagram, context);
		}
	}
}

function handleDatagram(
	update: DirectoryUpdate,
	from: string,
	datagram: Datagram,
	context: DirectoryContext,
): void {
	switch (datagram.type) {
		case 'digest': {
			handleDigest(update, from, datagram, context);
			break;
		}

		case 'status-request': {
			const {alive} = update.pending.members;
			const records = alive.filter(
				({dataCentre}) => digestIdOf(dataCentre) === datagram.dataCentreId,
			);
			sendStatuses(update, {receivers: [from], records}, context.now);
			break;
		}

		case 'record-request': {
			const {records, self} = update.pending.members;
			const {addressesById} = recordIndexOf(records);
			const requested = datagram.ids.flatMap((id) => {
				const record = records.get(addressesById.get(id) ?? '');
				return record ?? (id === digestIdOf(self.address) ? [self] : []);
			});
			sendRecords(update, [from], requested);
			break;
		}

		case 'records': {
			mergeRecords(update, datagram.records, context.now);
			break;
		}

		case 'announcement':
		case 'pulse':
		case 'departure':
		case 'inquiry':
		case 'outdated':
		case 'suspicion':
		case 'rollout':
		case 'rollout-evidence':
		case 'quota-report':
		case 'quota-reply':
		case 'quota-demand': {
			break;
		}
	}
}

function handleDigest(
	update: DirectoryUpdate,
	from: string,
	digest: Digest,
	context: DirectoryContext,
): void {
	const {now} = context;
	const sender = update.pending.members.records.get(from);
	if (sender?.incarnation !== digest.incarnation || sender.revision !== digest.revision) {
		inquire(update, from, context);
		return;
	}

	markAlive(update, [[from, {at: now, isWatching: digest.isWatching}]], now);
	handleStatuses(update, from, digest.statuses, context);
	for (const summary of digest.summaries) {
		handleSummary(update, from, summary, context);
	}
}

/** Marks the nodes alive whose records are known, and requests the others' records. */
function handleStatuses(
	update: DirectoryUpdate,
	from: string,
	statuses: readonly NodeStatus[],
	{now, limits}: DirectoryContext,
): void {
	const {members, digests} = update.pending;
	const {addressesById} = recordIndexOf(members.records);
	const ownId = digestIdOf(members.self.address);
	const signs: Array<readonly [string, SignOfLife]> = [];
	const loads = new Map<string, ReportedLoad>();
	const unknownIds: number[] = [];
	for (const {id, stamp, ageMs, load} of statuses) {
		const address = addressesById.get(id);
		const record = address === undefined ? undefined : members.records.get(address);
		if (id === ownId) {
			if (stamp !== stampOf(members.self)) {
				sendToPeers(update, [from], announcementOf(update.pending, false), now);
			}
		} else if (record === undefined || stampOf(record) !== stamp) {
			unknownIds.push(id);
		} else {
			const reported = load && {load: load.load, at: now - load.ageMs};
			signs.push([record.address, {at: now - ageMs, load: reported}]);
			if (load) {
				loads.set(record.address, load);
			}
		}
	}

	markAlive(update, signs, now);
	if (loads.size > 0) {
		update.emit({type: 'loads-heard', loads});
	}

	const isRequestDue = now - digests.recordsRequestedAt >= limits.digestRequestIntervalMs;
	if (unknownIds.length > 0 && isRequestDue) {
		update.set('digests', {recordsRequestedAt: now});
		const ids = unknownIds.slice(0, idsPerDatagram);
		update.emit({type: 'send', to: from, datagram: {type: 'record-request', ids}});
	}
}

/** Confirms all known nodes of a data centre at once, or requests their statuses. */
function handleSummary(
	update: DirectoryUpdate,
	from: string,
	{id, stampSum, ageMs}: DataCentreSummary,
	{now, limits}: DirectoryContext,
): void {
	const {members, digests} = update.pending;
	if (id === digestIdOf(members.self.dataCentre)) {
		return;
	}

	const [name, known] = [...aliveIndexOf(members.alive)].find(([, each]) => each.id === id) ?? [];
	if (name !== undefined && known?.stampSum === stampSum) {
		const previous = digests.confirmedAt.get(name) ?? Number.NEGATIVE_INFINITY;
		const confirmedAt = new Map(digests.confirmedAt).set(name, Math.max(now - ageMs, previous));
		update.set('digests', {confirmedAt});
		return;
	}

	const requestedAt = digests.statusRequestedAt.get(id) ?? Number.NEGATIVE_INFINITY;
	if (now - requestedAt >= limits.digestRequestIntervalMs) {
		const statusRequestedAt = new Map(digests.statusRequestedAt).set(id, now);
		update.set('digests', {statusRequestedAt});
		update.emit({type: 'send', to: from, datagram: {type: 'status-request', dataCentreId: id}});
	}
}

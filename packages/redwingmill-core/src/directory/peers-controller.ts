import {type Datagram} from '../model/datagram.js';
import {supersedes, type NodeRecord} from '../model/node-record.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {announceToAll, announcementOf, newPeer, setMembers, updateSelf} from './member-actions.js';

/** Maintains the records of the other nodes and announces this node's record to them. */
export class PeersController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'datagram': {
				handleDatagram(update, event.from, event.datagram, context);
				break;
			}

			case 'node-heard': {
				markResponsive(update, event.address, context.now);
				break;
			}

			case 'seeds-known': {
				addSeeds(update, event.addresses, context.now);
				break;
			}

			case 'registry-listed': {
				mergeRegistryRecords(update, event.records ?? [], context.now);
				break;
			}

			case 'worker-changed': {
				updateSelf(update, {worker: event.worker}, context);
				break;
			}

			case 'load-changed': {
				update.set('members', {load: event.load});
				break;
			}

			case 'leave-requested': {
				updateSelf(update, {}, context);
				break;
			}

			default: {
				break;
			}
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
		case 'announcement': {
			if (datagram.record.address === from) {
				handleAnnouncement(update, datagram, context.now);
			}

			break;
		}

		case 'pulse': {
			handleHeartbeat(update, from, datagram, context);
			break;
		}

		case 'inquiry': {
			markResponsive(update, from, context.now);
			update.emit({type: 'send', to: from, datagram: announcementOf(update.pending, false)});
			break;
		}

		case 'outdated': {
			raiseIncarnation(update, datagram.incarnation, context);
			break;
		}

		case 'suspicion': {
			// The crash report controller handles it.
			break;
		}
	}
}

function handleAnnouncement(
	update: DirectoryUpdate,
	{record, wantsReply}: Extract<Datagram, {type: 'announcement'}>,
	now: number,
): void {
	const {address, incarnation} = record;
	const known = update.pending.members.records.get(address);
	if (known && known.incarnation > incarnation) {
		const datagram = {type: 'outdated', incarnation: known.incarnation} as const;
		update.emit({type: 'send', to: address, datagram});
		return;
	}

	mergeRecord(update, record, now);
	markResponsive(update, address, now);
	if (wantsReply) {
		update.emit({type: 'send', to: address, datagram: announcementOf(update.pending, false)});
	}
}

function handleHeartbeat(
	update: DirectoryUpdate,
	from: string,
	{incarnation, revision, load, isWatching}: Extract<Datagram, {type: 'pulse'}>,
	{now, limits}: DirectoryContext,
): void {
	const known = update.pending.members.records.get(from);
	if (known?.incarnation === incarnation && known.revision === revision) {
		markResponsive(update, from, now, isWatching);
		if (load) {
			update.emit({type: 'load-heard', node: from, load});
		}

		return;
	}

	const {peers} = update.pending.members;
	const peer = peers.get(from) ?? newPeer(now);
	if (now - peer.inquiredAt >= limits.inquiryIntervalMs) {
		update.set('members', {peers: new Map(peers).set(from, {...peer, inquiredAt: now})});
		update.emit({type: 'send', to: from, datagram: {type: 'inquiry'}});
	}
}

/**
 * Raises this node's incarnation above one that another node knows from an earlier run. A clock that
 * was set back between the two runs makes the later incarnation the lower one.
 */
function raiseIncarnation(
	update: DirectoryUpdate,
	incarnation: number,
	context: DirectoryContext,
): void {
	const {self} = update.pending.members;
	if (incarnation < self.incarnation) {
		return;
	}

	updateSelf(update, {incarnation: incarnation + 1}, context);
	update.emit({
		type: 'notify',
		notice: {type: 'identity-renewed', incarnation: incarnation + 1},
	});
}

/** Merges the registry's records. Only a message from a listed node itself makes it reachable. */
function mergeRegistryRecords(
	update: DirectoryUpdate,
	records: readonly NodeRecord[],
	now: number,
): void {
	const {self} = update.pending.members;
	for (const record of records) {
		if (record.address !== self.address) {
			mergeRecord(update, record, now);
		}
	}

	const hasUnresponsiveNode = records.some(
		({address}) => update.pending.members.peers.get(address)?.lapsedAt !== undefined,
	);
	if (hasUnresponsiveNode) {
		announceToAll(update, true, now);
	}
}

function mergeRecord(update: DirectoryUpdate, record: NodeRecord, now: number): void {
	const {members} = update.pending;
	const {address, incarnation, status} = record;
	const known = members.records.get(address);
	if (!supersedes(record, known)) {
		return;
	}

	const peers = members.peers.has(address)
		? members.peers
		: new Map(members.peers).set(address, newPeer(now));
	const records = new Map(members.records).set(address, record);
	setMembers(update, {...members, records, peers});
	if (status === 'left') {
		update.emit({type: 'notify', notice: {type: 'node-left', peer: address}});
	} else if (known?.incarnation !== incarnation) {
		update.emit({type: 'notify', notice: {type: 'node-joined', peer: address, incarnation}});
	}
}

/** Adds peers for addresses at which nodes may run, and asks every peer for its record. */
function addSeeds(update: DirectoryUpdate, addresses: readonly string[], now: number): void {
	const {members} = update.pending;
	const peers = new Map(members.peers);
	for (const address of addresses) {
		if (address !== members.self.address && !peers.has(address)) {
			peers.set(address, newPeer(now));
		}
	}

	update.set('members', {peers});
	announceToAll(update, true, now);
}

function markResponsive(
	update: DirectoryUpdate,
	address: string,
	now: number,
	isWatching = false,
): void {
	const {members} = update.pending;
	const peer = members.peers.get(address) ?? newPeer(now);
	const peers = new Map(members.peers);
	const watchReportedAt = isWatching ? now : peer.watchReportedAt;
	peers.set(address, {...peer, receivedAt: now, watchReportedAt, lapsedAt: undefined});
	if (peer.lapsedAt === undefined) {
		update.set('members', {peers});
		return;
	}

	setMembers(update, {...members, peers});
	update.emit({type: 'notify', notice: {type: 'node-returned', peer: address}});
}

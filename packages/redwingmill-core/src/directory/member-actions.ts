import {type Datagram} from '../model/datagram.js';
import {isRoutable, type NodeRecord} from '../model/node-record.js';
import {type DirectoryContext, type DirectoryUpdate} from './directory-controller.js';
import {
	type DirectoryState,
	type MembersSection,
	type Peer,
	type WatchSection,
} from './directory-state.js';

/** Returns a peer that has sent nothing yet. It is not routed to before it does. */
export function newPeer(now: number): Peer {
	return {
		receivedAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		inquiredAt: Number.NEGATIVE_INFINITY,
		lapsedAt: now,
	};
}

/** Returns the datagram that announces this node's record. */
export function announcementOf(state: DirectoryState, wantsReply: boolean): Datagram {
	const {self} = state.members;
	const version = state.adoption.held?.version ?? 0;
	// The local proxy keeps using the worker; the other nodes have to stop routing to it.
	const record = state.serving.state === 'leaving' ? {...self, status: 'left' as const} : self;
	return {type: 'announcement', record, version, wantsReply};
}

/** Announces this node's record to every peer. */
export function announceToAll(update: DirectoryUpdate, wantsReply: boolean, now: number): void {
	const {members} = update.pending;
	const datagram = announcementOf(update.pending, wantsReply);
	const peers = new Map(members.peers);
	for (const [to, peer] of peers) {
		peers.set(to, {...peer, sentAt: now});
		update.emit({type: 'send', to, datagram});
	}

	update.set('members', {peers});
}

/** Returns the heartbeat datagram, which shows that this node is alive and which version it holds. */
export function heartbeatOf({members, adoption, watch, crashes}: DirectoryState): Datagram {
	const {self, load} = members;
	const {incarnation, revision} = self;
	const version = adoption.held?.version ?? 0;
	return {
		type: 'pulse',
		incarnation,
		revision,
		version,
		load,
		isWatching: isWatching(watch),
		crashDigest: crashes.digest,
	};
}

/** Whether other nodes may rely on this one for new versions. */
export function isWatching({isOn, isStoreReachable}: WatchSection): boolean {
	return isOn && isStoreReachable;
}

/**
 * Sends a heartbeat with the version held to the nodes of the local data centre if this node watches
 * the store, because they may rely on this node for new versions.
 */
export function notifyLocalPeers(update: DirectoryUpdate, now: number): void {
	const {members, watch} = update.pending;
	if (!isWatching(watch)) {
		return;
	}

	const datagram = heartbeatOf(update.pending);
	const peers = new Map(members.peers);
	for (const [to, peer] of peers) {
		if (members.records.get(to)?.dataCentre === members.self.dataCentre) {
			peers.set(to, {...peer, sentAt: now});
			update.emit({type: 'send', to, datagram});
		}
	}

	update.set('members', {peers});
}

/** Changes this node's record; announces it at once and again later, because datagrams get lost. */
export function updateSelf(
	update: DirectoryUpdate,
	change: Partial<NodeRecord>,
	{now, limits}: DirectoryContext,
): void {
	const {self} = update.pending.members;
	const changed = {...self, revision: self.revision + 1, ...change};
	const reannounceAt = limits.reannounceDelaysMs.map((delayMs) => now + delayMs);
	update.set('members', {self: changed, reannounceAt});
	setMembers(update, update.pending.members);
	announceToAll(update, false, now);
}

/**
 * Sets the members and the reachable nodes. An unchanged list of reachable nodes stays the same object,
 * so that no routing table is derived from it again.
 */
export function setMembers(update: DirectoryUpdate, members: MembersSection): void {
	const reachable = reachableRecords(members);
	const isSame =
		reachable.length === members.reachable.length &&
		reachable.every((record, index) => record === members.reachable[index]);
	update.set('members', {...members, reachable: isSame ? members.reachable : reachable});
}

function reachableRecords({self, records, peers}: MembersSection): readonly NodeRecord[] {
	const others = [...records.values()].filter(
		(record) => isRoutable(record) && peers.get(record.address)?.lapsedAt === undefined,
	);
	return [self, ...others];
}

import {isRoutable, type NodeRecord} from '../model/node-record.js';
import {type Datagram} from '../model/datagram.js';
import {
	type Peer,
	type DirectoryState,
	type MembersSection,
	type WatchSection,
} from './directory-state.js';
import {type DirectoryContext, type DirectoryUpdate} from './directory-controller.js';

/** A node that nothing was heard of; it isn't routed to before it speaks. */
export function newPeer(now: number): Peer {
	return {
		receivedAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		inquiredAt: Number.NEGATIVE_INFINITY,
		lapsedAt: now,
	};
}

/** The own record, as it is told to another node. */
export function announcementOf(board: DirectoryState, wantsReply: boolean): Datagram {
	const {self} = board.members;
	const version = board.adoption.held?.version ?? 0;
	// The own proxy goes on using the worker; the others are to leave.
	const record = board.serving.state === 'leaving' ? {...self, status: 'left' as const} : self;
	return {type: 'announcement', record, version, wantsReply};
}

/** Tells every known node the own record. */
export function announceToAll(update: DirectoryUpdate, wantsReply: boolean, now: number): void {
	const {members} = update.pending;
	const datagram = announcementOf(update.pending, wantsReply);
	const contacts = new Map(members.peers);
	for (const [to, contact] of contacts) {
		contacts.set(to, {...contact, sentAt: now});
		update.emit({type: 'send', to, datagram});
	}

	update.set('members', {peers: contacts});
}

/** Shows another node that this one lives, and which version it holds. */
export function heartbeatOf({members, adoption, watch}: DirectoryState): Datagram {
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
	};
}

/** Whether others may rely on this node for new versions. */
export function isWatching({isOn, isStoreReachable: isInContact}: WatchSection): boolean {
	return isOn && isInContact;
}

/** Tells the nodes of the own data centre, which rely on watchers, which version it holds now. */
export function notifyLocalPeers(update: DirectoryUpdate, now: number): void {
	const {members, watch} = update.pending;
	if (!isWatching(watch)) {
		return;
	}

	const datagram = heartbeatOf(update.pending);
	const contacts = new Map(members.peers);
	for (const [to, contact] of contacts) {
		if (members.records.get(to)?.dataCentre === members.self.dataCentre) {
			contacts.set(to, {...contact, sentAt: now});
			update.emit({type: 'send', to, datagram});
		}
	}

	update.set('members', {peers: contacts});
}

/** Changes the own record, tells everyone, and repeats it later as datagrams get lost. */
export function updateSelf(
	update: DirectoryUpdate,
	change: Partial<NodeRecord>,
	{now, limits}: DirectoryContext,
): void {
	const {self} = update.pending.members;
	const changed = {...self, revision: self.revision + 1, ...change};
	const repeatsAt = limits.reannounceDelaysMs.map((delayMs) => now + delayMs);
	update.set('members', {self: changed, reannounceAt: repeatsAt});
	setMembers(update, update.pending.members);
	announceToAll(update, false, now);
}

/** Sets the members and what follows of them: the nodes that may be routed to. */
export function setMembers(update: DirectoryUpdate, members: MembersSection): void {
	const reachable = reachableRecords(members);
	const isSame =
		reachable.length === members.reachable.length &&
		reachable.every((record, index) => record === members.reachable[index]);
	update.set('members', {...members, reachable: isSame ? members.reachable : reachable});
}

function reachableRecords({self, records, peers: contacts}: MembersSection): readonly NodeRecord[] {
	const others = [...records.values()].filter(
		(record) => isRoutable(record) && contacts.get(record.address)?.lapsedAt === undefined,
	);
	return [self, ...others];
}

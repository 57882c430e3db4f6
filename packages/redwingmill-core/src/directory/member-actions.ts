import {isRoutable, type NodeRecord} from '../model/node-record.js';
import {type Datagram} from '../model/datagram.js';
import {
	type Contact,
	type DirectoryBoard,
	type MembersSection,
	type WatchSection,
} from './directory-board.js';
import {type DirectoryContext, type DirectoryUpdate} from './directory-controller.js';

/** A node that nothing was heard of; it isn't routed to before it speaks. */
export function newContact(now: number): Contact {
	return {
		heardAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		inquiredAt: Number.NEGATIVE_INFINITY,
		lapsedAt: now,
	};
}

/** The own record, as it is told to another node. */
export function announcementOf(board: DirectoryBoard, wantsReply: boolean): Datagram {
	const {self} = board.members;
	const version = board.adoption.held?.version ?? 0;
	// The own proxy goes on using the worker; the others are to leave.
	const record = board.standing.state === 'leaving' ? {...self, status: 'left' as const} : self;
	return {type: 'announcement', record, version, wantsReply};
}

/** Tells every known node the own record. */
export function announceToAll(update: DirectoryUpdate, wantsReply: boolean, now: number): void {
	const {members} = update.pending;
	const datagram = announcementOf(update.pending, wantsReply);
	const contacts = new Map(members.contacts);
	for (const [to, contact] of contacts) {
		contacts.set(to, {...contact, sentAt: now});
		update.emit({type: 'send', to, datagram});
	}

	update.set('members', {contacts});
}

/** Shows another node that this one lives, and which version it holds. */
export function pulseOf({members, adoption, watch}: DirectoryBoard): Datagram {
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
export function isWatching({isOn, isInContact}: WatchSection): boolean {
	return isOn && isInContact;
}

/** Tells the nodes of the own data centre, which rely on watchers, which version it holds now. */
export function tellNeighbours(update: DirectoryUpdate, now: number): void {
	const {members, watch} = update.pending;
	if (!isWatching(watch)) {
		return;
	}

	const datagram = pulseOf(update.pending);
	const contacts = new Map(members.contacts);
	for (const [to, contact] of contacts) {
		if (members.records.get(to)?.dataCentre === members.self.dataCentre) {
			contacts.set(to, {...contact, sentAt: now});
			update.emit({type: 'send', to, datagram});
		}
	}

	update.set('members', {contacts});
}

/** Changes the own record, tells everyone, and repeats it later as datagrams get lost. */
export function changeSelf(
	update: DirectoryUpdate,
	change: Partial<NodeRecord>,
	{now, limits}: DirectoryContext,
): void {
	const {self} = update.pending.members;
	const changed = {...self, revision: self.revision + 1, ...change};
	const repeatsAt = limits.repeatDelaysMs.map((delayMs) => now + delayMs);
	update.set('members', {self: changed, repeatsAt});
	setMembers(update, update.pending.members);
	announceToAll(update, false, now);
}

/** Sets the members and what follows of them: the nodes that may be routed to. */
export function setMembers(update: DirectoryUpdate, members: MembersSection): void {
	const reachable = reachableOf(members);
	const isSame =
		reachable.length === members.reachable.length &&
		reachable.every((record, index) => record === members.reachable[index]);
	update.set('members', {...members, reachable: isSame ? members.reachable : reachable});
}

function reachableOf({self, records, contacts}: MembersSection): readonly NodeRecord[] {
	const others = [...records.values()].filter(
		(record) => isRoutable(record) && contacts.get(record.address)?.lapsedAt === undefined,
	);
	return [self, ...others];
}

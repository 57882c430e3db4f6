import {type Datagram} from '../model/datagram.js';
import {type Contact, type DirectoryBoard, type MembersSection} from './directory-board.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {announceToAll, setMembers} from './member-actions.js';

/** Notices nodes that fall silent, and shows the others that this one lives. */
export class PulseController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type !== 'tick') {
			return;
		}

		excusePause(update, context);
		update.set('members', {tickedAt: context.now});
		repeatAnnouncement(update, context);
		checkContacts(update, context);
	}
}

/**
 * Interval of pulses: it grows with the mesh, so that what a node sends stays the same.
 */
export function pulseIntervalMs(nodes: number, limits: DirectoryLimits): number {
	const scale = Math.max(1, nodes / limits.pulseNodes);
	return Math.min(limits.longestPulseIntervalMs, limits.pulseIntervalMs * scale);
}

/** While this process stood still it heard nobody; that says nothing about the others. */
function excusePause(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const durationMs = now - members.tickedAt;
	if (durationMs < limits.pauseMs) {
		return;
	}

	const contacts = new Map(members.contacts);
	for (const [address, contact] of contacts) {
		contacts.set(address, {...contact, heardAt: contact.heardAt + durationMs});
	}

	update.set('members', {contacts});
	update.emit({type: 'notify', notice: {type: 'paused', durationMs}});
}

function repeatAnnouncement(update: DirectoryUpdate, {now}: DirectoryContext): void {
	const {repeatsAt} = update.pending.members;
	const left = repeatsAt.filter((at) => at > now);
	if (left.length < repeatsAt.length) {
		update.set('members', {repeatsAt: left});
		announceToAll(update, false, now);
	}
}

function checkContacts(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const intervalMs = pulseIntervalMs(members.contacts.size, limits);
	const datagram = pulseOf(update.pending);
	const contacts = new Map(members.contacts);
	const records = new Map(members.records);
	for (const [address, contact] of members.contacts) {
		const silentMs = now - contact.heardAt;
		if (contact.lapsedAt !== undefined && now - contact.lapsedAt > limits.forgetMs) {
			contacts.delete(address);
			records.delete(address);
		} else if (contact.lapsedAt === undefined && silentMs > intervalMs * limits.pulsesToLapse) {
			contacts.set(address, {...contact, lapsedAt: now});
			update.emit(
				{type: 'node-silent', node: address},
				{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
			);
		} else if (isPulseDue(members, address, contact, {now, intervalMs, limits})) {
			contacts.set(address, {...contact, sentAt: now});
			update.emit({type: 'send', to: address, datagram});
		}
	}

	const isForgetting = records.size < members.records.size;
	setMembers(update, {...members, contacts, records: isForgetting ? records : members.records});
}

function isPulseDue(
	{records}: MembersSection,
	address: string,
	{lapsedAt, sentAt}: Contact,
	pace: {readonly now: number; readonly intervalMs: number; readonly limits: DirectoryLimits},
): boolean {
	const {now, intervalMs, limits} = pace;
	if (records.get(address)?.status === 'left') {
		return false;
	}

	const dueMs = lapsedAt === undefined ? intervalMs : limits.lapsedPulseIntervalMs;
	return now - sentAt >= dueMs;
}

function pulseOf({members, adoption}: DirectoryBoard): Datagram {
	const {self, load} = members;
	const {incarnation, revision} = self;
	return {type: 'pulse', incarnation, revision, version: adoption.held?.version ?? 0, load};
}

import {type NodeRecord} from '../model/node-record.js';
import {type Contact, type MembersSection} from './directory-board.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {announceToAll, isFollowing, pulseOf, setMembers} from './member-actions.js';
import {isSmall} from './watchers.js';

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
 * Interval of pulses between this node and another. It grows with the number of nodes, so that what a
 * node sends stays the same; those of the own data centre, on whom calls rest, are counted alone.
 */
export function pulseIntervalMs(
	{self, records, contacts}: MembersSection,
	address: string,
	limits: DirectoryLimits,
): number {
	const isLocal = records.get(address)?.dataCentre === self.dataCentre;
	const nodes = isLocal ? countLocal(self, records) : contacts.size;
	const scale = Math.max(1, nodes / limits.pulseNodes);
	return Math.min(limits.longestPulseIntervalMs, limits.pulseIntervalMs * scale);
}

function countLocal(self: NodeRecord, records: MembersSection['records']): number {
	let count = 0;
	for (const {dataCentre} of records.values()) {
		count += dataCentre === self.dataCentre ? 1 : 0;
	}

	return count;
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
	const {members, watch} = update.pending;
	const isWatcher = isFollowing(watch) && !isSmall(members, limits);
	const intervals = new Map<boolean, number>();
	const datagram = pulseOf(update.pending);
	const contacts = new Map(members.contacts);
	const records = new Map(members.records);
	for (const [address, contact] of members.contacts) {
		const isLocal = members.records.get(address)?.dataCentre === members.self.dataCentre;
		const intervalMs = intervals.get(isLocal) ?? pulseIntervalMs(members, address, limits);
		intervals.set(isLocal, intervalMs);
		const silentMs = now - contact.heardAt;
		if (contact.lapsedAt !== undefined && now - contact.lapsedAt > limits.forgetMs) {
			contacts.delete(address);
			records.delete(address);
			continue;
		}

		if (contact.lapsedAt === undefined && silentMs > intervalMs * limits.pulsesToLapse) {
			contacts.set(address, {...contact, lapsedAt: now});
			update.emit(
				{type: 'node-silent', node: address},
				{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
			);
			continue;
		}

		const relies = isWatcher && (isLocal || contact.watchedAt !== undefined);
		const paceMs = relies ? Math.min(intervalMs, limits.watcherPulseIntervalMs) : intervalMs;
		if (isPulseDue(members, address, contact, {now, paceMs, limits})) {
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
	pace: {readonly now: number; readonly paceMs: number; readonly limits: DirectoryLimits},
): boolean {
	const {now, paceMs, limits} = pace;
	if (records.get(address)?.status === 'left') {
		return false;
	}

	const dueMs = lapsedAt === undefined ? paceMs : limits.lapsedPulseIntervalMs;
	return now - sentAt >= dueMs;
}

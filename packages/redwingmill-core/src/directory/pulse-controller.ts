import {type Contact, type DirectoryBoard} from './directory-board.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {announceToAll, isWatching, pulseOf, setMembers} from './member-actions.js';
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

/** Intervals of pulses by where the other node is. */
type PulsePace = {
	readonly localMs: number;
	readonly remoteMs: number;
	/** Whether others rely on this node for new versions, and are told more often that they can. */
	readonly isWatcher: boolean;
};

/**
 * Intervals grow with the number of nodes, so that what a node sends stays the same. Nodes of the own
 * data centre, on whom most calls rest, are counted alone.
 */
function paceOf({members, watch}: DirectoryBoard, limits: DirectoryLimits): PulsePace {
	const {self, records, contacts} = members;
	const local = [...records.values()].filter(({dataCentre}) => dataCentre === self.dataCentre);
	return {
		localMs: intervalMs(local.length, limits),
		remoteMs: intervalMs(contacts.size, limits),
		isWatcher: isWatching(watch) && !isSmall(members, limits),
	};
}

function intervalMs(nodes: number, limits: DirectoryLimits): number {
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
	const pace = paceOf(update.pending, limits);
	const datagram = pulseOf(update.pending);
	const contacts = new Map(members.contacts);
	const records = new Map(members.records);
	for (const [address, contact] of members.contacts) {
		const isLocal = members.records.get(address)?.dataCentre === members.self.dataCentre;
		const usualMs = isLocal ? pace.localMs : pace.remoteMs;
		if (isForgotten(contact, now, limits)) {
			contacts.delete(address);
			records.delete(address);
		} else if (isSilent(contact, usualMs, now, limits)) {
			contacts.set(address, {...contact, lapsedAt: now});
			emitSilence(update, address, now - contact.heardAt);
		} else if (
			members.records.get(address)?.status !== 'left' &&
			now - contact.sentAt >= sendingIntervalMs(contact, isLocal, pace, limits)
		) {
			contacts.set(address, {...contact, sentAt: now});
			update.emit({type: 'send', to: address, datagram});
		}
	}

	const isForgetting = records.size < members.records.size;
	setMembers(update, {...members, contacts, records: isForgetting ? records : members.records});
}

function isForgotten({lapsedAt}: Contact, now: number, {forgetMs}: DirectoryLimits): boolean {
	return lapsedAt !== undefined && now - lapsedAt > forgetMs;
}

function isSilent(
	{lapsedAt, heardAt}: Contact,
	usualMs: number,
	now: number,
	{pulsesToLapse}: DirectoryLimits,
): boolean {
	return lapsedAt === undefined && now - heardAt > usualMs * pulsesToLapse;
}

function emitSilence(update: DirectoryUpdate, address: string, silentMs: number): void {
	update.emit(
		{type: 'node-silent', node: address},
		{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
	);
}

function sendingIntervalMs(
	{lapsedAt, watchedAt}: Contact,
	isLocal: boolean,
	{localMs, remoteMs, isWatcher}: PulsePace,
	{lapsedPulseIntervalMs, watcherPulseIntervalMs}: DirectoryLimits,
): number {
	if (lapsedAt !== undefined) {
		return lapsedPulseIntervalMs;
	}

	const usualMs = isLocal ? localMs : remoteMs;
	const isReliedOn = isWatcher && (isLocal || watchedAt !== undefined);
	return isReliedOn ? Math.min(usualMs, watcherPulseIntervalMs) : usualMs;
}

import {type Peer, type DirectoryState} from './directory-state.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {announceToAll, isWatching, heartbeatOf, setMembers} from './member-actions.js';
import {isSmallMesh} from './watchers.js';

/** Notices nodes that fall silent, and shows the others that this one lives. */
export class HeartbeatController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type !== 'tick') {
			return;
		}

		compensateForPause(update, context);
		update.set('members', {lastTickAt: context.now});
		repeatAnnouncement(update, context);
		checkPeers(update, context);
	}
}

/** Intervals of pulses by where the other node is. */
type HeartbeatIntervals = {
	readonly localMs: number;
	readonly remoteMs: number;
	/** Whether others rely on this node for new versions, and are told more often that they can. */
	readonly isWatcher: boolean;
};

/**
 * Intervals grow with the number of nodes, so that what a node sends stays the same. Nodes of the own
 * data centre, on whom most calls rest, are counted alone.
 */
function heartbeatIntervalsOf(
	{members, watch}: DirectoryState,
	limits: DirectoryLimits,
): HeartbeatIntervals {
	const {self, records, peers: contacts} = members;
	const local = [...records.values()].filter(({dataCentre}) => dataCentre === self.dataCentre);
	return {
		localMs: scaledIntervalMs(local.length, limits),
		remoteMs: scaledIntervalMs(contacts.size, limits),
		isWatcher: isWatching(watch) && !isSmallMesh(members, limits),
	};
}

function scaledIntervalMs(nodes: number, limits: DirectoryLimits): number {
	const scale = Math.max(1, nodes / limits.heartbeatScalingNodes);
	return Math.min(limits.maximumHeartbeatIntervalMs, limits.heartbeatIntervalMs * scale);
}

/** While this process stood still it heard nobody; that says nothing about the others. */
function compensateForPause(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const durationMs = now - members.lastTickAt;
	if (durationMs < limits.pauseThresholdMs) {
		return;
	}

	const contacts = new Map(members.peers);
	for (const [address, contact] of contacts) {
		contacts.set(address, {...contact, receivedAt: contact.receivedAt + durationMs});
	}

	update.set('members', {peers: contacts});
	update.emit({type: 'notify', notice: {type: 'paused', durationMs}});
}

function repeatAnnouncement(update: DirectoryUpdate, {now}: DirectoryContext): void {
	const {reannounceAt: repeatsAt} = update.pending.members;
	const left = repeatsAt.filter((at) => at > now);
	if (left.length < repeatsAt.length) {
		update.set('members', {reannounceAt: left});
		announceToAll(update, false, now);
	}
}

function checkPeers(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const pace = heartbeatIntervalsOf(update.pending, limits);
	const datagram = heartbeatOf(update.pending);
	const contacts = new Map(members.peers);
	const records = new Map(members.records);
	for (const [address, contact] of members.peers) {
		const isLocal = members.records.get(address)?.dataCentre === members.self.dataCentre;
		const usualMs = isLocal ? pace.localMs : pace.remoteMs;
		if (isRemovalDue(contact, now, limits)) {
			contacts.delete(address);
			records.delete(address);
		} else if (hasTimedOut(contact, usualMs, now, limits)) {
			contacts.set(address, {...contact, lapsedAt: now});
			emitLapse(update, address, now - contact.receivedAt);
		} else if (
			members.records.get(address)?.status !== 'left' &&
			now - contact.sentAt >= sendingIntervalMs(contact, isLocal, pace, limits)
		) {
			contacts.set(address, {...contact, sentAt: now});
			update.emit({type: 'send', to: address, datagram});
		}
	}

	const isForgetting = records.size < members.records.size;
	setMembers(update, {
		...members,
		peers: contacts,
		records: isForgetting ? records : members.records,
	});
}

function isRemovalDue(
	{lapsedAt}: Peer,
	now: number,
	{removalTimeoutMs: forgetMs}: DirectoryLimits,
): boolean {
	return lapsedAt !== undefined && now - lapsedAt > forgetMs;
}

function hasTimedOut(
	{lapsedAt, receivedAt: heardAt}: Peer,
	usualMs: number,
	now: number,
	{lapseHeartbeatIntervals: pulsesToLapse}: DirectoryLimits,
): boolean {
	return lapsedAt === undefined && now - heardAt > usualMs * pulsesToLapse;
}

function emitLapse(update: DirectoryUpdate, address: string, silentMs: number): void {
	update.emit(
		{type: 'node-silent', node: address},
		{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
	);
}

function sendingIntervalMs(
	{lapsedAt, watchReportedAt: watchedAt}: Peer,
	isLocal: boolean,
	{localMs, remoteMs, isWatcher}: HeartbeatIntervals,
	{
		lapsedHeartbeatIntervalMs: lapsedPulseIntervalMs,
		watcherHeartbeatIntervalMs: watcherPulseIntervalMs,
	}: DirectoryLimits,
): number {
	if (lapsedAt !== undefined) {
		return lapsedPulseIntervalMs;
	}

	const usualMs = isLocal ? localMs : remoteMs;
	const isReliedOn = isWatcher && (isLocal || watchedAt !== undefined);
	return isReliedOn ? Math.min(usualMs, watcherPulseIntervalMs) : usualMs;
}

import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState, type Peer} from './directory-state.js';
import {heartbeatIntervals, type HeartbeatIntervals} from './heartbeat-intervals.js';
import {announceToAll, heartbeatOf, isWatching, setMembers} from './member-actions.js';
import {isSmallMesh} from './watchers.js';

/** Detects nodes that have stopped responding, and sends heartbeats to the peers. */
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

/** Intervals of this node's heartbeats, and whether other nodes rely on it for new versions. */
type OwnIntervals = HeartbeatIntervals & {readonly isWatcher: boolean};

function ownIntervals({members, watch}: DirectoryState, limits: DirectoryLimits): OwnIntervals {
	const {self, records, peers} = members;
	const local = [...records.values()].filter(({dataCentre}) => dataCentre === self.dataCentre);
	return {
		...heartbeatIntervals({local: local.length, total: peers.size}, limits),
		isWatcher: isWatching(watch) && !isSmallMesh(members, limits),
	};
}

/** Extends the time-outs of all peers by a pause in which this process could not receive anything. */
function compensateForPause(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const durationMs = now - members.lastTickAt;
	if (durationMs < limits.pauseThresholdMs) {
		return;
	}

	const peers = new Map(members.peers);
	for (const [address, peer] of peers) {
		peers.set(address, {...peer, receivedAt: peer.receivedAt + durationMs});
	}

	update.set('members', {peers});
	update.emit({type: 'notify', notice: {type: 'paused', durationMs}});
}

function repeatAnnouncement(update: DirectoryUpdate, {now}: DirectoryContext): void {
	const {reannounceAt} = update.pending.members;
	const remaining = reannounceAt.filter((at) => at > now);
	if (remaining.length < reannounceAt.length) {
		update.set('members', {reannounceAt: remaining});
		announceToAll(update, false, now);
	}
}

function checkPeers(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const intervals = ownIntervals(update.pending, limits);
	const datagram = heartbeatOf(update.pending);
	const peers = new Map(members.peers);
	const records = new Map(members.records);
	for (const [address, peer] of members.peers) {
		const isLocal = members.records.get(address)?.dataCentre === members.self.dataCentre;
		const intervalMs = isLocal ? intervals.localMs : intervals.remoteMs;
		if (isRemovalDue(peer, now, limits)) {
			peers.delete(address);
			records.delete(address);
		} else if (hasTimedOut(peer, intervalMs, now, limits)) {
			peers.set(address, {...peer, lapsedAt: now});
			emitLapse(update, address, now - peer.receivedAt);
		} else if (
			members.records.get(address)?.status !== 'left' &&
			now - peer.sentAt >= sendingIntervalMs(peer, isLocal, intervals, limits)
		) {
			peers.set(address, {...peer, sentAt: now});
			update.emit({type: 'send', to: address, datagram});
		}
	}

	const hasRemovedRecords = records.size < members.records.size;
	setMembers(update, {...members, peers, records: hasRemovedRecords ? records : members.records});
}

function isRemovalDue({lapsedAt}: Peer, now: number, {removalTimeoutMs}: DirectoryLimits): boolean {
	return lapsedAt !== undefined && now - lapsedAt > removalTimeoutMs;
}

function hasTimedOut(
	{lapsedAt, receivedAt}: Peer,
	intervalMs: number,
	now: number,
	{lapseHeartbeatIntervals}: DirectoryLimits,
): boolean {
	return lapsedAt === undefined && now - receivedAt > intervalMs * lapseHeartbeatIntervals;
}

function emitLapse(update: DirectoryUpdate, address: string, silentMs: number): void {
	update.emit(
		{type: 'node-silent', node: address},
		{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
	);
}

function sendingIntervalMs(
	{lapsedAt, watchReportedAt}: Peer,
	isLocal: boolean,
	{localMs, remoteMs, isWatcher}: OwnIntervals,
	{lapsedHeartbeatIntervalMs, watcherHeartbeatIntervalMs}: DirectoryLimits,
): number {
	if (lapsedAt !== undefined) {
		return lapsedHeartbeatIntervalMs;
	}

	const intervalMs = isLocal ? localMs : remoteMs;
	const isReliedOn = isWatcher && (isLocal || watchReportedAt !== undefined);
	return isReliedOn ? Math.min(intervalMs, watcherHeartbeatIntervalMs) : intervalMs;
}

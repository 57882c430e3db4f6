import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type MembersSection, type Peer} from './directory-state.js';
import {heartbeatIntervals} from './heartbeat-intervals.js';
import {
	announce,
	emitLapse,
	heartbeatOf,
	localPeers,
	mayReturn,
	sendToPeers,
	setMembers,
} from './member-actions.js';
import {isSmallMesh} from './watchers.js';

/**
 * In a small mesh, sends heartbeats to all other nodes and detects those that have stopped responding.
 * In a mesh of any size, repeats announcements and removes nodes that are long gone.
 */
export class HeartbeatController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type !== 'tick') {
			return;
		}

		compensateForPause(update, context);
		update.set('members', {lastTickAt: context.now});
		repeatAnnouncement(update, context);
		removeLapsed(update, context);
		if (isSmallMesh(update.pending.members, context.limits)) {
			detectSilentPeers(update, context);
			sendHeartbeats(update, context);
		}
	}
}

/** Extends the time-outs of all peers by a pause in which this process could not receive anything. */
function compensateForPause(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members, digests} = update.pending;
	const durationMs = now - members.lastTickAt;
	if (durationMs < limits.pauseThresholdMs) {
		return;
	}

	const extended = [...members.peers].map(
		([address, peer]) => [address, {...peer, receivedAt: peer.receivedAt + durationMs}] as const,
	);
	const confirmedAt = [...digests.confirmedAt].map(
		([name, at]) => [name, at + durationMs] as const,
	);
	update.set('members', {peers: members.peers.withAll(extended)});
	update.set('digests', {confirmedAt: new Map(confirmedAt)});
	update.emit({type: 'notify', notice: {type: 'paused', durationMs}});
}

function repeatAnnouncement(update: DirectoryUpdate, context: DirectoryContext): void {
	const {reannounceAt} = update.pending.members;
	const remaining = reannounceAt.filter((at) => at > context.now);
	if (remaining.length < reannounceAt.length) {
		update.set('members', {reannounceAt: remaining});
		announce(update, false, context);
	}
}

function removeLapsed(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	if (members.alive.length > members.peers.size) {
		// All peers are alive.
		return;
	}

	const removed: string[] = [];
	for (const [address, {lapsedAt}] of members.peers) {
		if (lapsedAt !== undefined && now - lapsedAt > limits.removalTimeoutMs) {
			removed.push(address);
		}
	}

	if (removed.length > 0) {
		const records = new Map(members.records);
		for (const address of removed) {
			records.delete(address);
		}

		setMembers(update, {...members, peers: members.peers.without(removed), records});
	}
}

function detectSilentPeers(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const intervalOf = intervalsOf(members, limits);
	const lapsed: Array<readonly [string, Peer]> = [];
	for (const [address, peer] of members.peers) {
		const timeoutMs = intervalOf(address) * limits.lapseHeartbeatIntervals;
		if (peer.lapsedAt === undefined && now - peer.receivedAt > timeoutMs) {
			lapsed.push([address, {...peer, lapsedAt: now}]);
			emitLapse(update, address, now - peer.receivedAt);
		}
	}

	if (lapsed.length > 0) {
		setMembers(update, {...members, peers: members.peers.withAll(lapsed)});
	}
}

function sendHeartbeats(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	const intervalOf = intervalsOf(members, limits);
	const due: string[] = [];
	for (const [address, peer] of members.peers) {
		const {lapsedAt, sentAt} = peer;
		const intervalMs =
			lapsedAt === undefined ? intervalOf(address) : limits.lapsedHeartbeatIntervalMs;
		if (now - sentAt >= intervalMs && mayReturn(members.records.get(address), peer, now, limits)) {
			due.push(address);
		}
	}

	if (due.length > 0) {
		sendToPeers(update, due, heartbeatOf(update.pending), now);
	}
}

/** Returns a function that returns the interval of heartbeats to and from a node, in milliseconds. */
function intervalsOf(
	members: MembersSection,
	limits: DirectoryLimits,
): (address: string) => number {
	const {records, peers, self} = members;
	const local = localPeers(members).length;
	const {localMs, remoteMs} = heartbeatIntervals({local, total: peers.size}, limits);
	return (address) => (records.get(address)?.dataCentre === self.dataCentre ? localMs : remoteMs);
}

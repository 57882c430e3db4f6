import {scaledByDataCentre} from './digest-intervals.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryState, type Peer} from './directory-state.js';
import {
	announcementOf,
	emitLapse,
	inquire,
	mayReturn,
	sendToPeers,
	setMembers,
} from './member-actions.js';
import {isSmallMesh} from './watchers.js';

/**
 * In a large mesh, detects nodes that have stopped responding. A node of which no digest brings a sign
 * of life is inquired, and lapses only when it doesn't answer: the silence may be the watchers'. Nodes
 * that have lapsed are inquired now and then, one at a time.
 */
export class LivenessController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		const {members, digests} = update.pending;
		const {now, limits} = context;
		const isDue = now - digests.checkedAt >= limits.silenceCheckIntervalMs;
		if (event.type === 'tick' && isDue && !isSmallMesh(members, limits)) {
			update.set('digests', {checkedAt: now});
			checkSilentNodes(update, context);
			contactLapsedNode(update, context);
		}
	}
}

/** Returns when a node was last known to be alive. */
function lastSignOfLife({digests}: DirectoryState, {receivedAt}: Peer, dataCentre: string): number {
	return Math.max(receivedAt, digests.confirmedAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY);
}

function checkSilentNodes(update: DirectoryUpdate, context: DirectoryContext): void {
	const {now, limits} = context;
	const state = update.pending;
	const {members} = state;
	const digestMs = scaledByDataCentre(limits.digestIntervalMs, members, limits);
	const localInquiryAfterMs = limits.inquiryAfterMs + digestMs;
	const remoteInquiryAfterMs = localInquiryAfterMs + 2 * limits.summaryIntervalMs;
	const lapsed: Array<readonly [string, Peer]> = [];
	let inquiries = 0;
	for (const {address, dataCentre} of members.alive) {
		const peer = members.peers.get(address);
		if (peer === undefined) {
			continue;
		}

		const aliveAt = lastSignOfLife(state, peer, dataCentre);
		const isLocal = dataCentre === members.self.dataCentre;
		const overdueMs = now - aliveAt - (isLocal ? localInquiryAfterMs : remoteInquiryAfterMs);
		if (overdueMs > limits.inquiryTimeoutMs && peer.inquiredAt > aliveAt) {
			lapsed.push([address, {...peer, lapsedAt: now}]);
			emitLapse(update, address, now - aliveAt);
		} else if (overdueMs > 0 && inquiries < limits.inquiriesAtOnce) {
			inquiries += 1;
			inquire(update, address, context);
		}
	}

	if (lapsed.length > 0) {
		const {members: current} = update.pending;
		setMembers(update, {...current, peers: current.peers.withAll(lapsed)});
	}
}

/** Asks one of the nodes that have lapsed for its record: it may be reachable again. */
function contactLapsedNode(update: DirectoryUpdate, {now, limits, random}: DirectoryContext): void {
	const {peers, records, alive} = update.pending.members;
	if (alive.length > peers.size) {
		return;
	}

	const candidates: string[] = [];
	for (const [address, peer] of peers) {
		const record = records.get(address);
		const isAway = peer.lapsedAt !== undefined || record?.status === 'left';
		const isWaiting = now - peer.sentAt < limits.lapsedHeartbeatIntervalMs;
		if (isAway && !isWaiting && mayReturn(record, peer, now, limits)) {
			candidates.push(address);
		}
	}

	if (candidates.length > 0) {
		const to = candidates[random.below(candidates.length)];
		sendToPeers(update, [to], announcementOf(update.pending, true), now);
	}
}

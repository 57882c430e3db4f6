import {type Datagram} from '../model/datagram.js';
import {isRoutable, supersedes, type NodeRecord} from '../model/node-record.js';
import {aliveIndexOf} from './alive-index.js';
import {type DirectoryContext, type DirectoryUpdate} from './directory-controller.js';
import {type DirectoryLimits} from './directory-limits.js';
import {
	type DirectoryState,
	type MembersSection,
	type Peer,
	type WatchSection,
} from './directory-state.js';
import {recordIndexOf} from './record-index.js';
import {isSmallMesh, watchersOf} from './watchers.js';

/** Returns a peer that has sent nothing yet. It is not routed to before it does. */
export function newPeer(now: number): Peer {
	return {
		receivedAt: Number.NEGATIVE_INFINITY,
		sentAt: Number.NEGATIVE_INFINITY,
		inquiredAt: Number.NEGATIVE_INFINITY,
		lapsedAt: now,
	};
}

/** Signs of life of other nodes, by control address. */
export type SignOfLife = {
	/** When the node was alive. */
	readonly at: number;
	/** Whether the node itself reported that it watches the store and reaches it. */
	readonly isWatching?: boolean;
	readonly load?: Peer['load'];
};

/** Records signs of life of other nodes. Nodes that had lapsed are routed to again. */
export function markAlive(
	update: DirectoryUpdate,
	signs: Iterable<readonly [string, SignOfLife]>,
	now: number,
): void {
	const {members} = update.pending;
	const changed: Array<readonly [string, Peer]> = [];
	let hasReturned = false;
	for (const [address, {at, isWatching, load}] of signs) {
		const peer = members.peers.get(address) ?? newPeer(now);
		if (at >= peer.receivedAt) {
			const watchReportedAt = isWatching === true ? at : peer.watchReportedAt;
			const isNewer = load !== undefined && load.at >= (peer.load?.at ?? 0);
			const newestLoad = isNewer ? load : peer.load;
			changed.push([
				address,
				{...peer, receivedAt: at, watchReportedAt, lapsedAt: undefined, load: newestLoad},
			]);
			if (peer.lapsedAt !== undefined) {
				hasReturned = true;
				update.emit({type: 'notify', notice: {type: 'node-returned', peer: address}});
			}
		}
	}

	const peers = members.peers.withAll(changed);
	if (hasReturned) {
		setMembers(update, {...members, peers});
	} else {
		update.set('members', {peers});
	}
}

/** Merges records that other nodes reported. Only a sign of life of a node makes it reachable. */
export function mergeRecords(
	update: DirectoryUpdate,
	records: readonly NodeRecord[],
	now: number,
): void {
	const {members} = update.pending;
	const newer = records.filter(
		(record) =>
			record.address !== members.self.address &&
			supersedes(record, members.records.get(record.address)),
	);
	if (newer.length === 0) {
		return;
	}

	const merged = new Map(members.records);
	const added: Array<readonly [string, Peer]> = [];
	for (const record of newer) {
		const {address, incarnation, status} = record;
		const known = members.records.get(address);
		merged.set(address, record);
		if (!members.peers.has(address)) {
			added.push([address, newPeer(now)]);
		}

		if (status === 'left') {
			update.emit({type: 'notify', notice: {type: 'node-left', peer: address}});
		} else if (known?.incarnation !== incarnation) {
			update.emit({type: 'notify', notice: {type: 'node-joined', peer: address, incarnation}});
		}
	}

	setMembers(update, {...members, records: merged, peers: members.peers.withAll(added)});
}

/** Returns the datagram that announces this node's record. */
export function announcementOf(state: DirectoryState, wantsReply: boolean): Datagram {
	const {self} = state.members;
	const version = state.adoption.held?.version ?? 0;
	// The local proxy keeps using the worker; the other nodes have to stop routing to it.
	const record = state.serving.state === 'leaving' ? {...self, status: 'left' as const} : self;
	return {type: 'announcement', record, version, wantsReply, storeEra: state.store.era};
}

/** Sends a datagram to peers, and records when each was last sent one. */
export function sendToPeers(
	update: DirectoryUpdate,
	addresses: Iterable<string>,
	datagram: Datagram,
	now: number,
): void {
	const {peers} = update.pending.members;
	const sent: Array<readonly [string, Peer]> = [];
	for (const to of addresses) {
		const peer = peers.get(to);
		if (peer) {
			sent.push([to, {...peer, sentAt: now}]);
			update.emit({type: 'send', to, datagram});
		}
	}

	update.set('members', {peers: peers.withAll(sent)});
}

/**
 * Announces this node's record. In a large mesh the watchers of the other data centres pass it on to
 * their nodes.
 */
export function announce(
	update: DirectoryUpdate,
	wantsReply: boolean,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {members} = update.pending;
	const datagram = announcementOf(update.pending, wantsReply);
	const receivers = isSmallMesh(members, limits)
		? members.peers.keys()
		: [...localPeers(members), ...remoteWatchers(members, limits)];
	sendToPeers(update, receivers, datagram, now);
}

/**
 * Whether a node that is away may come back by itself. One that has left is stopped as planned, mostly to
 * be started again, and may then have nobody to ask while the store is away.
 */
export function mayReturn(
	record: NodeRecord | undefined,
	{receivedAt}: Peer,
	now: number,
	{departureContactMs}: DirectoryLimits,
): boolean {
	return record?.status !== 'left' || now - receivedAt < departureContactMs;
}

/** Reports that a node stopped responding. */
export function emitLapse(update: DirectoryUpdate, address: string, silentMs: number): void {
	update.emit(
		{type: 'node-silent', node: address},
		{type: 'notify', notice: {type: 'node-lapsed', peer: address, silentMs}},
	);
}

/** Asks a node for its record, unless it was asked very recently. */
export function inquire(
	update: DirectoryUpdate,
	to: string,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {peers} = update.pending.members;
	const peer = peers.get(to) ?? newPeer(now);
	if (now - peer.inquiredAt >= limits.inquiryIntervalMs) {
		update.set('members', {peers: peers.with(to, {...peer, inquiredAt: now})});
		update.emit({type: 'send', to, datagram: {type: 'inquiry'}});
	}
}

/** Returns the control addresses of the other nodes of the local data centre, whether alive or not. */
export function localPeers({self, records}: MembersSection): readonly string[] {
	const local = recordIndexOf(records).byDataCentre.get(self.dataCentre) ?? [];
	return local.map(({address}) => address);
}

/** Returns the control addresses of the watchers of the other data centres. */
export function remoteWatchers(
	members: MembersSection,
	limits: DirectoryLimits,
): readonly string[] {
	const dataCentres = [...aliveIndexOf(members.alive).keys()];
	return dataCentres
		.filter((dataCentre) => dataCentre !== members.self.dataCentre)
		.flatMap((dataCentre) => watchersOf(members, dataCentre, limits));
}

/** Returns the heartbeat datagram, which shows that this node is alive and which version it holds. */
export function heartbeatOf({members, adoption, watch, crashes, store}: DirectoryState): Datagram {
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
		storeEra: store.era,
	};
}

/** Whether other nodes may rely on this one for new versions. */
export function isWatching({isOn, isStoreReachable}: WatchSection): boolean {
	return isOn && isStoreReachable;
}

/**
 * Sends a heartbeat with the version held to the nodes that may rely on this one for new versions: if it
 * watches the store, those of the local data centre, and in a large mesh the watchers of the others.
 */
export function notifyOfVersion(
	update: DirectoryUpdate,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {members, watch} = update.pending;
	if (!isWatching(watch)) {
		return;
	}

	const remote = isSmallMesh(members, limits) ? [] : remoteWatchers(members, limits);
	sendToPeers(update, [...localPeers(members), ...remote], heartbeatOf(update.pending), now);
}

/** Changes this node's record; announces it at once and again later, because datagrams get lost. */
export function updateSelf(
	update: DirectoryUpdate,
	change: Partial<NodeRecord>,
	context: DirectoryContext,
): void {
	const {now, limits} = context;
	const {self} = update.pending.members;
	const changed = {...self, revision: self.revision + 1, ...change};
	const reannounceAt = limits.reannounceDelaysMs.map((delayMs) => now + delayMs);
	update.set('members', {self: changed, reannounceAt});
	setMembers(update, update.pending.members);
	announce(update, false, context);
}

/**
 * Sets the members, the nodes that are alive and those that calls may be routed to. An unchanged list
 * stays the same object, so that nothing is derived from it again.
 */
export function setMembers(update: DirectoryUpdate, members: MembersSection): void {
	const alive = keepIfSame(members.alive, aliveRecords(members));
	const reachable = keepIfSame(members.reachable, reachableRecords(members.self, alive));
	update.set('members', {...members, alive, reachable});
}

function keepIfSame(
	previous: readonly NodeRecord[],
	next: readonly NodeRecord[],
): readonly NodeRecord[] {
	const isSame =
		next.length === previous.length && next.every((record, index) => record === previous[index]);
	return isSame ? previous : next;
}

function aliveRecords({self, records, peers}: MembersSection): readonly NodeRecord[] {
	const others = [...records.values()].filter(
		({address, status}) => status === 'live' && peers.get(address)?.lapsedAt === undefined,
	);
	return [self, ...others];
}

/** This node itself is always listed: whether its worker takes calls is for its gate to decide. */
function reachableRecords(self: NodeRecord, alive: readonly NodeRecord[]): readonly NodeRecord[] {
	return alive.filter((record) => record === self || isRoutable(record));
}

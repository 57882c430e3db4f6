import {type NodeRecord} from '../model/node-record.js';
import {type DataCentreSummary} from '../model/node-status.js';
import {aliveIndexOf} from './alive-index.js';
import {sendRecords, sendStatuses} from './digest-datagrams.js';
import {scaledByDataCentre, scaledByMesh} from './digest-intervals.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState, type MembersSection} from './directory-state.js';
import {
	heartbeatOf,
	isWatching,
	localPeers,
	remoteWatchers,
	sendToPeers,
} from './member-actions.js';
import {isSmallMesh, isWatcher, watchersOf} from './watchers.js';

/**
 * In a large mesh, sends heartbeats to the watchers of the local data centre only. A watcher tells the
 * nodes of its data centre which nodes are alive and how loaded they are, and the watchers of the other
 * data centres the same in short.
 */
export class DigestSendingController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (!exchangesDigests(update.pending, context.limits)) {
			return;
		}

		if (event.type === 'tick') {
			sendHeartbeat(update, context);
			sendDigests(update, context);
		} else if (event.type === 'datagram' && event.datagram.type === 'announcement') {
			collectForSpreading(update, event.datagram.record, context);
		}
	}
}

/** A leaving node is none of the watchers any more for the other nodes. */
function exchangesDigests({members, serving}: DirectoryState, limits: DirectoryLimits): boolean {
	return !isSmallMesh(members, limits) && serving.state !== 'leaving';
}

/** Keeps another data centre's record that has just changed, if this node is a watcher. */
function collectForSpreading(
	update: DirectoryUpdate,
	record: NodeRecord,
	{now, limits}: DirectoryContext,
): void {
	const {members, digests} = update.pending;
	const isNews = update.current.members.records.get(record.address) !== record;
	const isMerged = members.records.get(record.address) === record;
	if (
		isNews &&
		isMerged &&
		record.dataCentre !== members.self.dataCentre &&
		isWatcher(members, limits)
	) {
		const dueTimes = limits.spreadDelaysMs.map((delayMs) => now + delayMs);
		const added = dueTimes.map((dueAt) => ({record, dueAt}));
		update.set('digests', {unspread: [...digests.unspread, ...added]});
	}
}

/** Sends a heartbeat to the watchers of the local data centre. */
function sendHeartbeat(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members, digests, watch} = update.pending;
	const isWatchingAlone = isWatching(watch) && !isWatcher(members, limits);
	// Other nodes rely on a node that watches the store because the data centre's watchers don't reach it.
	const intervalMs = isWatchingAlone
		? limits.watcherHeartbeatIntervalMs
		: scaledByDataCentre(limits.heartbeatIntervalMs, members, limits);
	if (now - digests.heartbeatSentAt < intervalMs) {
		return;
	}

	update.set('digests', {heartbeatSentAt: now});
	const receivers = isWatchingAlone
		? localPeers(members)
		: watchersOf(members, members.self.dataCentre, limits);
	sendToPeers(update, receivers, heartbeatOf(update.pending), now);
}

function sendDigests(update: DirectoryUpdate, {now, limits}: DirectoryContext): void {
	const {members} = update.pending;
	if (!isWatcher(members, limits)) {
		return;
	}

	spreadRecords(update, now);
	const {digests} = update.pending;
	if (now - digests.localSentAt >= scaledByDataCentre(limits.digestIntervalMs, members, limits)) {
		sendLocalDigest(update, {now, limits});
	}

	if (now - digests.summarySentAt >= limits.summaryIntervalMs) {
		sendRemoteDigest(update, {now, limits});
	}
}

/** Passes changed records of other data centres on to the local nodes, with a sign of life. */
function spreadRecords(update: DirectoryUpdate, now: number): void {
	const {members, digests} = update.pending;
	if (digests.unspread.length === 0) {
		return;
	}

	const due = digests.unspread.filter(({dueAt}) => dueAt <= now).map(({record}) => record);
	update.set('digests', {unspread: digests.unspread.filter(({dueAt}) => dueAt > now)});
	const current = due.filter((record) => members.records.get(record.address) === record);
	if (current.length === 0) {
		return;
	}

	const receivers = aliveLocalPeers(members);
	sendRecords(update, receivers, current);
	const alive = current.filter((record) => members.alive.includes(record));
	sendStatuses(update, {receivers, records: alive}, now);
}

function sendLocalDigest(
	update: DirectoryUpdate,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {members, digests} = update.pending;
	const {dataCentre} = members.self;
	const index = aliveIndexOf(members.alive);
	const summaries: DataCentreSummary[] = [];
	for (const [name, {id, stampSum}] of index) {
		const confirmedAt = digests.confirmedAt.get(name);
		if (name !== dataCentre && confirmedAt !== undefined) {
			summaries.push({id, stampSum, ageMs: now - confirmedAt});
		}
	}

	const isRelayDue =
		now - digests.relayedSentAt >= scaledByMesh(limits.relayedStatusIntervalMs, members, limits);
	const records = isRelayDue ? members.alive : (index.get(dataCentre)?.records ?? []);
	update.set('digests', {localSentAt: now, ...(isRelayDue ? {relayedSentAt: now} : {})});
	sendStatuses(update, {receivers: aliveLocalPeers(members), records, summaries}, now);
}

/** Sends the state of the local data centre to the watchers of the others. */
function sendRemoteDigest(
	update: DirectoryUpdate,
	{now, limits}: Pick<DirectoryContext, 'now' | 'limits'>,
): void {
	const {members, digests} = update.pending;
	const local = aliveIndexOf(members.alive).get(members.self.dataCentre);
	if (local === undefined) {
		return;
	}

	const {id, stampSum, records} = local;
	const areStatusesDue =
		now - digests.statusSentAt >= scaledByDataCentre(limits.statusIntervalMs, members, limits);
	update.set('digests', {summarySentAt: now, ...(areStatusesDue ? {statusSentAt: now} : {})});
	const receivers = remoteWatchers(members, limits);
	const summaries = [{id, stampSum, ageMs: 0}];
	sendStatuses(update, {receivers, records: areStatusesDue ? records : [], summaries}, now);
}

function aliveLocalPeers({self, alive}: MembersSection): readonly string[] {
	const local = aliveIndexOf(alive).get(self.dataCentre)?.records ?? [];
	return local.filter((record) => record !== self).map(({address}) => address);
}

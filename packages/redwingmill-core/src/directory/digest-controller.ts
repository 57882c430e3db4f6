import {type Datagram} from '../model/datagram.js';
import {type NodeRecord} from '../model/node-record.js';
import {
	digestIdOf,
	stampOf,
	type DataCentreSummary,
	type NodeStatus,
	type ReportedLoad,
} from '../model/node-status.js';
import {aliveIndexOf} from './alive-index.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState, type MembersSection} from './directory-state.js';
import {
	announcementOf,
	heartbeatOf,
	inquire,
	isWatching,
	localPeers,
	markAlive,
	mergeRecords,
	remoteWatchers,
	sendToPeers,
	type SignOfLife,
} from './member-actions.js';
import {recordIndexOf} from './record-index.js';
import {scaledByDataCentre, scaledByMesh} from './digest-intervals.js';
import {isSmallMesh, isWatcher, watchersOf} from './watchers.js';

type Digest = Extract<Datagram, {type: 'digest'}>;

/** Numbers of entries that keep a datagram below the usual size of a packet on the network. */
const statusesPerDatagram = 64;
const recordsPerDatagram = 8;
const idsPerDatagram = 200;

/**
 * In a large mesh, exchanges digests in place of heartbeats between all nodes: each node sends
 * heartbeats to the watchers of its data centre only. The watchers tell the nodes of their data centre
 * which nodes are alive and how loaded they are, and the watchers of the other data centres the same in
 * short. A receiver that knows other records than the digest requests them.
 */
export class DigestController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'datagram': {
				handleDatagram(update, event.from, event.datagram, context);
				break;
			}

			case 'tick': {
				if (exchangesDigests(update.pending, context.limits)) {
					sendHeartbeat(update, context);
					sendDigests(update, context);
				}

				break;
			}

			default: {
				break;
			}
		}
	}
}

/** A leaving node is none of the watchers any more for the other nodes. */
function exchangesDigests({members, serving}: DirectoryState, limits: DirectoryLimits): boolean {
	return !isSmallMesh(members, limits) && serving.state !== 'leaving';
}

function handleDatagram(
	update: DirectoryUpdate,
	from: string,
	datagram: Datagram,
	context: DirectoryContext,
): void {
	switch (datagram.type) {
		case 'announcement': {
			collectForSpreading(update, datagram.record, context);
			break;
		}

		case 'digest': {
			handleDigest(update, from, datagram, context);
			break;
		}

		case 'status-request': {
			const {alive} = update.pending.members;
			const records = alive.filter(
				({dataCentre}) => digestIdOf(dataCentre) === datagram.dataCentreId,
			);
			sendStatuses(update, {receivers: [from], records}, context.now);
			break;
		}

		case 'record-request': {
			const {records, self} = update.pending.members;
			const {addressesById} = recordIndexOf(records);
			const requested = datagram.ids.flatMap((id) => {
				const record = records.get(addressesById.get(id) ?? '');
				return record ?? (id === digestIdOf(self.address) ? [self] : []);
			});
			sendRecords(update, [from], requested);
			break;
		}

		case 'records': {
			mergeRecords(update, datagram.records, context.now);
			break;
		}

		case 'pulse':
		case 'departure':
		case 'inquiry':
		case 'outdated':
		case 'suspicion': {
			break;
		}
	}
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
		!isSmallMesh(members, limits) &&
		isWatcher(members, limits)
	) {
		const dueTimes = limits.spreadDelaysMs.map((delayMs) => now + delayMs);
		const added = dueTimes.map((dueAt) => ({record, dueAt}));
		update.set('digests', {unspread: [...digests.unspread, ...added]});
	}
}

function handleDigest(
	update: DirectoryUpdate,
	from: string,
	digest: Digest,
	context: DirectoryContext,
): void {
	const {now} = context;
	const sender = update.pending.members.records.get(from);
	if (sender?.incarnation !== digest.incarnation || sender.revision !== digest.revision) {
		inquire(update, from, context);
		return;
	}

	markAlive(update, [[from, {at: now, isWatching: digest.isWatching}]], now);
	handleStatuses(update, from, digest.statuses, context);
	for (const summary of digest.summaries) {
		handleSummary(update, from, summary, context);
	}
}

/** Marks the nodes alive whose records are known, and requests the others' records. */
function handleStatuses(
	update: DirectoryUpdate,
	from: string,
	statuses: readonly NodeStatus[],
	{now, limits}: DirectoryContext,
): void {
	const {members, digests} = update.pending;
	const {addressesById} = recordIndexOf(members.records);
	const ownId = digestIdOf(members.self.address);
	const signs: Array<readonly [string, SignOfLife]> = [];
	const loads = new Map<string, ReportedLoad>();
	const unknownIds: number[] = [];
	for (const {id, stamp, ageMs, load} of statuses) {
		const address = addressesById.get(id);
		const record = address === undefined ? undefined : members.records.get(address);
		if (id === ownId) {
			if (stamp !== stampOf(members.self)) {
				sendToPeers(update, [from], announcementOf(update.pending, false), now);
			}
		} else if (record === undefined || stampOf(record) !== stamp) {
			unknownIds.push(id);
		} else {
			const reported = load && {load: load.load, at: now - load.ageMs};
			signs.push([record.address, {at: now - ageMs, load: reported}]);
			if (load) {
				loads.set(record.address, load);
			}
		}
	}

	markAlive(update, signs, now);
	if (loads.size > 0) {
		update.emit({type: 'loads-heard', loads});
	}

	const isRequestDue = now - digests.recordsRequestedAt >= limits.digestRequestIntervalMs;
	if (unknownIds.length > 0 && isRequestDue) {
		update.set('digests', {recordsRequestedAt: now});
		const ids = unknownIds.slice(0, idsPerDatagram);
		update.emit({type: 'send', to: from, datagram: {type: 'record-request', ids}});
	}
}

/** Confirms all known nodes of a data centre at once, or requests their statuses. */
function handleSummary(
	update: DirectoryUpdate,
	from: string,
	{id, stampSum, ageMs}: DataCentreSummary,
	{now, limits}: DirectoryContext,
): void {
	const {members, digests} = update.pending;
	if (id === digestIdOf(members.self.dataCentre)) {
		return;
	}

	const [name, known] = [...aliveIndexOf(members.alive)].find(([, each]) => each.id === id) ?? [];
	if (name !== undefined && known?.stampSum === stampSum) {
		const previous = digests.confirmedAt.get(name) ?? Number.NEGATIVE_INFINITY;
		const confirmedAt = new Map(digests.confirmedAt).set(name, Math.max(now - ageMs, previous));
		update.set('digests', {confirmedAt});
		return;
	}

	const requestedAt = digests.statusRequestedAt.get(id) ?? Number.NEGATIVE_INFINITY;
	if (now - requestedAt >= limits.digestRequestIntervalMs) {
		const statusRequestedAt = new Map(digests.statusRequestedAt).set(id, now);
		update.set('digests', {statusRequestedAt});
		update.emit({type: 'send', to: from, datagram: {type: 'status-request', dataCentreId: id}});
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

/** Nodes whose statuses are sent, to whom, and the summaries that go with the first datagram. */
type StatusReport = {
	readonly receivers: readonly string[];
	readonly records: readonly NodeRecord[];
	readonly summaries?: readonly DataCentreSummary[];
};

/** Sends the statuses of nodes in as many digests as they need, at least in one. */
function sendStatuses(
	update: DirectoryUpdate,
	{receivers, records, summaries = []}: StatusReport,
	now: number,
): void {
	const statuses = records.map((record) => statusOf(update.pending, record, now));
	for (let start = 0; start < Math.max(1, statuses.length); start += statusesPerDatagram) {
		const part = statuses.slice(start, start + statusesPerDatagram);
		const datagram = digestOf(update.pending, start === 0 ? summaries : [], part);
		sendToPeers(update, receivers, datagram, now);
	}
}

function sendRecords(
	update: DirectoryUpdate,
	receivers: readonly string[],
	records: readonly NodeRecord[],
): void {
	for (let start = 0; start < records.length; start += recordsPerDatagram) {
		const part = records.slice(start, start + recordsPerDatagram);
		for (const to of receivers) {
			update.emit({type: 'send', to, datagram: {type: 'records', records: part}});
		}
	}
}

function digestOf(
	{members, adoption, watch, crashes, store}: DirectoryState,
	summaries: readonly DataCentreSummary[],
	statuses: readonly NodeStatus[],
): Digest {
	return {
		type: 'digest',
		incarnation: members.self.incarnation,
		revision: members.self.revision,
		version: adoption.held?.version ?? 0,
		isWatching: isWatching(watch),
		crashDigest: crashes.digest,
		storeEra: store.era,
		summaries,
		statuses,
	};
}

function statusOf({members, digests}: DirectoryState, record: NodeRecord, now: number): NodeStatus {
	const id = digestIdOf(record.address);
	const stamp = stampOf(record);
	if (record === members.self) {
		const {load} = members;
		return {id, stamp, ageMs: 0, ...(load ? {load: {load, ageMs: 0}} : {})};
	}

	const {receivedAt = now, load} = members.peers.get(record.address) ?? {};
	const confirmedAt = digests.confirmedAt.get(record.dataCentre) ?? receivedAt;
	return {
		id,
		stamp,
		ageMs: Math.max(0, now - Math.max(receivedAt, confirmedAt)),
		...(load ? {load: {load: load.load, ageMs: Math.max(0, now - load.at)}} : {}),
	};
}

function aliveLocalPeers({self, alive}: MembersSection): readonly string[] {
	const local = aliveIndexOf(alive).get(self.dataCentre)?.records ?? [];
	return local.filter((record) => record !== self).map(({address}) => address);
}

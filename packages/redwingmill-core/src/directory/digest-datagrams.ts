import {type Datagram} from '../model/datagram.js';
import {type NodeRecord} from '../model/node-record.js';
import {
	digestIdOf,
	stampOf,
	type DataCentreSummary,
	type NodeStatus,
} from '../model/node-status.js';
import {type DirectoryUpdate} from './directory-controller.js';
import {type DirectoryState} from './directory-state.js';
import {isWatching, sendToPeers} from './member-actions.js';

type Digest = Extract<Datagram, {type: 'digest'}>;

/** Numbers of entries that keep a datagram below the usual size of a packet on the network. */
const statusesPerDatagram = 64;
const recordsPerDatagram = 8;

/** Nodes whose statuses are sent, to whom, and the summaries that go with the first datagram. */
type StatusReport = {
	readonly receivers: readonly string[];
	readonly records: readonly NodeRecord[];
	readonly summaries?: readonly DataCentreSummary[];
};

/** Sends the statuses of nodes in as many digests as they need, at least in one. */
export function sendStatuses(
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

/** Sends records in as many datagrams as they need. */
export function sendRecords(
	update: DirectoryUpdate,
	receivers: readonly string[],
	records: readonly NodeRecord[],
): void {
	for (let start = 0; start < records.length; start += recordsPerDatagram) {
		const part = records.slice(start, start + recordsPerDatagram);
		const datagram = {type: 'records', records: part} as const;
		for (const to of receivers) {
			update.emit({type: 'send', to, datagram});
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

import {type Datagram} from '../model/datagram.js';
import {type NodeRecord} from '../model/node-record.js';
import {rankWatchers} from './alive-index.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {
	announce,
	announcementOf,
	inquire,
	markAlive,
	mergeRecords,
	newPeer,
	sendToPeers,
	updateSelf,
} from './member-actions.js';
import {isSmallMesh} from './watchers.js';

/** Maintains the records of the other nodes and announces this node's record to them. */
export class PeersController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		switch (event.type) {
			case 'datagram': {
				handleDatagram(update, event.from, event.datagram, context);
				break;
			}

			case 'node-heard': {
				markAlive(update, [[event.address, {at: context.now}]], context.now);
				break;
			}

			case 'seeds-known': {
				addSeeds(update, event.addresses, context);
				break;
			}

			case 'registry-listed': {
				mergeRegistryRecords(update, event.records ?? [], context);
				break;
			}

			case 'worker-changed': {
				updateSelf(update, {worker: event.worker}, context);
				break;
			}

			case 'load-changed': {
				update.set('members', {load: event.load});
				break;
			}

			case 'leave-requested': {
				updateSelf(update, {}, context);
				break;
			}

			default: {
				break;
			}
		}
	}
}

function handleDatagram(
	update: DirectoryUpdate,
	from: string,
	datagram: Datagram,
	context: DirectoryContext,
): void {
	switch (datagram.type) {
		case 'announcement': {
			if (datagram.record.address === from) {
				handleAnnouncement(update, datagram, context);
			}

			break;
		}

		case 'pulse': {
			handleHeartbeat(update, from, datagram, context);
			break;
		}

		case 'inquiry': {
			markAlive(update, [[from, {at: context.now}]], context.now);
			update.emit({type: 'send', to: from, datagram: announcementOf(update.pending, false)});
			break;
		}

		case 'outdated': {
			raiseIncarnation(update, datagram.incarnation, context);
			break;
		}

		case 'departure': {
			const {instance, startedAt} = datagram;
			update.emit({type: 'worker-departed', instance, startedAt});
			break;
		}

		case 'digest':
		case 'status-request':
		case 'record-request':
		case 'records':
		case 'suspicion':
		case 'rollout':
		case 'rollout-evidence':
		case 'quota-report':
		case 'quota-reply':
		case 'quota-demand': {
			// Other controllers handle them.
			break;
		}
	}
}

function handleAnnouncement(
	update: DirectoryUpdate,
	{record, wantsReply}: Extract<Datagram, {type: 'announcement'}>,
	{now}: DirectoryContext,
): void {
	const {address, incarnation} = record;
	const known = update.pending.members.records.get(address);
	if (known && known.incarnation > incarnation) {
		const datagram = {type: 'outdated', incarnation: known.incarnation} as const;
		update.emit({type: 'send', to: address, datagram});
		return;
	}

	if (known && known.incarnation < incarnation) {
		tellDeparture(update, known);
	}

	mergeRecords(update, [record], now);
	markAlive(update, [[address, {at: now}]], now);
	if (wantsReply) {
		update.emit({type: 'send', to: address, datagram: announcementOf(update.pending, false)});
	}
}

/**
 * Tells a node that has restarted that its worker is leaving. It would take a late announcement for the
 * worker's state, and would send calls to it again.
 */
function tellDeparture(update: DirectoryUpdate, {address, worker}: NodeRecord): void {
	if (worker?.state === 'draining' && worker.instance !== undefined) {
		const {instance, startedAt} = worker;
		update.emit({type: 'send', to: address, datagram: {type: 'departure', instance, startedAt}});
	}
}

function handleHeartbeat(
	update: DirectoryUpdate,
	from: string,
	{incarnation, revision, load, isWatching}: Extract<Datagram, {type: 'pulse'}>,
	context: DirectoryContext,
): void {
	const {now} = context;
	const known = update.pending.members.records.get(from);
	if (known?.incarnation !== incarnation || known.revision !== revision) {
		inquire(update, from, context);
		return;
	}

	markAlive(update, [[from, {at: now, isWatching, load: load && {load, at: now}}]], now);
	if (load) {
		update.emit({type: 'loads-heard', loads: new Map([[from, {load, ageMs: 0}]])});
	}
}

/**
 * Raises this node's incarnation above one that another node knows from an earlier run. A clock that
 * was set back between the two runs makes the later incarnation the lower one.
 */
function raiseIncarnation(
	update: DirectoryUpdate,
	incarnation: number,
	context: DirectoryContext,
): void {
	const {self} = update.pending.members;
	if (incarnation < self.incarnation) {
		return;
	}

	updateSelf(update, {incarnation: incarnation + 1}, context);
	update.emit({
		type: 'notify',
		notice: {type: 'identity-renewed', incarnation: incarnation + 1},
	});
}

/** Merges the registry's records, and announces this node to those that haven't answered. */
function mergeRegistryRecords(
	update: DirectoryUpdate,
	records: readonly NodeRecord[],
	context: DirectoryContext,
): void {
	mergeRecords(update, records, context.now);
	const {members} = update.pending;
	const unresponsive = records.filter(
		({address}) => members.peers.get(address)?.lapsedAt !== undefined,
	);
	if (unresponsive.length === 0) {
		return;
	}

	if (isSmallMesh(members, context.limits)) {
		announce(update, true, context);
		return;
	}

	const receivers = contactsAmong(unresponsive, members.self.dataCentre, context);
	sendToPeers(update, receivers, announcementOf(update.pending, true), context.now);
}

/**
 * Returns the nodes to contact among unresponsive ones: all of the local data centre, and some of each
 * other one, among them its likely watchers, which know the rest.
 */
function contactsAmong(
	records: readonly NodeRecord[],
	localDataCentre: string,
	{limits, random}: DirectoryContext,
): readonly string[] {
	const byDataCentre = new Map<string, NodeRecord[]>();
	for (const record of records) {
		byDataCentre.set(record.dataCentre, [...(byDataCentre.get(record.dataCentre) ?? []), record]);
	}

	return [...byDataCentre].flatMap(([dataCentre, candidates]) => {
		const ranking = rankWatchers(candidates);
		if (dataCentre === localDataCentre) {
			return ranking;
		}

		const {watchersPerDataCentre: count} = limits;
		const others = Array.from({length: count}, () => ranking[random.below(ranking.length)]);
		return [...new Set([...ranking.slice(0, count), ...others])];
	});
}

/** Adds peers for addresses at which nodes may run, and asks them for their records. */
function addSeeds(
	update: DirectoryUpdate,
	addresses: readonly string[],
	{now}: DirectoryContext,
): void {
	const {members} = update.pending;
	const added = addresses
		.filter((address) => address !== members.self.address && !members.peers.has(address))
		.map((address) => [address, newPeer(now)] as const);
	update.set('members', {peers: members.peers.withAll(added)});
	sendToPeers(update, addresses, announcementOf(update.pending, true), now);
}

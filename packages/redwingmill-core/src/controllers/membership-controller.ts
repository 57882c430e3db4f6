import {type Link} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {type NodeRecord} from '../model/node-record.js';
import {liveRecords, mergeRecords, rosterDigest, rosterDigests} from '../model/roster.js';
import {changeLink, linkNumbersOf} from './link-actions.js';

/** Smallest data centre, in live nodes, in which losing most of them is a suspected mass failure. */
const massFailureMinimumNodes = 3;
/** Consecutive heartbeats with another roster digest before a node asks for differing records. */
const mismatchesBeforeSync = 2;

/**
 * Maintains the roster: merges records, marks nodes as lapsed that stay without a link to the
 * relay, and distributes updates in batches.
 */
export class MembershipController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		switch (event.type) {
			case 'worker-changed': {
				this.#updateOwnRecord(update, {worker: event.worker});
				break;
			}

			case 'stop-requested': {
				this.#updateOwnRecord(update, {status: 'left'});
				break;
			}

			case 'link-message': {
				this.#onMessage(update, event.link, event.message);
				break;
			}

			case 'tick': {
				this.#markExpiredAsLapsed(update, context);
				this.#resendOwnRecord(update, context);
				break;
			}

			default: {
				break;
			}
		}

		this.#updateLapseDeadlines(update, context);
		this.#distributeUpdates(update, context);
	}

	#onMessage(update: Update, link: number, message: Message): void {
		switch (message.type) {
			case 'register': {
				if (update.pending.links.links.get(link)?.role !== undefined) {
					this.#merge(update, [message.record]);
				}

				break;
			}

			case 'welcome': {
				if (!update.pending.roster.pendingRecords.has(update.pending.roster.self.address)) {
					this.#updateAcknowledgedRevision(update, update.pending.roster.self);
				}

				this.#merge(update, [message.record]);
				break;
			}

			case 'sync': {
				this.#merge(update, [message.record]);
				break;
			}

			case 'records': {
				for (const record of message.records) {
					this.#updateAcknowledgedRevision(update, record);
				}

				this.#merge(update, message.records);
				break;
			}

			case 'heartbeat': {
				this.#compareDigest(update, link, message.rosterDigest);
				break;
			}

			default: {
				break;
			}
		}
	}

	#updateAcknowledgedRevision(update: Update, record: NodeRecord): void {
		const {self, acknowledgedRevision: echoedRevision} = update.pending.roster;
		const isOwn = record.address === self.address && record.incarnation === self.incarnation;
		if (isOwn && record.revision > echoedRevision) {
			update.set('roster', {acknowledgedRevision: record.revision});
		}
	}

	/**
	 * Resends this node's record until the relay sends it back. The relay sends every record to all
	 * members, so a record that isn't received back was lost.
	 */
	#resendOwnRecord(update: Update, {now, limits}: Context): void {
		const {self, acknowledgedRevision: echoedRevision, selfSentAt} = update.pending.roster;
		const {uplink} = update.pending.links;
		const isLost = self.revision > echoedRevision && now - selfSentAt >= limits.resendIntervalMs;
		if (isLost && uplink.type === 'registered') {
			update.set('roster', {selfSentAt: now});
			this.#send(update, [uplink.link], [self]);
		}
	}

	#compareDigest(update: Update, id: number, digest: string): void {
		const link = update.pending.links.links.get(id);
		const {roster, self} = update.pending.roster;
		if (link === undefined) {
			return;
		}

		if (digest === rosterDigest(roster)) {
			changeLink(update, id, {digestMismatches: 0});
			return;
		}

		const isPersistent = link.digestMismatches + 1 >= mismatchesBeforeSync;
		changeLink(update, id, {digestMismatches: isPersistent ? 0 : link.digestMismatches + 1});
		if (isPersistent) {
			update.emit({
				type: 'send',
				links: [id],
				message: {type: 'sync', record: self, digests: rosterDigests(roster)},
			});
		}
	}

	#updateOwnRecord(update: Update, fields: Partial<NodeRecord>): void {
		const {self} = update.pending.roster;
		const revised = {...self, ...fields, revision: self.revision + 1};
		update.set('roster', {self: revised});
		this.#merge(update, [revised]);
	}

	#merge(update: Update, records: readonly NodeRecord[]): void {
		const {roster, changed} = mergeRecords(update.pending.roster.roster, records);
		if (changed.length === 0) {
			return;
		}

		const updates = new Map(update.pending.roster.pendingRecords);
		for (const record of changed) {
			updates.set(record.address, record);
		}

		update.set('roster', {roster, pendingRecords: updates});
		this.#refute(update, changed);
	}

	/** Overrides records of this node that it didn't issue, such as one that marks it as lapsed. */
	#refute(update: Update, changed: readonly NodeRecord[]): void {
		const {self} = update.pending.roster;
		const foreign = changed.find((record) => record.address === self.address);
		if (foreign === undefined || foreign === self) {
			return;
		}

		const revised = {
			...self,
			incarnation:
				foreign.incarnation > self.incarnation ? foreign.incarnation + 1 : self.incarnation,
			revision: Math.max(foreign.revision, self.revision) + 1,
		};
		update.set('roster', {self: revised});
		update.emit({type: 'count', counter: 'self-refuted'});
		this.#merge(update, [revised]);
	}

	/** On the relay, sets an expiry for nodes without a link and clears it once they have one. */
	#updateLapseDeadlines(update: Update, {now, limits}: Context): void {
		const {links, uplink} = update.pending.links;
		if (uplink.type !== 'relay') {
			if (update.pending.roster.lapseDeadlines.size > 0) {
				update.set('roster', {lapseDeadlines: new Map()});
			}

			return;
		}

		const wasRelay = update.current.links.uplink.type === 'relay';
		const isUnchanged =
			wasRelay &&
			links === update.current.links.links &&
			update.pending.roster.roster === update.current.roster.roster;
		if (isUnchanged) {
			return;
		}

		const {self, roster, lapseDeadlines: expiries} = update.pending.roster;
		const linked = linkedMemberAddresses(links);
		const {failedUntil: failed} = update.pending.links;
		const graceMsOf = (address: string) =>
			wasRelay || failed.has(address) ? limits.reconnectGraceMs : limits.newRelayGraceMs;
		const unlinked = liveRecords(roster, self.dataCentre).filter(
			(record) => record.address !== self.address && !linked.has(record.address),
		);
		update.set('roster', {
			lapseDeadlines: new Map(
				unlinked.map(({address}) => [address, expiries.get(address) ?? now + graceMsOf(address)]),
			),
		});
	}

	#markExpiredAsLapsed(update: Update, {now, limits}: Context): void {
		const {
			lapseDeadlines: expiries,
			massFailureWaitUntil: doubtUntil,
			roster,
			self,
		} = update.pending.roster;
		const expired = [...expiries].filter(([, at]) => at <= now).map(([address]) => address);
		if (expired.length === 0) {
			return;
		}

		const live = liveRecords(roster, self.dataCentre);
		const isMassFailure =
			live.length >= massFailureMinimumNodes && expired.length * 2 > live.length;
		if (isMassFailure && doubtUntil === undefined) {
			update.set('roster', {massFailureWaitUntil: now + limits.massFailureGraceMs});
			update.emit({type: 'count', counter: 'mass-lapse-doubted'});
		}

		if (isMassFailure && now < (update.pending.roster.massFailureWaitUntil ?? now)) {
			return;
		}

		update.set('roster', {massFailureWaitUntil: undefined});
		const lapsed = live.filter((record) => expired.includes(record.address));
		this.#merge(
			update,
			lapsed.map((record) => ({...record, status: 'lapsed' as const})),
		);
		for (const {address} of lapsed) {
			update.emit(
				{type: 'count', counter: 'member-lapsed'},
				{type: 'notify', notice: {type: 'member-lapsed', node: address}},
			);
		}
	}

	#distributeUpdates(update: Update, {now, limits}: Context): void {
		const {pendingRecords: updates, distributedAt, self, roster} = update.pending.roster;
		const {uplink, links} = update.pending.links;
		if (updates.size === 0) {
			return;
		}

		const waitMs = limits.distributionIntervalMs - (now - distributedAt);
		if (waitMs > 0) {
			const wasWaiting = update.current.roster.pendingRecords.size > 0;
			if (!wasWaiting) {
				update.emit({type: 'request-tick', delayMs: waitMs});
			}

			return;
		}

		const records = [...updates.values()];
		switch (uplink.type) {
			case 'relay': {
				const allRecords = [...roster.values()].flatMap((section) => [...section.values()]);
				this.#send(
					update,
					linkNumbersOf(update.pending.links, 'member'),
					limits.sendsWholeTables ? allRecords : records,
				);
				const localRecords = (limits.sendsWholeTables ? allRecords : records).filter(
					(record) => record.dataCentre === self.dataCentre,
				);
				this.#send(update, linkNumbersOf(update.pending.links, 'relay'), localRecords);
				update.set('roster', {pendingRecords: new Map(), distributedAt: now});
				break;
			}

			case 'registered': {
				const ownRecords = records.filter((record) => record.address === self.address);
				this.#send(update, links.has(uplink.link) ? [uplink.link] : [], ownRecords);
				update.set('roster', {pendingRecords: new Map(), distributedAt: now, selfSentAt: now});
				break;
			}

			default: {
				// Registration synchronizes the rosters, except for changes that this node makes meanwhile.
				const ownUpdates = [...updates].filter(([address]) => address === self.address);
				update.set('roster', {pendingRecords: new Map(ownUpdates)});
				break;
			}
		}
	}

	#send(update: Update, links: readonly number[], records: readonly NodeRecord[]): void {
		if (links.length > 0 && records.length > 0) {
			update.emit({type: 'send', links, message: {type: 'records', records}});
		}
	}
}

function linkedMemberAddresses(links: ReadonlyMap<number, Link>): Set<string> {
	const addresses = [...links.values()]
		.filter((link) => link.role === 'member')
		.map((link) => link.address);
	return new Set(addresses.filter((address) => address !== undefined));
}

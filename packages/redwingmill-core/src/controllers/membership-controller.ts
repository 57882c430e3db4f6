import {type Link} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {type NodeRecord} from '../model/node-record.js';
import {liveRecords, mergeRecords, rosterDigest, rosterDigests} from '../model/roster.js';
import {changeLink, linkNumbersOf} from './link-actions.js';

/** Smallest data centre in which losing most nodes at once is doubted. */
const massFailureMinimumNodes = 3;
/** Heartbeats with another digest before a node asks for what differs. */
const mismatchesBeforeSync = 2;

/** Keeps the roster: merges records, declares silent nodes gone, and passes on news in batches. */
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

		this.#updateExpiries(update, context);
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
					this.#recordEcho(update, update.pending.roster.self);
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
					this.#recordEcho(update, record);
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

	#recordEcho(update: Update, record: NodeRecord): void {
		const {self, acknowledgedRevision: echoedRevision} = update.pending.roster;
		const isOwn = record.address === self.address && record.incarnation === self.incarnation;
		if (isOwn && record.revision > echoedRevision) {
			update.set('roster', {acknowledgedRevision: record.revision});
		}
	}

	/** The relay sends every record to all members, so one that doesn't come back got lost. */
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

		const news = new Map(update.pending.roster.pendingRecords);
		for (const record of changed) {
			news.set(record.address, record);
		}

		update.set('roster', {roster, pendingRecords: news});
		this.#refute(update, changed);
	}

	/** Contradicts records of this node that aren't its own, such as one that declares it gone. */
	#refute(update: Update, changed: readonly NodeRecord[]): void {
		const {self} = update.pending.roster;
		const claim = changed.find((record) => record.address === self.address);
		if (claim === undefined || claim === self) {
			return;
		}

		const revised = {
			...self,
			incarnation: claim.incarnation > self.incarnation ? claim.incarnation + 1 : self.incarnation,
			revision: Math.max(claim.revision, self.revision) + 1,
		};
		update.set('roster', {self: revised});
		update.emit({type: 'count', counter: 'self-refuted'});
		this.#merge(update, [revised]);
	}

	/** Starts the clock of nodes that have no link to this relay, and stops it when they have. */
	#updateExpiries(update: Update, {now, limits}: Context): void {
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
		const graceOf = (address: string) =>
			wasRelay || failed.has(address) ? limits.reconnectGraceMs : limits.newRelayGraceMs;
		const unlinked = liveRecords(roster, self.dataCentre).filter(
			(record) => record.address !== self.address && !linked.has(record.address),
		);
		update.set('roster', {
			lapseDeadlines: new Map(
				unlinked.map(({address}) => [address, expiries.get(address) ?? now + graceOf(address)]),
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
		const isMass = live.length >= massFailureMinimumNodes && expired.length * 2 > live.length;
		if (isMass && doubtUntil === undefined) {
			update.set('roster', {massFailureWaitUntil: now + limits.massFailureGraceMs});
			update.emit({type: 'count', counter: 'mass-lapse-doubted'});
		}

		if (isMass && now < (update.pending.roster.massFailureWaitUntil ?? now)) {
			return;
		}

		update.set('roster', {massFailureWaitUntil: undefined});
		const gone = live.filter((record) => expired.includes(record.address));
		this.#merge(
			update,
			gone.map((record) => ({...record, status: 'lapsed' as const})),
		);
		for (const {address} of gone) {
			update.emit(
				{type: 'count', counter: 'member-lapsed'},
				{type: 'notify', notice: {type: 'member-lapsed', node: address}},
			);
		}
	}

	#distributeUpdates(update: Update, {now, limits}: Context): void {
		const {pendingRecords: news, distributedAt, self, roster} = update.pending.roster;
		const {uplink, links} = update.pending.links;
		if (news.size === 0) {
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

		const records = [...news.values()];
		switch (uplink.type) {
			case 'relay': {
				const whole = [...roster.values()].flatMap((section) => [...section.values()]);
				this.#send(
					update,
					linkNumbersOf(update.pending.links, 'member'),
					limits.sendsWholeTables ? whole : records,
				);
				const own = (limits.sendsWholeTables ? whole : records).filter(
					(record) => record.dataCentre === self.dataCentre,
				);
				this.#send(update, linkNumbersOf(update.pending.links, 'relay'), own);
				update.set('roster', {pendingRecords: new Map(), distributedAt: now});
				break;
			}

			case 'registered': {
				const own = records.filter((record) => record.address === self.address);
				this.#send(update, links.has(uplink.link) ? [uplink.link] : [], own);
				update.set('roster', {pendingRecords: new Map(), distributedAt: now, selfSentAt: now});
				break;
			}

			default: {
				// Registration brings both sides up to date, but for what happens here meanwhile.
				const own = [...news].filter(([address]) => address === self.address);
				update.set('roster', {pendingRecords: new Map(own)});
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

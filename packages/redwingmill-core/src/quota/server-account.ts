import {type Quota} from 'redwingmill-text';
import {lateShare, shareHeldMs} from './quota-account.js';
import {capacityOf, largestSuddenRate, toleratedExcess, type QuotaBounds} from './quota-bounds.js';
import {type QuotaDemand, type QuotaDemandEntry, type QuotaGrant} from './quota-message.js';
import {NodeUse} from './node-use.js';
import {PeerUses, type OwnDemand, type QuotaParts} from './peer-uses.js';
import {RateMeter} from './rate-meter.js';

const slowTimeConstantMs = 2000;
const fastTimeConstantMs = 150;
/** One call raises the fast meter by this much, which is no sign of a rising demand. */
const fastNoisePerSecond = 1000 / fastTimeConstantMs;
const admittedTimeConstantMs = 500;
/** Demand may rise by this factor at once: a hot workspace asks for 7.5 times its usual rate. */
const largestRise = 8;
/** Demand that is expected while there is a sign of it, as a multiple of the present one. */
const riseMargin = 1.5;
/** Time from a call at an entry until all entries of its data centre know that the workspace is limited. */
const reactionSeconds = 0.06;
/** Share of the tolerated excess by which an open workspace may be overdrawn within the reaction time. */
const overdraftShare = 0.35;
/** The same share at which a limited workspace opens again; the difference prevents fast alternation. */
const reopeningShare = 0.25;
/** Share of the tolerated excess by which the bucket may have been overdrawn before its server started. */
const unknownUseShare = 0.25;
const shortestLimitedMs = 300;
/** Level that the rates of a limited workspace aim at, as a share of the tolerated excess. */
const targetShare = -0.1;
const correctionSeconds = 0.3;
const largestCorrection = 3;
/** Least credit of a node while a workspace is open, which lasts until a report of half of it is answered. */
const smallestOpenCredit = 2;
const openCreditSeconds = 0.3;
/** Part of the rate that is divided equally, so that a node with a first call gets some. */
const equalShare = 0.05;
/** Times after which a grant is given again to a node that goes on to report calls. */
const openGrantMs = 1000;
const limitedGrantMs = 200;
/** Time after its start in which an account takes over a lower level of another server. */
const startingMs = 1000;
const sendsOfChange = 2;
const calmSendIntervalMs = 1000;

/** What an account needs to know of the other servers and the silent nodes. */
export type Silence = {
	/** Time since the last message of another server, in milliseconds. */
	readonly peerAge: (server: string) => number;
	/** Nodes of the data centre that are cut off, with the time since when they are silent. */
	readonly silentNodes: ReadonlyMap<string, number>;
	/** Part of the quota that data centres may use from whose servers nothing has been heard. */
	readonly missingPart: number;
};

/** One workspace's quota as the quota server of a data centre keeps it. */
export class ServerAccount {
	readonly id: number;
	usedAt: number;
	readonly nodes = new Map<string, NodeUse>();
	readonly peers = new PeerUses();
	/** Whether all nodes of the data centre have to be told of the current state. */
	isPushDue = false;
	pushedAt: number;
	readonly #epoch: number;
	readonly #bounds: QuotaBounds;
	readonly #slow: RateMeter;
	readonly #fast: RateMeter;
	readonly #admittedRate: RateMeter;
	#quota: Quota;
	#admitted = 0;
	/** Calls left in the bucket of the whole mesh. */
	#level: number;
	readonly #startedAt: number;
	/** Whether the account began with an empty bucket because its server has just started. */
	readonly #isLevelAssumed: boolean;
	#at: number;
	/** Undefined before the first decision. */
	#isOpen: boolean | undefined;
	#changedAt = Number.NEGATIVE_INFINITY;
	#sendsLeft = 0;
	#sentAt = Number.NEGATIVE_INFINITY;

	/** @param level - calls in the bucket at the start; undefined if the server has just started. */
	constructor(
		{id, quota}: {readonly id: number; readonly quota: Quota},
		{
			bounds,
			level,
			epoch,
		}: {readonly bounds: QuotaBounds; readonly level?: number; readonly epoch: number},
		now: number,
	) {
		this.id = id;
		this.usedAt = now;
		this.pushedAt = now;
		this.#epoch = epoch;
		this.#quota = quota;
		this.#at = now;
		this.#bounds = bounds;
		this.#level = level ?? -unknownUseShare * this.#excess;
		this.#isLevelAssumed = level === undefined;
		this.#startedAt = now;
		this.#slow = new RateMeter(slowTimeConstantMs, now);
		this.#fast = new RateMeter(fastTimeConstantMs, now);
		this.#admittedRate = new RateMeter(admittedTimeConstantMs, now);
	}

	get isOpen(): boolean {
		return this.#isOpen ?? true;
	}

	get level(): number {
		return this.#level;
	}

	nodeUse(node: string, now: number): NodeUse {
		const known = this.nodes.get(node);
		if (known) {
			return known;
		}

		const use = new NodeUse(now);
		this.nodes.set(node, use);
		return use;
	}

	/** Records calls of this data centre. */
	record(
		{asked, admitted}: {readonly asked: number; readonly admitted: number},
		now: number,
	): void {
		this.usedAt = now;
		this.#sendsLeft = sendsOfChange;
		this.#admitted += admitted;
		this.#level -= admitted;
		this.#slow.record(asked, now);
		this.#fast.record(asked, now);
		this.#admittedRate.record(Math.max(0, admitted), now);
	}

	/** Counts what the server of another data centre has counted. */
	recordPeer(
		server: string,
		demand: QuotaDemand,
		entry: QuotaDemandEntry,
		context: Silence & {readonly now: number},
	): void {
		const {now} = context;
		const state = {own: this.#ownDemand(now), reach: context, now};
		const difference = this.peers.record(server, demand, entry, state);
		if (difference === undefined) {
			return;
		}

		this.usedAt = now;
		this.#level += difference;
		if (now - this.#startedAt < startingMs) {
			// Other servers know what was admitted before this one started.
			this.#level = Math.min(this.#level, entry.level);
		}
	}

	/** Refills the bucket, and sets aside what silent nodes and servers may use. */
	advance(now: number, silence: Silence): void {
		const elapsedMs = Math.max(0, now - this.#at);
		this.#at = Math.max(now, this.#at);
		const {perSecond} = this.#quota;
		this.#level += (perSecond * elapsedMs) / 1000;
		const state = {elapsedMs, perSecond, level: this.#level, isOpen: this.isOpen};
		this.#level -= this.peers.reserve(state, this.#ownDemand(now), silence, now);
		this.#level -= this.#reserveForNodes(elapsedMs, now, silence);
		const lowest = -this.#capacity - this.#excess;
		this.#level = Math.min(this.#capacity, Math.max(this.#level, lowest));
	}

	/** Opens or limits the workspace. Returns whether that has changed. */
	decide(now: number, silence: Silence): boolean {
		const wasOpen = this.#isOpen;
		if (wasOpen === false && now - this.#changedAt < shortestLimitedMs) {
			return false;
		}

		const {heard} = this.#parts(now, silence);
		const share = wasOpen === false ? reopeningShare : overdraftShare;
		const needed = this.#possibleRate(now, silence) * reactionSeconds;
		this.#isOpen = this.#level >= needed - share * this.#excess * heard;
		if (wasOpen === this.#isOpen || (wasOpen === undefined && this.#isOpen)) {
			return false;
		}

		this.#changedAt = now;
		this.isPushDue = true;
		return true;
	}

	/** Whether a node needs a new grant. */
	isGrantDue({granted, epoch, admitted}: NodeUse, now: number): boolean {
		if (granted?.grant.isOpen !== this.isOpen) {
			return true;
		}

		const {grant, at} = granted;
		if (grant.epoch !== epoch || now - at >= (grant.isOpen ? openGrantMs : limitedGrantMs)) {
			return true;
		}

		return grant.isOpen && (admitted - grant.admitted) * 2 >= grant.credit;
	}

	/** Returns a new grant for a node. */
	grant(use: NodeUse, nodeCount: number, now: number, silence: Silence): QuotaGrant {
		const {id, isOpen} = this;
		const {perSecond} = this.#quota;
		const demand = use.demandPerSecond(now);
		const equal = perSecond * equalShare;
		const sum = Math.max(this.#slow.perSecond(now), demand) + equal;
		const share = (demand + equal / nodeCount) / sum;
		const {own, heard} = this.#parts(now, silence);
		// What silent data centres may use is no longer in the level. If that is the whole quota, none is left.
		const ownOfHeard = heard === 0 ? 0 : own / heard;
		const ofLevel = share * ownOfHeard * Math.max(0, this.#level);
		const tolerated = share * overdraftShare * this.#excess;
		// A demand far beyond the quota would otherwise be granted more than a window tolerates.
		const byDemand = Math.min(openCreditSeconds * demand, tolerated);
		const least = smallestOpenCredit + byDemand;
		const grant = {
			id,
			isOpen,
			epoch: use.epoch,
			admitted: use.admitted,
			credit: isOpen ? Math.max(ofLevel, least) : 0,
			perSecond: share * own * perSecond * (isOpen ? 1 : this.#correction),
		};
		use.granted = {grant, at: now};
		return grant;
	}

	/** Whether the servers of other data centres have to be told of this account. */
	isSendDue(now: number): boolean {
		return this.#sendsLeft > 0 && (!this.isCalm || now - this.#sentAt >= calmSendIntervalMs);
	}

	/** Whether the bucket is at least half full, so that calls of a second won't limit it. */
	get isCalm(): boolean {
		return this.isOpen && this.#level > this.#capacity / 2;
	}

	/** Whether the account has to be sent again later. */
	get hasSends(): boolean {
		return this.#sendsLeft > 0;
	}

	/** Time until which the bucket was refilled, in monotonic milliseconds. */
	get advancedAt(): number {
		return this.#at;
	}

	/** Includes the account in the next summary. */
	repeatSend(): void {
		this.#sendsLeft = Math.max(1, this.#sendsLeft);
		this.#sentAt = Number.NEGATIVE_INFINITY;
	}

	/** Returns the entry for the summary that is sent now. */
	takeEntry(now: number): QuotaDemandEntry {
		this.#sendsLeft -= 1;
		this.#sentAt = now;
		return {
			id: this.id,
			epoch: this.#epoch,
			admitted: this.#admitted,
			askedPerSecond: this.#slow.perSecond(now) * this.#rise(now),
			admittedPerSecond: this.#admittedRate.perSecond(now),
			level: this.#level,
		};
	}

	/** Applies a changed quota. */
	applyQuota(quota: Quota): void {
		const {perSecond, burst} = this.#quota;
		this.isPushDue ||= quota.perSecond !== perSecond || quota.burst !== burst;
		this.#quota = quota;
		this.#level = Math.min(this.#level, this.#capacity);
	}

	get #capacity(): number {
		return capacityOf(this.#quota, this.#bounds);
	}

	get #excess(): number {
		return toleratedExcess(this.#quota, this.#bounds);
	}

	/** Factor by which the rates of a limited workspace differ from the quota, to correct its level. */
	get #correction(): number {
		const offset = this.#level - targetShare * this.#excess;
		const factor = 1 + offset / (correctionSeconds * Math.max(this.#quota.perSecond, 1));
		return Math.min(largestCorrection, Math.max(0, factor));
	}

	#ownDemand(now: number): OwnDemand {
		return {
			perSecond: this.#slow.perSecond(now),
			rise: this.#rise(now),
			least: this.#quota.perSecond * equalShare,
		};
	}

	#parts(now: number, silence: Silence): QuotaParts {
		return this.peers.parts(this.#ownDemand(now), silence, now);
	}

	/** Factor by which the demand in this data centre has just risen. */
	#rise(now: number): number {
		// An account of a server that has just started has no usual demand to compare with yet.
		if (this.#isLevelAssumed && now - this.#startedAt < slowTimeConstantMs) {
			return 1;
		}

		const fast = this.#fast.perSecond(now) - fastNoisePerSecond;
		const slow = Math.max(this.#slow.perSecond(now), 1);
		return Math.min(largestRise, Math.max(1, fast / slow));
	}

	/** Calls a second that may arrive within the reaction time in the data centres that are heard from. */
	#possibleRate(now: number, silence: Silence): number {
		const slow = this.#slow.perSecond(now) + this.peers.heardDemand(silence.peerAge, now);
		const sudden = Math.min(largestRise * slow, largestSuddenRate * this.#quota.perSecond);
		return Math.max(sudden, riseMargin * slow * this.#rise(now));
	}

	#reserveForNodes(elapsedMs: number, now: number, {silentNodes}: Silence): number {
		let sum = 0;
		for (const [node, since] of silentNodes) {
			const use = this.nodes.get(node);
			if (use?.granted === undefined) {
				continue;
			}

			const {grant} = use.granted;
			const held = now - since > shareHeldMs ? lateShare : 1;
			const credit = Math.max(0, grant.credit - (use.admitted - grant.admitted));
			const reserved =
				(use.reserved === 0 ? credit : 0) + (grant.perSecond * held * elapsedMs) / 1000;
			use.reserved += reserved;
			sum += reserved;
		}

		return sum;
	}
}

import {capacityOf, type QuotaBounds} from './quota-bounds.js';
import {shareHeldMs} from './quota-account.js';
import {emptyQuotaIndex, type QuotaIndex} from './quota-index.js';
import {
	partsOf,
	type QuotaDemand,
	type QuotaGrant,
	type QuotaReply,
	type QuotaReport,
} from './quota-message.js';
import {type QuotaPeer} from './quota-view.js';
import {cutOffAfterMs} from './peer-uses.js';
import {ServerAccount, type Silence} from './server-account.js';

/** Time without calls after which an account is discarded: its bucket is full, and no node keeps its own. */
const accountIdleMs = 60_000;
/** Time after its start in which a server doesn't know what was admitted before. */
const startingMs = 3000;
const demandIntervalMs = 300;
/** Shortest time between two messages to another data centre. */
const urgentDemandIntervalMs = 30;
const aliveIntervalMs = 500;
/** A node or server that is silent for longer is forgotten. */
const forgottenAfterMs = 60_000;
/** Interval at which accounts with a well filled bucket are advanced, besides by each report. */
const calmTickMs = 1000;
/** A node that gets no reply for longer limits itself, so those that report get one at least this often. */
const replyIntervalMs = 150;
/** Grants of a limited workspace are repeated to all nodes, as some may have missed them. */
const repeatPushMs = 1000;

type Sender = {readonly incarnation: number; readonly heardAt: number};

/** Extent of a quota server's data centre. */
export type QuotaReach = {
	/** Nodes of the data centre that are alive. */
	readonly nodes: number;
	/** Share of the nodes that are known in the data centre but aren't alive, in all that are known. */
	readonly lapsedShare: number;
	/** The other data centres by name, reachable or not. */
	readonly peers: ReadonlyMap<string, QuotaPeer>;
};

/** State of a workspace at its quota server. */
export type QuotaState = {
	readonly isOpen: boolean;
	/** Calls left in the bucket of the whole mesh; below 0 if it is overdrawn. */
	readonly level: number;
};

/** A workspace that became limited, or open again. */
export type QuotaChange = QuotaState & {readonly id: number};

/** Keeps the quotas of a data centre: counts its calls, and grants what its nodes may admit. */
export class QuotaServer {
	readonly #incarnation: number;
	readonly #bounds: QuotaBounds;
	readonly #startedAt: number;
	readonly #accounts = new Map<number, ServerAccount>();
	readonly #nodes = new Map<string, Sender>();
	readonly #silentNodes = new Map<string, number>();
	readonly #peers = new Map<string, Sender>();
	/** Data centres of the servers that are or were in charge. */
	readonly #dataCentres = new Map<string, string>();
	/** Part of quotas that data centres may use from whose servers nothing has been heard. */
	#missingPart = 0;
	readonly #repliedAt = new Map<string, number>();
	/** Accounts of which all nodes, or the other servers, have to be told. Few of all, which are many. */
	readonly #pushDue = new Set<ServerAccount>();
	readonly #sendDue = new Set<ServerAccount>();
	readonly #limited = new Set<ServerAccount>();
	#changes: QuotaChange[] = [];
	#index: QuotaIndex = emptyQuotaIndex;
	#sequence = 0;
	/** Time of the last tick. */
	#now: number;
	#epoch = 0;
	#reach: QuotaReach = {nodes: 1, lapsedShare: 0, peers: new Map()};
	#demandSentAt = Number.NEGATIVE_INFINITY;
	#isDemandUrgent = false;

	constructor(
		{incarnation, bounds}: {readonly incarnation: number; readonly bounds: QuotaBounds},
		now: number,
	) {
		this.#incarnation = incarnation;
		this.#bounds = bounds;
		this.#startedAt = now;
		this.#now = now;
	}

	/** Number of workspaces with recent calls. */
	get accountCount(): number {
		return this.#accounts.size;
	}

	get limitedCount(): number {
		return this.#limited.size;
	}

	/** Returns the state of a workspace; undefined if it had no recent calls. */
	stateOf(id: number): QuotaState | undefined {
		const account = this.#accounts.get(id);
		return account && {isOpen: account.isOpen, level: account.level};
	}

	/** Returns which workspaces became limited or open since the last call. */
	takeChanges(): readonly QuotaChange[] {
		const changes = this.#changes;
		this.#changes = [];
		return changes;
	}

	/** Applies a version of the configuration, and changed knowledge of the mesh. */
	setLimits(index: QuotaIndex, reach: QuotaReach): void {
		this.#reach = {...reach, nodes: Math.max(1, reach.nodes)};
		for (const [dataCentre, {server}] of reach.peers) {
			if (server !== undefined) {
				this.#dataCentres.set(server, dataCentre);
			}
		}

		this.#updateMissingPart();
		if (index === this.#index) {
			return;
		}

		this.#index = index;
		for (const [id, account] of this.#accounts) {
			const entry = index.byId.get(id);
			if (entry) {
				account.applyQuota(entry.quota);
				if (account.isPushDue) {
					this.#pushDue.add(account);
				}
			} else {
				this.#discard(account);
			}
		}
	}

	/** Counts what a node reports. */
	onReport(node: string, report: QuotaReport, now: number): void {
		const known = this.#nodes.get(node);
		if (known && report.incarnation < known.incarnation) {
			return;
		}

		this.#nodes.set(node, {incarnation: report.incarnation, heardAt: now});
		this.#silentNodes.delete(node);

		// Counts that the node began for an earlier start of this server may be old.
		const {serverIncarnation} = report;
		const isCounted = serverIncarnation === 0 || serverIncarnation === this.#incarnation;
		for (const use of report.uses) {
			const account = this.#accountOf(use.id, now);
			const calls = account?.nodeUse(node, now).onUse(use, report, now);
			if (account && calls) {
				account.record({asked: calls.asked, admitted: isCounted ? calls.admitted : 0}, now);
				this.#sendDue.add(account);
				this.#update(account, now);
			}
		}
	}

	/** Counts what the server of another data centre has counted. */
	onPeerDemand(server: string, demand: QuotaDemand, now: number): void {
		const known = this.#peers.get(server);
		if (known && demand.incarnation < known.incarnation) {
			return;
		}

		this.#peers.set(server, {incarnation: demand.incarnation, heardAt: now});
		if (known === undefined || now - known.heardAt > cutOffAfterMs) {
			this.#updateMissingPart();
			this.#repeatSends();
		}

		for (const entry of demand.entries) {
			const account = this.#accountOf(entry.id, now);
			if (account) {
				account.recordPeer(server, demand, entry, {...this.#silenceAt(now), now});
				this.#update(account, now);
			}
		}
	}

	/** Returns the grants that a node's report calls for; now and then an empty reply as a sign of life. */
	replyTo(node: string, report: QuotaReport, now: number): readonly QuotaReply[] {
		const grants: QuotaGrant[] = [];
		const silence = this.#silenceAt(now);
		for (const {id} of report.uses) {
			const account = this.#accounts.get(id);
			const use = account?.nodes.get(node);
			if (account && use && account.isGrantDue(use, now)) {
				grants.push(account.grant(use, this.#reach.nodes, now, silence));
			}
		}

		const repliedAt = this.#repliedAt.get(node) ?? Number.NEGATIVE_INFINITY;
		return grants.length > 0 || now - repliedAt >= replyIntervalMs
			? this.#repliesTo(node, grants, now)
			: [];
	}

	/** Returns what nodes have to be told unasked: that workspaces became limited, or open again. */
	pushes(nodes: readonly string[], now: number): ReadonlyMap<string, readonly QuotaReply[]> {
		for (const account of this.#limited) {
			if (now - account.pushedAt >= repeatPushMs) {
				this.#pushDue.add(account);
			}
		}

		const due = [...this.#pushDue];
		this.#pushDue.clear();
		for (const account of due) {
			account.isPushDue = false;
			account.pushedAt = now;
		}

		const silence = this.#silenceAt(now);
		const replies = new Map<string, readonly QuotaReply[]>();
		for (const node of due.length > 0 ? nodes : []) {
			const grants = due
				// Nodes without a grant take an account for open.
				.filter((account) => !account.isOpen || account.nodes.get(node)?.granted !== undefined)
				.map((account) =>
					account.grant(account.nodeUse(node, now), this.#reach.nodes, now, silence),
				);
			if (grants.length > 0) {
				replies.set(node, this.#repliesTo(node, grants, now));
			}
		}

		return replies;
	}

	/** Advances all accounts. To be called every 100 ms. */
	tick(now: number): void {
		const wasSettled = this.#isSettled;
		this.#now = now;
		if (wasSettled !== this.#isSettled) {
			this.#updateMissingPart();
		}

		for (const [node, {heardAt}] of this.#nodes) {
			if (now - heardAt > forgottenAfterMs) {
				this.#forget(node);
			} else if (now - heardAt > cutOffAfterMs) {
				this.#silentNodes.set(node, heardAt);
			}
		}

		this.#forgetPeers(now);
		for (const account of this.#accounts.values()) {
			if (now - account.usedAt > accountIdleMs) {
				this.#discard(account);
			} else if (!account.isCalm || account.advancedAt <= now - calmTickMs) {
				this.#update(account, now);
			}
		}
	}

	/** Returns what the servers of other data centres have to be told now. */
	demandSummary(now: number): readonly QuotaDemand[] {
		const elapsedMs = now - this.#demandSentAt;
		const intervalMs = this.#isDemandUrgent ? urgentDemandIntervalMs : demandIntervalMs;
		if (elapsedMs < intervalMs || (this.#accounts.size === 0 && this.#sendDue.size === 0)) {
			return [];
		}

		const due = [...this.#sendDue].filter((account) => account.isSendDue(now));
		if (due.length === 0 && elapsedMs < aliveIntervalMs) {
			return [];
		}

		this.#demandSentAt = now;
		this.#isDemandUrgent = false;
		const entries = due.map((account) => account.takeEntry(now));
		for (const account of due) {
			if (!account.hasSends) {
				this.#sendDue.delete(account);
			}
		}

		return partsOf(entries).map((part) => ({...this.#nextHeader(), entries: part}));
	}

	#discard(account: ServerAccount): void {
		this.#accounts.delete(account.id);
		this.#pushDue.delete(account);
		this.#sendDue.delete(account);
		this.#limited.delete(account);
	}

	#update(account: ServerAccount, now: number): void {
		const silence = this.#silenceAt(now);
		account.advance(now, silence);
		if (account.decide(now, silence)) {
			const {id, isOpen, level} = account;
			this.#isDemandUrgent = true;
			this.#changes.push({id, isOpen, level});
			this.#pushDue.add(account);
			if (isOpen) {
				this.#limited.delete(account);
			} else {
				this.#limited.add(account);
			}
		}
	}

	#accountOf(id: number, now: number): ServerAccount | undefined {
		const known = this.#accounts.get(id);
		const entry = this.#index.byId.get(id);
		if (known !== undefined || entry === undefined) {
			return known;
		}

		const isStarting = now - this.#startedAt < startingMs;
		const level = isStarting ? undefined : capacityOf(entry.quota, this.#bounds);
		this.#epoch += 1;
		const account = new ServerAccount(
			entry,
			{bounds: this.#bounds, level, epoch: this.#epoch},
			now,
		);
		this.#accounts.set(id, account);
		return account;
	}

	#forget(node: string): void {
		this.#nodes.delete(node);
		this.#silentNodes.delete(node);
		this.#repliedAt.delete(node);
		for (const {nodes} of this.#accounts.values()) {
			nodes.delete(node);
		}
	}

	/** Forgets silent servers that others have replaced, as no share has to be kept free for them. */
	#forgetPeers(now: number): void {
		for (const [server, {heardAt}] of this.#peers) {
			const dataCentre = this.#dataCentres.get(server) ?? '';
			const current = this.#reach.peers.get(dataCentre)?.server;
			const isReplaced = current !== undefined && current !== server;
			const silentMs = now - heardAt;
			if (silentMs > (isReplaced ? cutOffAfterMs : forgottenAfterMs)) {
				this.#peers.delete(server);
				this.#dataCentres.delete(server);
				this.#updateMissingPart();
				for (const account of this.#accounts.values()) {
					account.peers.delete(server);
				}
			}
		}
	}

	/** Whether the server has been there for longer than nodes keep their whole share without it. */
	get #isSettled(): boolean {
		return this.#now - this.#startedAt > shareHeldMs;
	}

	#updateMissingPart(): void {
		const heard = new Set([...this.#peers.keys()].map((server) => this.#dataCentres.get(server)));
		// Of nodes that lapsed before this server started it doesn't know what they may use.
		this.#missingPart = this.#isSettled ? 0 : this.#reach.lapsedShare;
		for (const [dataCentre, {share}] of this.#reach.peers) {
			this.#missingPart += heard.has(dataCentre) ? 0 : share;
		}
	}

	/** Tells the other servers of all accounts, as one of them may have missed earlier messages. */
	#repeatSends(): void {
		this.#isDemandUrgent = true;
		for (const account of this.#accounts.values()) {
			account.repeatSend();
			this.#sendDue.add(account);
		}
	}

	#silenceAt(now: number): Silence {
		return {
			peerAge: (server) => now - (this.#peers.get(server)?.heardAt ?? now),
			silentNodes: this.#silentNodes,
			missingPart: this.#missingPart,
		};
	}

	#repliesTo(node: string, grants: readonly QuotaGrant[], now: number): readonly QuotaReply[] {
		this.#repliedAt.set(node, now);
		return partsOf(grants).map((part) => ({...this.#nextHeader(), grants: part}));
	}

	#nextHeader(): {readonly incarnation: number; readonly sequence: number} {
		this.#sequence += 1;
		return {incarnation: this.#incarnation, sequence: this.#sequence};
	}
}

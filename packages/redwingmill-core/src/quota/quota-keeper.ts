import {type Random} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';
import {type QuotaBounds} from './quota-bounds.js';
import {emptyQuotaIndex, type QuotaIndex} from './quota-index.js';
import {QuotaLedger, type QuotaDecision, type QuotaLine} from './quota-ledger.js';
import {type QuotaDatagram, type QuotaReply, type QuotaSend} from './quota-message.js';
import {QuotaServer, type QuotaState} from './quota-server.js';
import {type QuotaView} from './quota-view.js';

/** A workspace that became limited in this data centre, or open again. */
export type QuotaTransition = QuotaState & {readonly workspace: string};

/** What the status page shows of quotas. */
export type QuotaStatus = {
	readonly server: string | undefined;
	/** Workspaces with recent calls, and those that are limited, at a quota server. */
	readonly workspaces?: number;
	readonly limited?: number;
	/** Workspaces with the most refused calls at this entry. */
	readonly largest: readonly QuotaLine[];
};

const shownWorkspaces = 10;

/**
 * Quotas at one node: its ledger, and the server's part while the node is the quota server of its data
 * centre. Returns the datagrams to send.
 */
export class QuotaKeeper {
	readonly #address: string;
	readonly #incarnation: number;
	readonly #bounds: QuotaBounds;
	readonly #ledger: QuotaLedger;
	#server: QuotaServer | undefined;
	/** Number of times that this node became the server. Part of the server's incarnation. */
	#terms = 0;
	#index: QuotaIndex = emptyQuotaIndex;
	#view: QuotaView | undefined;
	/** Address of the data centre's quota server. */
	#serverAddress: string | undefined;
	#transitions: QuotaTransition[] = [];

	constructor({
		address,
		incarnation,
		bounds,
		random,
	}: {
		readonly address: string;
		readonly incarnation: number;
		readonly bounds: QuotaBounds;
		readonly random: Random;
	}) {
		this.#address = address;
		this.#incarnation = incarnation;
		this.#bounds = bounds;
		this.#ledger = new QuotaLedger({incarnation, bounds, random});
	}

	/** Whether a report should be sent soon by {@link report}, before the next tick. */
	get isReportUrgent(): boolean {
		return this.#ledger.isUrgent;
	}

	/** Whether any workspace has a quota. Otherwise nothing is sent. */
	get isActive(): boolean {
		return this.#index.byId.size > 0;
	}

	/** Control address of the data centre's quota server; undefined if none is known. */
	get serverAddress(): string | undefined {
		return this.#serverAddress;
	}

	/** Applies a version of the configuration, and changed knowledge of the mesh. */
	update(index: QuotaIndex, view: QuotaView, now: number): void {
		if (index === this.#index && view === this.#view) {
			return;
		}

		this.#index = index;
		this.#view = view;
		this.#followServer(view, now);
		this.#ledger.setLimits(index, view.nodeCount);
		if (this.#serverAddress !== this.#address || !this.isActive) {
			this.#server = undefined;
			return;
		}

		if (this.#server === undefined) {
			this.#terms += 1;
			const incarnation = this.#incarnation + this.#terms;
			this.#server = new QuotaServer({incarnation, bounds: this.#bounds}, now);
		}

		const nodes = view.localNodes.length;
		const lapsedShare = (view.localCount - Math.min(nodes, view.localCount)) / view.nodeCount;
		this.#server.setLimits(index, {nodes, lapsedShare, peers: view.peers});
	}

	admit(workspace: Workspace, now: number): QuotaDecision {
		return this.#ledger.admit(workspace, now);
	}

	/** Gives the credit of a call back that wasn't run. */
	refund(workspace: Workspace): void {
		this.#ledger.refund(workspace);
	}

	/** Sends the report that is due. */
	report(now: number): readonly QuotaSend[] {
		const server = this.#serverAddress;
		if (!this.isActive || server === undefined) {
			return [];
		}

		const sends: QuotaSend[] = [];
		for (const report of this.#ledger.report(now)) {
			this.#send(sends, {to: server, datagram: {type: 'quota-report', report}}, now);
		}

		this.#push(sends, now);
		return sends;
	}

	/** Handles a datagram of another node. */
	receive(from: string, datagram: QuotaDatagram, now: number): readonly QuotaSend[] {
		const sends: QuotaSend[] = [];
		if (this.isActive) {
			this.#receive(sends, from, datagram, now);
			this.#push(sends, now);
		}

		return sends;
	}

	/** To be called every 100 ms. */
	tick(now: number): readonly QuotaSend[] {
		if (!this.isActive) {
			return [];
		}

		const sends = [...this.report(now)];
		this.#server?.tick(now);
		this.#push(sends, now);
		return sends;
	}

	/** Returns which workspaces became limited or open in this data centre, at its quota server. */
	takeTransitions(): readonly QuotaTransition[] {
		const transitions = this.#transitions;
		this.#transitions = [];
		return transitions;
	}

	/** Returns what the status page shows. */
	status(): QuotaStatus {
		const server = this.#server;
		return {
			server: this.#serverAddress,
			...(server && {workspaces: server.accountCount, limited: server.limitedCount}),
			largest: this.#ledger.largest(shownWorkspaces),
		};
	}

	/**
	 * Reports to the server of the view. A node that is cut off keeps the one before, and its last share,
	 * instead of taking itself for the server.
	 */
	#followServer(view: QuotaView, now: number): void {
		const isIsolated = view.localNodes.length * 2 < view.localCount;
		if (!isIsolated && view.server !== undefined && view.server !== this.#serverAddress) {
			this.#serverAddress = view.server;
			this.#ledger.onServerChange(now);
		}
	}

	#receive(sends: QuotaSend[], from: string, datagram: QuotaDatagram, now: number): void {
		switch (datagram.type) {
			case 'quota-report': {
				const {report} = datagram;
				this.#server?.onReport(from, report, now);
				this.#reply(sends, from, this.#server?.replyTo(from, report, now) ?? [], now);
				break;
			}

			case 'quota-reply': {
				if (from === this.#serverAddress) {
					this.#ledger.applyReply(datagram.reply, now);
				}

				break;
			}

			case 'quota-demand': {
				this.#server?.onPeerDemand(from, datagram.demand, now);
				break;
			}
		}
	}

	/** Sends what the server has to tell unasked. */
	#push(sends: QuotaSend[], now: number): void {
		const server = this.#server;
		const view = this.#view;
		if (server === undefined || view === undefined) {
			return;
		}

		for (const [node, replies] of server.pushes(view.localNodes, now)) {
			this.#reply(sends, node, replies, now);
		}

		for (const demand of server.demandSummary(now)) {
			for (const {server: to} of view.peers.values()) {
				if (to !== undefined) {
					sends.push({to, datagram: {type: 'quota-demand', demand}});
				}
			}
		}

		for (const {id, isOpen, level} of server.takeChanges()) {
			const workspace = this.#index.byId.get(id)?.name;
			if (workspace !== undefined) {
				this.#transitions.push({workspace, isOpen, level});
			}
		}
	}

	#reply(sends: QuotaSend[], to: string, replies: readonly QuotaReply[], now: number): void {
		for (const reply of replies) {
			this.#send(sends, {to, datagram: {type: 'quota-reply', reply}}, now);
		}
	}

	/** Sends a datagram; one to this node is handled at once. */
	#send(sends: QuotaSend[], send: QuotaSend, now: number): void {
		if (send.to === this.#address) {
			this.#receive(sends, send.to, send.datagram, now);
		} else {
			sends.push(send);
		}
	}
}

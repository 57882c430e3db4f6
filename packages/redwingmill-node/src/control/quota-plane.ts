import {
	emptyQuotaIndex,
	QuotaIndex,
	QuotaKeeper,
	type Datagram,
	type NodeRecord,
	type QuotaDatagram,
	type QuotaDecision,
	type QuotaSend,
	type QuotaStatus,
	type QuotaView,
	type RoutingTable,
	type WorkspaceIndex,
} from 'redwingmill-core';
import {type Random} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';
import {logEvents} from '../observe/log-event.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type Settings} from '../settings/settings.js';
import {type QuotaGate} from './control-plane.js';

/** Delay of a report after a call that calls for one, in which further calls are counted in. */
const urgentReportDelayMs = 10;
const msPerSecond = 1000;
/** Shortest time between two log lines about one workspace. */
const logIntervalMs = 10_000;

export type QuotaPlaneOptions = {
	readonly bounds: NonNullable<Settings['quotas']>;
	readonly self: NodeRecord;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly send: (to: string, datagram: Datagram) => void;
};

/** Connects the quotas' decisions with timers, the socket and the log. */
export class QuotaPlane implements QuotaGate {
	readonly #keeper: QuotaKeeper;
	readonly #options: QuotaPlaneOptions;
	readonly #loggedAt = new Map<string, number>();
	#workspaces: WorkspaceIndex | undefined;
	#index: QuotaIndex = emptyQuotaIndex;
	#server: string | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: QuotaPlaneOptions) {
		const {bounds, self, random} = options;
		this.#options = options;
		this.#keeper = new QuotaKeeper({
			address: self.address,
			incarnation: self.incarnation,
			bounds: {...bounds, windowMs: bounds.windowSeconds * msPerSecond},
			random,
		});
	}

	get status(): QuotaStatus | undefined {
		return this.#keeper.isActive ? this.#keeper.status() : undefined;
	}

	admit(workspace: Workspace): QuotaDecision {
		const decision = this.#keeper.admit(workspace, performance.now());
		if (this.#keeper.isReportUrgent) {
			this.#timer ??= setTimeout(() => {
				this.#timer = undefined;
				this.#sendAll(this.#keeper.report(performance.now()));
			}, urgentReportDelayMs);
		}

		return decision;
	}

	refund(workspace: Workspace): void {
		this.#keeper.refund(workspace);
	}

	receive(from: string, datagram: QuotaDatagram): void {
		this.#sendAll(this.#keeper.receive(from, datagram, performance.now()));
	}

	/** To be called every 100 ms. */
	tick({workspaces}: RoutingTable, view: QuotaView): void {
		if (workspaces !== this.#workspaces) {
			this.#workspaces = workspaces;
			this.#index = new QuotaIndex(workspaces?.workspaces.values() ?? []);
		}

		const now = performance.now();
		this.#keeper.update(this.#index, view, now);
		this.#sendAll(this.#keeper.tick(now));
		const server = this.#keeper.isActive ? this.#keeper.serverAddress : undefined;
		if (server !== this.#server) {
			this.#options.log.write(logEvents.quotaServerChanged, {from: this.#server, to: server});
			this.#server = server;
		}
	}

	close(): void {
		clearTimeout(this.#timer);
	}

	#sendAll(sends: readonly QuotaSend[]): void {
		for (const {to, datagram} of sends) {
			this.#options.send(to, datagram);
		}

		for (const {workspace, isOpen, level} of this.#keeper.takeTransitions()) {
			this.#options.metrics.countControlEvent(isOpen ? 'quota-opened' : 'quota-limited');
			this.#logTransition(workspace, isOpen, level);
		}
	}

	/** Workspaces near their quota may become limited and open many times a second. */
	#logTransition(workspace: string, isOpen: boolean, level: number): void {
		const now = performance.now();
		const loggedAt = this.#loggedAt.get(workspace) ?? Number.NEGATIVE_INFINITY;
		if (isOpen || now - loggedAt < logIntervalMs) {
			return;
		}

		this.#loggedAt.set(workspace, now);
		this.#options.log.write(logEvents.workspaceLimited, {workspace, level: Math.round(level)});
		for (const [name, at] of this.#loggedAt) {
			if (now - at >= logIntervalMs) {
				this.#loggedAt.delete(name);
			}
		}
	}
}

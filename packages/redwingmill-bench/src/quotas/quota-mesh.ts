import {QuotaIndex, type QuotaBounds, type QuotaView} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {type Quota, type Workspace} from 'redwingmill-text';
import {EventQueue} from './event-queue.js';
import {QuotaMeter, type QuotaPhase, type QuotaResult} from './quota-meter.js';
import {type Message, type Participant, type QuotaScheme} from './quota-scheme.js';

/** Times in milliseconds, rates in calls a second. */
export type SimulatedWorkspace = {
	readonly name: string;
	readonly quota: Quota;
	/** A later quota, and when it comes into force at the nodes, one after the other within 500 ms. */
	readonly change?: {readonly at: number; readonly quota: Quota};
	/** Calls a second at a time. */
	readonly demandAt: (now: number) => number;
	/** Data centre of a caller, by a random fraction and the time; absent for even callers. */
	readonly dataCentreAt?: (fraction: number, now: number) => number;
};

/** A fault. Nodes are numbered; node `n` is in data centre `n % dataCentres`. */
export type QuotaFault =
	/** The nodes reach only each other. */
	| {
			readonly type: 'cut';
			readonly from: number;
			readonly until: number;
			readonly nodes: readonly number[];
	  }
	/** The nodes end, and start again without what they knew. Their callers go elsewhere. */
	| {
			readonly type: 'stop';
			readonly from: number;
			readonly until: number;
			readonly nodes: readonly number[];
	  };

export type QuotaPlan = {
	readonly dataCentres: number;
	readonly nodes: number;
	readonly durationMs: number;
	readonly bounds: QuotaBounds;
	readonly workspaces: readonly SimulatedWorkspace[];
	readonly faults: readonly QuotaFault[];
	/** Shares of datagrams that are lost, and that arrive twice. */
	readonly loss: number;
	readonly duplication: number;
	readonly seed: number;
};

type SimulatedNode = {
	readonly index: number;
	readonly address: string;
	participant: Participant | undefined;
	incarnation: number;
	quotaIndex: QuotaIndex;
	isReportScheduled: boolean;
};

const tickMs = 100;
const reportDelayMs = 10;
const localDelayMs = 1;
const remoteDelayMs = 15;
/** Part of the delay that varies. */
const delaySpread = 2;
/** Time after which nodes take a silent one for lapsed. */
const lapseMs = 1200;
const spreadMs = 500;
const startAt = 10_000;

/** Simulates the entries of a mesh that keeps quotas by a scheme, on virtual time. */
export class QuotaMesh {
	readonly #plan: QuotaPlan;
	readonly #scheme: QuotaScheme;
	readonly #queue = new EventQueue();
	readonly #random: Random;
	readonly #nodes: SimulatedNode[];
	readonly #meters = new Map<string, QuotaMeter>();
	readonly #views = new Map<string, QuotaView>();
	#messages = 0;

	constructor(plan: QuotaPlan, scheme: QuotaScheme) {
		this.#plan = plan;
		this.#scheme = scheme;
		this.#random = new Random(plan.seed);
		const first = this.#indexAt(false);
		this.#nodes = Array.from({length: plan.nodes}, (_, index) => ({
			index,
			address: String(index),
			participant: undefined,
			incarnation: 0,
			quotaIndex: first,
			isReportScheduled: false,
		}));
	}

	/** Returns the results by workspace, and the number of messages. */
	run(): {readonly workspaces: ReadonlyMap<string, QuotaResult>; readonly messages: number} {
		for (const node of this.#nodes) {
			this.#start(node);
		}

		this.#scheduleFaults();
		this.#scheduleChanges();
		for (const workspace of this.#plan.workspaces) {
			const phases: QuotaPhase[] = [{from: 0, quota: workspace.quota}];
			if (workspace.change) {
				phases.push({from: workspace.change.at, quota: workspace.change.quota});
			}

			this.#meters.set(workspace.name, new QuotaMeter(phases, this.#plan.bounds));
			this.#scheduleCalls(workspace);
		}

		this.#queue.runUntil(this.#plan.durationMs);
		const results = [...this.#meters].map(([name, {result}]) => [name, result] as const);
		return {workspaces: new Map(results), messages: this.#messages};
	}

	#start(node: SimulatedNode): void {
		node.incarnation += 1;
		const {incarnation, address} = node;
		const participant = this.#scheme.create({
			address,
			incarnation: incarnation * 1000,
			bounds: this.#plan.bounds,
			random: new Random(this.#random.below(1_000_000_000)),
			owner: String(0),
		});
		node.participant = participant;
		const tick = () => {
			if (node.participant === participant) {
				participant.update(node.quotaIndex, this.#viewOf(node), this.#queue.now);
				this.#sendAll(node, participant.tick(this.#queue.now));
				this.#queue.at(this.#queue.now + tickMs, tick);
			}
		};

		this.#queue.at(this.#queue.now + this.#random.below(tickMs), tick);
	}

	#scheduleFaults(): void {
		for (const {type, from, until, nodes} of this.#plan.faults) {
			for (const index of type === 'stop' ? nodes : []) {
				const node = this.#nodes[index];
				this.#queue.at(from, () => {
					node.participant = undefined;
				});
				this.#queue.at(until, () => {
					this.#start(node);
				});
			}
		}
	}

	#scheduleChanges(): void {
		const at = this.#plan.workspaces.find(({change}) => change)?.change?.at;
		if (at === undefined) {
			return;
		}

		const changed = this.#indexAt(true);
		for (const node of this.#nodes) {
			this.#queue.at(at + this.#random.below(spreadMs), () => {
				node.quotaIndex = changed;
			});
		}
	}

	#indexAt(isChanged: boolean): QuotaIndex {
		return new QuotaIndex(
			this.#plan.workspaces.map(({name, quota, change}) =>
				workspaceOf(name, isChanged && change ? change.quota : quota),
			),
		);
	}

	#scheduleCalls(workspace: SimulatedWorkspace): void {
		const next = () => {
			const {now} = this.#queue;
			const perSecond = workspace.demandAt(now);
			if (perSecond > 0) {
				this.#call(workspace, now);
			}

			// Intervals are short, so that a rising demand takes effect at once.
			const gap = (-Math.log(1 - this.#random.fraction()) * 1000) / Math.max(perSecond, 0.1);
			this.#queue.at(now + Math.min(gap, 60_000), next);
		};

		this.#queue.at(startAt + this.#random.below(1000), next);
	}

	#call(workspace: SimulatedWorkspace, now: number): void {
		const node = this.#chooseEntry(workspace, now);
		if (node?.participant === undefined) {
			return;
		}

		const quota = node.quotaIndex.byName.get(workspace.name)?.quota;
		const isAdmitted = node.participant.admit({...workspaceOf(workspace.name, quota)}, now);
		this.#meters.get(workspace.name)?.record(isAdmitted, now);
		if (node.participant.isReportUrgent && !node.isReportScheduled) {
			node.isReportScheduled = true;
			const {participant} = node;
			this.#queue.at(now + reportDelayMs, () => {
				node.isReportScheduled = false;
				if (node.participant === participant) {
					this.#sendAll(node, participant.report(this.#queue.now));
				}
			});
		}
	}

	#chooseEntry({dataCentreAt}: SimulatedWorkspace, now: number): SimulatedNode | undefined {
		const {dataCentres, nodes} = this.#plan;
		let index = this.#random.below(nodes);
		if (dataCentreAt) {
			const dataCentre = dataCentreAt(this.#random.fraction(), now) % dataCentres;
			index = (Math.floor(index / dataCentres) * dataCentres + dataCentre) % nodes;
		}

		// Callers of a stopped node use the next one.
		for (let step = 0; step < nodes; step++) {
			const node = this.#nodes[(index + step) % nodes];
			if (node.participant) {
				return node;
			}
		}

		return undefined;
	}

	#sendAll(node: SimulatedNode, messages: readonly Message[]): void {
		for (const message of messages) {
			this.#messages += 1;
			const copies =
				(this.#random.fraction() < this.#plan.loss ? 0 : 1) +
				(this.#random.fraction() < this.#plan.duplication ? 1 : 0);
			for (let copy = 0; copy < copies; copy++) {
				this.#deliver(node, message);
			}
		}
	}

	#deliver(node: SimulatedNode, {to, datagram}: Message): void {
		const receiver = this.#nodes[Number(to)];
		const isLocal = this.#dataCentreOf(node.index) === this.#dataCentreOf(receiver.index);
		const delay = isLocal ? localDelayMs : remoteDelayMs;
		const {now} = this.#queue;
		if (!this.#isReachable(node.index, receiver.index, now)) {
			return;
		}

		this.#queue.at(now + delay * (1 + delaySpread * this.#random.fraction()), () => {
			const {participant} = receiver;
			if (participant) {
				this.#sendAll(receiver, participant.receive(node.address, datagram, this.#queue.now));
			}
		});
	}

	#dataCentreOf(index: number): number {
		return index % this.#plan.dataCentres;
	}

	#isReachable(a: number, b: number, now: number): boolean {
		return this.#plan.faults.every(({type, from, until, nodes}) => {
			if (now < from || now >= until) {
				return true;
			}

			return type === 'stop' ? !nodes.includes(b) : nodes.includes(a) === nodes.includes(b);
		});
	}

	/** Returns what a node knows: others lapse some time after they became unreachable. */
	#viewOf(node: SimulatedNode): QuotaView {
		const {now} = this.#queue;
		const {nodes} = this.#plan;
		const alive = this.#nodes.filter(
			({index}) =>
				index === node.index ||
				this.#isReachable(node.index, index, now) ||
				this.#isReachable(node.index, index, Math.max(0, now - lapseMs)),
		);
		const dataCentre = this.#dataCentreOf(node.index);
		const key = `${dataCentre}:${alive.map(({index}) => index).join(',')}`;
		const known = this.#views.get(key);
		if (known) {
			return known;
		}

		const servers = new Map<number, string>();
		const counts = new Map<number, number>();
		for (const {index} of this.#nodes) {
			const place = this.#dataCentreOf(index);
			counts.set(place, (counts.get(place) ?? 0) + 1);
		}

		for (const {index, address} of alive) {
			const place = this.#dataCentreOf(index);
			servers.set(place, servers.get(place) ?? address);
		}

		const localNodes = alive
			.filter(({index}) => this.#dataCentreOf(index) === dataCentre)
			.map(({address}) => address);
		const peers = [...counts].filter(([place]) => place !== dataCentre);
		const view: QuotaView = {
			server: servers.get(dataCentre),
			peers: new Map(
				peers.map(([place, count]) => [
					String(place),
					{server: servers.get(place), share: count / nodes},
				]),
			),
			localNodes,
			nodeCount: nodes,
			localCount: counts.get(dataCentre) ?? 1,
		};
		this.#views.set(key, view);
		return view;
	}
}

function workspaceOf(name: string, quota: Quota | undefined): Workspace {
	return {name, keys: [], rank: 0, quota};
}

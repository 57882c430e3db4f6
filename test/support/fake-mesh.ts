import {
	singletonName,
	type CrashReport,
	type Effect,
	type Event,
	type Limits,
	type Message,
	type NodeRecord,
	type PlatformObject,
	type Version,
	type WorkerState,
} from 'redwingmill-core';
import {ObjectStore} from 'redwingmill-platform';
import {digestOf, Random} from 'redwingmill-shared';
import {VirtualClock} from 'redwingmill-bench';
import {FakeNode, type NodeSettings} from './fake-node.js';
import {InvariantChecker} from './invariants.js';

/** How a transfer is delivered: by default `deliver` without a delay. */
export type DeliveryMode =
	| {readonly type: 'deliver'; readonly delayMs?: number}
	| {readonly type: 'drop'}
	| {readonly type: 'repeat'; readonly delayMs: number}
	/** The write takes effect, but its answer is lost. */
	| {readonly type: 'lose-answer'};

/** A message, write or watch event that is about to cross the network. */
export type Transfer =
	| {
			readonly type: 'message';
			readonly from: FakeNode;
			readonly to: FakeNode;
			readonly message: Message;
	  }
	| {readonly type: 'write'; readonly from: FakeNode; readonly object: PlatformObject}
	| {readonly type: 'observe'; readonly to: FakeNode; readonly object: PlatformObject};

export type Interceptor = (transfer: Transfer) => DeliveryMode;

type Connection = {
	readonly ends: ReadonlyArray<{readonly node: FakeNode; readonly link: number}>;
};

const tickMs = 500;
const linkLatencyMs = 2;
const platformLatencyMs = 5;
const platformTimeoutMs = 3000;
const platformFailureDelayMs = 50;
const deliverNormally: DeliveryMode = {type: 'deliver'};

/** Production control cores over a simulated network and the stand-in's object store, on virtual time. */
export class FakeMesh {
	readonly clock = new VirtualClock();
	readonly store = new ObjectStore();
	readonly checker = new InvariantChecker();
	readonly nodes = new Map<string, FakeNode>();
	/** Addresses of the nodes that can't reach the platform. */
	readonly addressesWithoutPlatform = new Set<string>();
	/** Pairs of data centres, `a|b`, that can't reach each other. */
	readonly partitionedPairs = new Set<string>();
	isPlatformDown = false;
	platformDelayMs = 0;
	/** Chooses the delivery of each transfer. */
	intercept: Interceptor | undefined;
	/** Receives a line per message (except heartbeats), write, notice and count, for golden sessions. */
	onTrace: ((line: string) => void) | undefined;
	/** Receives the crash reports that reach a node. */
	onCrashReport: ((node: FakeNode, report: CrashReport) => void) | undefined;
	/** Returns the crash reports that a node sends over a new link. */
	crashReportsOf: ((node: FakeNode) => readonly CrashReport[]) | undefined;
	readonly #random: Random;
	readonly #limits: Partial<Limits>;
	readonly #connections = new Map<FakeNode, Map<number, Connection>>();
	readonly #watchers = new Set<FakeNode>();
	readonly #divergedSince = new Map<FakeNode, number>();
	#longestDivergenceMs = 0;
	#incarnation = 0;

	constructor(seed: number, limits: Partial<Limits> = {}) {
		this.#random = new Random(seed);
		this.#limits = limits;
		this.store.registerListener(({object}) => {
			if (object.kind === 'Acceptance') {
				this.checker.recordAcceptance(object.spec.version);
			}

			for (const node of this.#watchers) {
				this.#observe(node, object);
			}
		});
	}

	/** Starts a node, or restarts it with a higher incarnation. */
	start(settings: NodeSettings): FakeNode {
		this.#incarnation += 1;
		const node = new FakeNode(settings, this.#incarnation, this.clock.now, this.#limits);
		this.nodes.set(settings.address, node);
		this.#connections.set(node, new Map());
		this.#tick(node);
		this.announce(node, 'ready');
		return node;
	}

	/** Reports crashes as a node's gate does. */
	reportCrashes(node: FakeNode, report: CrashReport): void {
		this.#dispatch(node, {type: 'crash-reported', report});
	}

	/** Announces a state of the node's worker to the node. */
	announce(node: FakeNode, state: WorkerState): void {
		const {service, address} = node.settings;
		const worker = {service, address: `${address}-worker`, slots: 4, state};
		this.#dispatch(node, {type: 'worker-changed', worker});
	}

	/** Crashes a node: it stops without leaving the mesh. */
	kill(node: FakeNode): void {
		node.isAlive = false;
		this.#watchers.delete(node);
		for (const link of this.#connections.get(node)?.keys() ?? []) {
			this.#disconnect(node, link);
		}
	}

	pause(node: FakeNode): void {
		node.isPaused = true;
	}

	resume(node: FakeNode): void {
		node.isPaused = false;
		for (const run of node.backlog.splice(0)) {
			run();
		}
	}

	/** Makes the platform unreachable for all nodes, or reachable again. */
	setPlatformDown(isDown: boolean): void {
		this.isPlatformDown = isDown;
		this.refreshWatches();
	}

	/** Ends the watches of nodes that can't reach the platform, and resumes the others. */
	refreshWatches(): void {
		for (const node of this.#watchers) {
			if (this.#canReachPlatform(node)) {
				this.#resumeWatch(node);
			} else {
				this.#dispatchLater(node, 1, {type: 'watch-changed', isCurrent: false});
			}
		}
	}

	/** Interrupts all watches and resumes them. */
	dropWatches(): void {
		for (const node of this.#watchers) {
			this.#dispatch(node, {type: 'watch-changed', isCurrent: false});
			this.#resumeWatch(node);
		}
	}

	/** Partitions a data centre from all others, or ends the partition. */
	setIsolated(dataCentre: string, isIsolated: boolean): void {
		for (const other of new Set([...this.nodes.values()].map((node) => node.settings.dataCentre))) {
			const pair = [dataCentre, other].toSorted((a, b) => a.localeCompare(b)).join('|');
			if (other !== dataCentre && isIsolated) {
				this.partitionedPairs.add(pair);
			} else {
				this.partitionedPairs.delete(pair);
			}
		}
	}

	/** Writes a text as an operator does; returns undefined if the newest version isn't `base`. */
	apply(text: string, base?: number): Version | undefined {
		const stored = this.store.read('ConfigurationText', singletonName);
		const newest = stored?.kind === 'ConfigurationText' ? stored.spec.version.number : 0;
		if (base !== undefined && base !== newest) {
			return undefined;
		}

		const version = {number: newest + 1, digest: digestOf(text)};
		this.store.write({
			kind: 'ConfigurationText',
			name: singletonName,
			resourceVersion: stored?.resourceVersion ?? 0,
			spec: {version, text, author: 'test', applyId: `apply-${version.number}`},
		});
		return version;
	}

	/** Advances the virtual time by `durationMs` or until `isDone` holds; returns whether it holds. */
	run(durationMs: number, isDone?: () => boolean): boolean {
		return this.clock.runUntil(this.clock.now + durationMs, isDone);
	}

	liveNodes(): FakeNode[] {
		return [...this.nodes.values()].filter((node) => node.isAlive);
	}

	/** Returns whether every live node is serving with this version or a newer one. */
	isInForce(number: number): boolean {
		return this.liveNodes().every(
			({blackboard}) =>
				(blackboard.configuration.held?.version.number ?? 0) >= number &&
				blackboard.serving.state === 'serving',
		);
	}

	/** Returns whether every live node routes to exactly the live nodes whose worker is ready. */
	isRosterComplete(): boolean {
		const live = this.liveNodes();
		const ready = live
			.filter(({blackboard}) => blackboard.roster.self.worker?.state === 'ready')
			.map((node) => node.settings.address);
		return live.every(({blackboard}) => {
			const endpoints = [...blackboard.routing.endpoints.values()].flat();
			const routed = new Set(endpoints.map((endpoint) => endpoint.node));
			return routed.size === ready.length && ready.every((address) => routed.has(address));
		});
	}

	/** Returns the node that the platform's record names as the relay of a data centre. */
	relayOf(dataCentre: string): FakeNode | undefined {
		const object = this.store.read('DataCentre', dataCentre);
		return object?.kind === 'DataCentre' ? this.nodes.get(object.spec.relay) : undefined;
	}

	/** Longest time so far for which a node and its relay held different versions while linked. */
	get longestDivergenceMs(): number {
		return this.#longestDivergenceMs;
	}

	#trace(node: FakeNode, category: string, detail: object): void {
		this.onTrace?.(
			`${this.clock.now} ${node.settings.address} ${category} ${JSON.stringify(detail)}`,
		);
	}

	/** Measures how long a node and the relay that it is registered with hold different versions. */
	#measureDivergence(node: FakeNode): void {
		const {uplink} = node.blackboard.links;
		const relay = uplink.type === 'registered' ? this.nodes.get(uplink.address) : undefined;
		const isLinked = relay !== undefined && relay.isRunning && this.#canReach(node, relay);
		const heldNumber = node.blackboard.configuration.held?.version.number;
		const isSame = !isLinked || relay.blackboard.configuration.held?.version.number === heldNumber;
		if (isSame) {
			this.#divergedSince.delete(node);
			return;
		}

		const since = this.#divergedSince.get(node) ?? this.clock.now;
		this.#divergedSince.set(node, since);
		this.#longestDivergenceMs = Math.max(this.#longestDivergenceMs, this.clock.now - since);
	}

	#tick(node: FakeNode): void {
		if (!node.isAlive) {
			return;
		}

		if (!node.isPaused) {
			this.#measureDivergence(node);
			this.#dispatch(node, {type: 'tick'});
		}

		this.clock.after(tickMs, () => {
			this.#tick(node);
		});
	}

	#dispatchLater(node: FakeNode, delayMs: number, event: Event): void {
		this.clock.after(delayMs, () => {
			this.#dispatch(node, event);
		});
	}

	#dispatch(node: FakeNode, event: Event): void {
		if (!node.isAlive) {
			return;
		}

		if (node.isPaused) {
			node.backlog.push(() => {
				this.#dispatch(node, event);
			});
			return;
		}

		const effects = node.dispatch(event, this.clock.now);
		this.checker.check(node.settings.address, node.blackboard);
		for (const effect of effects) {
			this.#performEffect(node, effect);
		}
	}

	#performEffect(node: FakeNode, effect: Effect): void {
		switch (effect.type) {
			case 'open-link': {
				this.#connect(node, effect.link, effect.address);
				break;
			}

			case 'close-link': {
				this.#disconnect(node, effect.link);
				break;
			}

			case 'send': {
				for (const link of effect.links) {
					this.#send(node, link, effect.message);
				}

				break;
			}

			case 'read-data-centre': {
				this.#readDataCentre(node);
				break;
			}

			case 'write-object': {
				this.#writeObject(node, effect.object);
				break;
			}

			case 'watch': {
				this.#setWatch(node, effect.isOn);
				break;
			}

			case 'request-tick': {
				this.#dispatchLater(node, effect.delayMs, {type: 'tick'});
				break;
			}

			case 'notify': {
				this.#trace(node, 'notice', effect.notice);
				break;
			}

			case 'count': {
				this.#trace(node, 'count', {type: effect.counter});
				break;
			}

			case 'suspect': {
				this.onCrashReport?.(node, effect.report);
				break;
			}

			case 'send-crash-reports': {
				for (const report of this.crashReportsOf?.(node) ?? []) {
					this.#send(node, effect.link, {type: 'suspect', report, node: node.settings.address});
				}

				break;
			}
		}
	}

	#connect(node: FakeNode, link: number, address: string): void {
		const target = this.nodes.get(address);
		if (!target?.isAlive) {
			this.#dispatchLater(node, linkLatencyMs, {type: 'link-closed', link});
			return;
		}

		// A paused or unreachable node doesn't refuse; the attempt times out.
		if (!target.isRunning || !this.#canReach(node, target)) {
			return;
		}

		this.clock.after(linkLatencyMs, () => {
			if (!target.isRunning || !node.isAlive) {
				return;
			}

			const accepted = target.blackboard.links.nextLink;
			const connection: Connection = {
				ends: [
					{node, link},
					{node: target, link: accepted},
				],
			};
			this.#connections.get(node)?.set(link, connection);
			this.#connections.get(target)?.set(accepted, connection);
			this.#dispatch(target, {type: 'link-accepted', link: accepted});
			this.#dispatch(node, {type: 'link-opened', link});
		});
	}

	#disconnect(node: FakeNode, link: number): void {
		const connection = this.#connections.get(node)?.get(link);
		for (const end of connection?.ends ?? []) {
			this.#connections.get(end.node)?.delete(end.link);
			if (end.node !== node && this.#canReach(node, end.node)) {
				this.#dispatchLater(end.node, linkLatencyMs + 1, {type: 'link-closed', link: end.link});
			}
		}
	}

	#send(node: FakeNode, link: number, message: Message): void {
		const connection = this.#connections.get(node)?.get(link);
		const end = connection?.ends.find((each) => each.node !== node);
		if (end === undefined || !this.#canReach(node, end.node)) {
			return;
		}

		const mode =
			this.intercept?.({type: 'message', from: node, to: end.node, message}) ?? deliverNormally;
		if (message.type !== 'heartbeat') {
			this.#trace(node, `to ${end.node.settings.address}`, abbreviateMessage(message));
		}

		this.#scheduleDelivery(mode, linkLatencyMs, () => {
			this.#dispatch(end.node, {type: 'link-message', link: end.link, message});
		});
	}

	#scheduleDelivery(mode: DeliveryMode, delayMs: number, run: () => void): void {
		switch (mode.type) {
			case 'deliver':
			case 'lose-answer': {
				const extraMs = mode.type === 'deliver' ? (mode.delayMs ?? 0) : 0;
				this.clock.after(delayMs + extraMs, run);
				break;
			}

			case 'repeat': {
				this.clock.after(delayMs, run);
				this.clock.after(delayMs + mode.delayMs, run);
				break;
			}

			case 'drop': {
				break;
			}
		}
	}

	#readDataCentre(node: FakeNode): void {
		if (!this.#canReachPlatform(node)) {
			this.#dispatchLater(node, platformFailureDelayMs, {
				type: 'read-finished',
				outcome: {type: 'failed'},
			});
			return;
		}

		this.clock.after(platformLatencyMs + this.platformDelayMs, () => {
			const object = this.store.read('DataCentre', node.settings.dataCentre);
			const outcome = object ? ({type: 'found', object} as const) : ({type: 'missing'} as const);
			this.#dispatch(node, {type: 'read-finished', outcome});
		});
	}

	#writeObject(node: FakeNode, object: PlatformObject): void {
		const mode = this.intercept?.({type: 'write', from: node, object}) ?? deliverNormally;
		this.#trace(node, 'write', abbreviateObject(object));
		if (!this.#canReachPlatform(node)) {
			this.#finishWrite(node, object, {type: 'failed'}, platformFailureDelayMs);
			return;
		}

		if (mode.type === 'drop') {
			this.#finishWrite(node, object, {type: 'unknown'}, platformTimeoutMs);
			return;
		}

		this.#scheduleDelivery(mode, platformLatencyMs + this.platformDelayMs, () => {
			const outcome = this.store.write(object);
			if (mode.type === 'lose-answer') {
				this.#finishWrite(node, object, {type: 'unknown'}, platformTimeoutMs);
			} else {
				this.#finishWrite(node, object, outcome, platformLatencyMs);
			}
		});
	}

	#finishWrite(
		node: FakeNode,
		object: PlatformObject,
		outcome: Extract<Event, {type: 'write-finished'}>['outcome'],
		delayMs: number,
	): void {
		this.#dispatchLater(node, delayMs, {type: 'write-finished', object, outcome});
	}

	#setWatch(node: FakeNode, isOn: boolean): void {
		this.#watchers.delete(node);
		if (isOn) {
			this.#watchers.add(node);
			this.#resumeWatch(node);
		}
	}

	#resumeWatch(node: FakeNode): void {
		const delayMs = platformLatencyMs + this.platformDelayMs + this.#random.jitter(100);
		this.clock.after(delayMs, () => {
			if (!this.#watchers.has(node) || !this.#canReachPlatform(node)) {
				return;
			}

			for (const kind of ['ConfigurationText', 'DataCentre', 'Acceptance'] as const) {
				for (const object of this.store.list(kind).objects) {
					this.#dispatch(node, {type: 'object-observed', object});
				}
			}

			this.#dispatch(node, {type: 'watch-changed', isCurrent: true});
		});
	}

	#observe(node: FakeNode, object: PlatformObject): void {
		if (!this.#canReachPlatform(node)) {
			return;
		}

		const mode = this.intercept?.({type: 'observe', to: node, object}) ?? deliverNormally;
		if (mode.type === 'drop') {
			// A watch is one ordered stream, so a lost event ends it.
			this.#dispatchLater(node, 1, {type: 'watch-changed', isCurrent: false});
			this.#resumeWatch(node);
			return;
		}

		this.#scheduleDelivery(mode, platformLatencyMs + this.platformDelayMs, () => {
			if (this.#watchers.has(node)) {
				this.#dispatch(node, {type: 'object-observed', object});
			}
		});
	}

	#canReachPlatform(node: FakeNode): boolean {
		return !this.isPlatformDown && !this.addressesWithoutPlatform.has(node.settings.address);
	}

	#canReach(a: FakeNode, b: FakeNode): boolean {
		const pair = [a.settings.dataCentre, b.settings.dataCentre].toSorted((x, y) =>
			x.localeCompare(y),
		);
		return !this.partitionedPairs.has(pair.join('|'));
	}
}

function abbreviateMessage(message: Message): object {
	return JSON.parse(JSON.stringify(message, abbreviateField)) as object;
}

function abbreviateObject({kind, name, spec}: PlatformObject): object {
	return JSON.parse(JSON.stringify({kind, name, spec}, abbreviateField)) as object;
}

/** Shortens texts, records and digests, so that golden files stay readable. */
function abbreviateField(key: string, value: unknown): unknown {
	switch (key) {
		case 'text':
		case 'insertion': {
			return `${String(value).length} characters`;
		}

		case 'records': {
			return (value as NodeRecord[]).map((record) => abbreviateRecord(record));
		}

		case 'record': {
			return abbreviateRecord(value as NodeRecord);
		}

		case 'digests': {
			return (value as unknown[]).length;
		}

		default: {
			return value;
		}
	}
}

function abbreviateRecord({address, incarnation, revision, status, worker}: NodeRecord): string {
	return `${address} ${incarnation}.${revision} ${status} ${worker?.state ?? 'absent'}`;
}

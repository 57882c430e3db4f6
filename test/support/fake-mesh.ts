import {
	singletonName,
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
import {FakeNode, type NodeSite} from './fake-node.js';
import {InvariantChecker} from './invariants.js';

/** What a fault does to one message, write or observation. */
export type Treatment =
	| {readonly type: 'deliver'; readonly delayMs?: number}
	| {readonly type: 'drop'}
	| {readonly type: 'repeat'; readonly delayMs: number}
	/** The write takes effect, but its answer doesn't come. */
	| {readonly type: 'lose-answer'};

/** Something that crosses the network, before it does. */
export type Crossing =
	| {
			readonly type: 'message';
			readonly from: FakeNode;
			readonly to: FakeNode;
			readonly message: Message;
	  }
	| {readonly type: 'write'; readonly from: FakeNode; readonly object: PlatformObject}
	| {readonly type: 'observe'; readonly to: FakeNode; readonly object: PlatformObject};

export type Interceptor = (crossing: Crossing) => Treatment;

type Connection = {
	readonly ends: ReadonlyArray<{readonly node: FakeNode; readonly link: number}>;
};

const tickMs = 500;
const latencyMs = 2;
const platformLatencyMs = 5;
const callTimeoutMs = 3000;
const callFailureMs = 50;
const deliver: Treatment = {type: 'deliver'};

/** Real cores of several nodes between a fake network and the stand-in's object store. */
export class FakeMesh {
	readonly clock = new VirtualClock();
	readonly store = new ObjectStore();
	readonly checker = new InvariantChecker();
	readonly nodes = new Map<string, FakeNode>();
	/** Nodes that can't reach the platform. */
	readonly cutFromPlatform = new Set<string>();
	/** Pairs of data centres, `a|b`, that can't reach each other. */
	readonly cutPairs = new Set<string>();
	isPlatformDown = false;
	platformDelayMs = 0;
	/** Decides what becomes of everything that crosses the network. */
	intercept: Interceptor | undefined;
	/** Called with everything that crosses the network and every notice, for golden sessions. */
	onJournal: ((line: string) => void) | undefined;
	readonly #random: Random;
	readonly #limits: Partial<Limits>;
	readonly #connections = new Map<FakeNode, Map<number, Connection>>();
	readonly #watching = new Set<FakeNode>();
	readonly #disagreeingSince = new Map<FakeNode, number>();
	#longestDisagreementMs = 0;
	#incarnation = 0;

	constructor(seed: number, limits: Partial<Limits> = {}) {
		this.#random = new Random(seed);
		this.#limits = limits;
		this.store.registerListener(({object}) => {
			if (object.kind === 'Acceptance') {
				this.checker.accept(object.spec.version);
			}

			for (const node of this.#watching) {
				this.#observe(node, object);
			}
		});
	}

	/** Starts a node, or starts it again after it died. */
	start(site: NodeSite): FakeNode {
		this.#incarnation += 1;
		const node = new FakeNode(site, this.#incarnation, this.clock.now, this.#limits);
		this.nodes.set(site.address, node);
		this.#connections.set(node, new Map());
		this.#tick(node);
		this.announce(node, 'ready');
		return node;
	}

	/** The node's worker announces itself. */
	announce(node: FakeNode, state: WorkerState): void {
		const {service, address} = node.site;
		const worker = {service, address: `${address}-worker`, slots: 4, state};
		this.#dispatch(node, {type: 'worker-changed', worker});
	}

	/** Ends a node without warning. */
	kill(node: FakeNode): void {
		node.isAlive = false;
		this.#watching.delete(node);
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

	/** Takes the platform away or brings it back. */
	setPlatformDown(isDown: boolean): void {
		this.isPlatformDown = isDown;
		this.refreshWatches();
	}

	/** Ends the watches of nodes that can't reach the platform, and resumes the others. */
	refreshWatches(): void {
		for (const node of this.#watching) {
			if (this.#reachesPlatform(node)) {
				this.#resumeWatch(node);
			} else {
				this.#dispatchLater(node, 1, {type: 'watch-changed', isCurrent: false});
			}
		}
	}

	/** Cuts all watches for a moment. */
	dropWatches(): void {
		for (const node of this.#watching) {
			this.#dispatch(node, {type: 'watch-changed', isCurrent: false});
			this.#resumeWatch(node);
		}
	}

	/** Cuts or joins a data centre and all others. */
	setIsolated(dataCentre: string, isIsolated: boolean): void {
		for (const other of new Set([...this.nodes.values()].map((node) => node.site.dataCentre))) {
			const pair = [dataCentre, other].toSorted((a, b) => a.localeCompare(b)).join('|');
			if (other !== dataCentre && isIsolated) {
				this.cutPairs.add(pair);
			} else {
				this.cutPairs.delete(pair);
			}
		}
	}

	/** Writes a text as an operator does; returns undefined when another operator was first. */
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

	/** Runs for a while, or until `isDone` holds; returns whether it held. */
	run(durationMs: number, isDone?: () => boolean): boolean {
		return this.clock.runUntil(this.clock.now + durationMs, isDone);
	}

	/** Live nodes. */
	live(): FakeNode[] {
		return [...this.nodes.values()].filter((node) => node.isAlive);
	}

	/** Whether every live node has a version or a newer one in force and takes calls. */
	isInForce(number: number): boolean {
		return this.live().every(
			({board}) =>
				(board.configuration.held?.version.number ?? 0) >= number &&
				board.serving.state === 'serving',
		);
	}

	/** Whether every live node knows all live nodes, and routes to just those whose worker is ready. */
	isRosterComplete(): boolean {
		const live = this.live();
		const ready = live
			.filter(({board}) => board.roster.self.worker?.state === 'ready')
			.map((node) => node.site.address);
		return live.every(({board}) => {
			const endpoints = [...board.routing.endpoints.values()].flat();
			const known = new Set(endpoints.map((endpoint) => endpoint.node));
			return known.size === ready.length && ready.every((address) => known.has(address));
		});
	}

	/** Node that the platform names as a data centre's relay. */
	relayOf(dataCentre: string): FakeNode | undefined {
		const object = this.store.read('DataCentre', dataCentre);
		return object?.kind === 'DataCentre' ? this.nodes.get(object.spec.relay) : undefined;
	}

	/** How long linked nodes have disagreed at worst so far, in milliseconds. */
	get longestDisagreementMs(): number {
		return this.#longestDisagreementMs;
	}

	#journal(node: FakeNode, what: string, detail: object): void {
		this.onJournal?.(`${this.clock.now} ${node.site.address} ${what} ${JSON.stringify(detail)}`);
	}

	/** Measures for how long a node and the relay it is linked with hold different versions. */
	#watchDisagreement(node: FakeNode): void {
		const {uplink} = node.board.links;
		const relay = uplink.type === 'registered' ? this.nodes.get(uplink.address) : undefined;
		const isLinked = relay !== undefined && relay.isRunning && this.#reaches(node, relay);
		const own = node.board.configuration.held?.version.number;
		const isSame = !isLinked || relay.board.configuration.held?.version.number === own;
		if (isSame) {
			this.#disagreeingSince.delete(node);
			return;
		}

		const since = this.#disagreeingSince.get(node) ?? this.clock.now;
		this.#disagreeingSince.set(node, since);
		this.#longestDisagreementMs = Math.max(this.#longestDisagreementMs, this.clock.now - since);
	}

	#tick(node: FakeNode): void {
		if (!node.isAlive) {
			return;
		}

		if (!node.isPaused) {
			this.#watchDisagreement(node);
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
		this.checker.check(node.site.address, node.board);
		for (const effect of effects) {
			this.#perform(node, effect);
		}
	}

	#perform(node: FakeNode, effect: Effect): void {
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
				this.#read(node);
				break;
			}

			case 'write-object': {
				this.#write(node, effect.object);
				break;
			}

			case 'watch': {
				this.#watch(node, effect.isOn);
				break;
			}

			case 'request-tick': {
				this.#dispatchLater(node, effect.delayMs, {type: 'tick'});
				break;
			}

			case 'notify': {
				this.#journal(node, 'notice', effect.notice);
				break;
			}

			case 'count': {
				this.#journal(node, 'count', {type: effect.counter});
				break;
			}

			case 'suspect': {
				break;
			}
		}
	}

	#connect(node: FakeNode, link: number, address: string): void {
		const target = this.nodes.get(address);
		if (!target?.isAlive) {
			this.#dispatchLater(node, latencyMs, {type: 'link-closed', link});
			return;
		}

		// A paused or unreachable node doesn't refuse; the attempt times out.
		if (!target.isRunning || !this.#reaches(node, target)) {
			return;
		}

		this.clock.after(latencyMs, () => {
			if (!target.isRunning || !node.isAlive) {
				return;
			}

			const accepted = target.board.links.nextLink;
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
			if (end.node !== node && this.#reaches(node, end.node)) {
				this.#dispatchLater(end.node, latencyMs + 1, {type: 'link-closed', link: end.link});
			}
		}
	}

	#send(node: FakeNode, link: number, message: Message): void {
		const connection = this.#connections.get(node)?.get(link);
		const end = connection?.ends.find((each) => each.node !== node);
		if (end === undefined || !this.#reaches(node, end.node)) {
			return;
		}

		const treatment =
			this.intercept?.({type: 'message', from: node, to: end.node, message}) ?? deliver;
		if (message.type !== 'heartbeat') {
			this.#journal(node, `to ${end.node.site.address}`, journalMessage(message));
		}

		this.#treat(treatment, latencyMs, () => {
			this.#dispatch(end.node, {type: 'link-message', link: end.link, message});
		});
	}

	#treat(treatment: Treatment, delayMs: number, run: () => void): void {
		switch (treatment.type) {
			case 'deliver':
			case 'lose-answer': {
				const extraMs = treatment.type === 'deliver' ? (treatment.delayMs ?? 0) : 0;
				this.clock.after(delayMs + extraMs, run);
				break;
			}

			case 'repeat': {
				this.clock.after(delayMs, run);
				this.clock.after(delayMs + treatment.delayMs, run);
				break;
			}

			case 'drop': {
				break;
			}
		}
	}

	#read(node: FakeNode): void {
		if (!this.#reachesPlatform(node)) {
			this.#dispatchLater(node, callFailureMs, {
				type: 'read-finished',
				outcome: {type: 'failed'},
			});
			return;
		}

		this.clock.after(platformLatencyMs + this.platformDelayMs, () => {
			const object = this.store.read('DataCentre', node.site.dataCentre);
			const outcome = object ? ({type: 'found', object} as const) : ({type: 'missing'} as const);
			this.#dispatch(node, {type: 'read-finished', outcome});
		});
	}

	#write(node: FakeNode, object: PlatformObject): void {
		const treatment = this.intercept?.({type: 'write', from: node, object}) ?? deliver;
		this.#journal(node, 'write', journalObject(object));
		if (!this.#reachesPlatform(node)) {
			this.#finishWrite(node, object, {type: 'failed'}, callFailureMs);
			return;
		}

		if (treatment.type === 'drop') {
			this.#finishWrite(node, object, {type: 'unknown'}, callTimeoutMs);
			return;
		}

		this.#treat(treatment, platformLatencyMs + this.platformDelayMs, () => {
			const outcome = this.store.write(object);
			if (treatment.type === 'lose-answer') {
				this.#finishWrite(node, object, {type: 'unknown'}, callTimeoutMs);
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

	#watch(node: FakeNode, isOn: boolean): void {
		this.#watching.delete(node);
		if (isOn) {
			this.#watching.add(node);
			this.#resumeWatch(node);
		}
	}

	#resumeWatch(node: FakeNode): void {
		const delayMs = platformLatencyMs + this.platformDelayMs + this.#random.jitter(100);
		this.clock.after(delayMs, () => {
			if (!this.#watching.has(node) || !this.#reachesPlatform(node)) {
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
		if (!this.#reachesPlatform(node)) {
			return;
		}

		const treatment = this.intercept?.({type: 'observe', to: node, object}) ?? deliver;
		if (treatment.type === 'drop') {
			// A watch is one ordered stream: what is lost on it ends it.
			this.#dispatchLater(node, 1, {type: 'watch-changed', isCurrent: false});
			this.#resumeWatch(node);
			return;
		}

		this.#treat(treatment, platformLatencyMs + this.platformDelayMs, () => {
			if (this.#watching.has(node)) {
				this.#dispatch(node, {type: 'object-observed', object});
			}
		});
	}

	#reachesPlatform(node: FakeNode): boolean {
		return !this.isPlatformDown && !this.cutFromPlatform.has(node.site.address);
	}

	#reaches(a: FakeNode, b: FakeNode): boolean {
		const pair = [a.site.dataCentre, b.site.dataCentre].toSorted((x, y) => x.localeCompare(y));
		return !this.cutPairs.has(pair.join('|'));
	}
}

function journalMessage(message: Message): object {
	return JSON.parse(JSON.stringify(message, shortened)) as object;
}

function journalObject({kind, name, spec}: PlatformObject): object {
	return JSON.parse(JSON.stringify({kind, name, spec}, shortened)) as object;
}

/** Keeps golden files readable: texts and records are shown by what tells them apart. */
function shortened(key: string, value: unknown): unknown {
	switch (key) {
		case 'text':
		case 'insertion': {
			return `${String(value).length} characters`;
		}

		case 'records': {
			return (value as NodeRecord[]).map((record) => shortRecord(record));
		}

		case 'record': {
			return shortRecord(value as NodeRecord);
		}

		case 'digests': {
			return (value as unknown[]).length;
		}

		default: {
			return value;
		}
	}
}

function shortRecord({address, incarnation, revision, status, worker}: NodeRecord): string {
	return `${address} ${incarnation}.${revision} ${status} ${worker?.state ?? 'absent'}`;
}

import {
	configurationBehindMs,
	confirmingPollMs,
	createDirectory,
	defaultDirectoryLimits,
	initialDirectoryState,
	hasRecentSignOfLife,
	includesDeparture,
	knownNodeCount,
	longPollMs,
	mergeStoredCrashes,
	quotaViewOf,
	reportsOfStored,
	rolloutViews,
	routingStageOf,
	type RolloutView,
	type RolloutStage,
	unconfirmedMs,
	type SuspicionReport,
	type WorkerEvidence,
	type ConfigurationDocument,
	type CreateDecider,
	type Departure,
	type Directory,
	type DirectoryEffect,
	type DirectoryEvent,
	type DirectoryState,
	type NodeRecord,
	type RoutingTable,
	type Worker,
	type WorkerLoad,
	type CrashReport,
	type Datagram,
} from 'redwingmill-core';
import {Random, type Teardown} from 'redwingmill-shared';
import {exchange} from '../call/exchange.js';
import {configurationPath} from '../call/gate-server.js';
import {createHttpClient} from '../call/http-pool.js';
import {logDirectoryNotice} from '../observe/directory-log.js';
import {logEvents} from '../observe/log-event.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {countRolloutNotice} from '../observe/rollout-metrics.js';
import {type Settings} from '../settings/settings.js';
import {ConfigurationFetcher} from './configuration-fetcher.js';
import {ConfigurationHistory, type ConfigurationReply} from './configuration-history.js';
import {acceptGzip, decodeReply} from './encoded-reply.js';
import {ConfigurationWatch} from './configuration-watch.js';
import {
	type ControlPlane,
	type ControlPlaneOptions,
	type CrashReportHandler,
	type CrashReportSource,
	type DepartureHandler,
	type DeparturesReadHandler,
	type LoadHandler,
	type QuotaGate,
	type UnresponsiveNodeHandler,
} from './control-plane.js';
import {DatagramSocket} from './datagram-socket.js';
import {MalformedObjects} from './malformed-objects.js';
import {QuotaPlane} from './quota-plane.js';
import {RolloutOrders} from './rollout-orders.js';
import {type StorePorts} from './store-ports.js';

const tickIntervalMs = 100;
/** Workers expect the acknowledgement of their departure within a second. */
const departureWaitMs = 600;
/**
 * Time without a byte after which another node counts as unresponsive. A node that has no configuration
 * asks the next one only then.
 */
const configurationRequestTimeoutMs = 1500;
const configurationLimitBytes = 16 * 1024 * 1024;
const randomSeedModulus = 0x7f_ff_ff_ff;

/** Options of a {@link StoreControlPlane}. */
export type StoreControlPlaneOptions = ControlPlaneOptions & {
	readonly ports: StorePorts;
	/** Decides on the stages of rollouts; replaced in tests. */
	readonly createRolloutDecider?: CreateDecider;
};

/** A departure that the store doesn't keep yet, and what follows once it does or takes too long. */
type UnkeptDeparture = {
	readonly departure: Departure;
	readonly onEnd: (isKept: boolean) => void;
};

/**
 * Control plane that discovers other nodes and reads the configuration through the store. Passes
 * datagrams, timers and the store's answers to the core's directory as events, and performs the
 * effects it returns.
 */
export class StoreControlPlane implements ControlPlane {
	readonly #directory: Directory;
	readonly #ports: StorePorts;
	readonly #settings: Settings;
	readonly #log: Log;
	readonly #metrics: Metrics;
	readonly #onTask: ControlPlaneOptions['onTask'];
	readonly #socket: DatagramSocket;
	readonly #quotas: QuotaPlane | undefined;
	readonly #history = new ConfigurationHistory();
	readonly #malformedRecords = new MalformedObjects(({name, faults}) => {
		this.#log.write(logEvents.recordIgnored, {name, faults});
	});

	readonly #fetcher: ConfigurationFetcher;
	readonly #random: Random;
	readonly #documentListeners = new Set<(document: ConfigurationDocument) => void>();
	#crashReportHandler: CrashReportHandler | undefined;
	#crashReportSource: CrashReportSource | undefined;
	#departureHandler: DepartureHandler | undefined;
	#departuresReadHandler: DeparturesReadHandler | undefined;
	/** Departures that somebody waits for the store to keep. */
	readonly #unkeptDepartures = new Set<UnkeptDeparture>();
	#loadHandler: LoadHandler | undefined;
	#unresponsiveNodeHandler: UnresponsiveNodeHandler | undefined;
	/** Undefined while this node relies on other nodes' watches. */
	#watch: ConfigurationWatch | undefined;
	#stopWatch: Teardown | undefined;
	/** Undefined where operators order no rollouts. */
	readonly #rolloutOrders: RolloutOrders | undefined;
	#stopEraListener: Teardown | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: StoreControlPlaneOptions) {
		const {settings, self, ports, log, metrics, onTask, createRolloutDecider} = options;
		this.#onTask = onTask;
		const random = new Random(self.incarnation % randomSeedModulus);
		this.#settings = settings;
		this.#ports = ports;
		this.#random = random;
		this.#log = log;
		this.#metrics = metrics;
		this.#directory = createDirectory(
			initialDirectoryState(self, performance.now(), settings.rollouts),
			{limits: defaultDirectoryLimits, seeds: settings.seeds, random},
			createRolloutDecider,
		);
		this.#rolloutOrders =
			settings.rollouts &&
			new RolloutOrders({
				store: ports.rollouts,
				log,
				random,
				longPollMs: () => longPollMs(this.#state, defaultDirectoryLimits, false),
				dispatch: (event) => {
					this.#dispatch(event);
				},
			});
		this.#fetcher = new ConfigurationFetcher({
			readStore: async (signal) => ports.configuration.readRecent(signal),
			askNode: async (gateAddress, since) => this.#askNode(gateAddress, since),
			applySource: (source) => this.#applySource(source, 'store'),
			applyReply: (reply) => this.#applyReply(reply),
		});
		this.#socket = new DatagramSocket({
			onDatagram: (from, datagram) => {
				this.#onDatagram(from, datagram);
			},
			onMalformed(from) {
				log.write(logEvents.malformedDatagram, {from});
			},
		});
		this.#quotas =
			settings.quotas &&
			new QuotaPlane({
				bounds: settings.quotas,
				self,
				random,
				log,
				metrics,
				send: (to, datagram) => {
					this.#socket.send(to, datagram);
				},
			});
	}

	get self(): NodeRecord {
		return this.#state.members.self;
	}

	get routing(): RoutingTable {
		return this.#state.routing;
	}

	get quotas(): QuotaGate | undefined {
		return this.#quotas;
	}

	/** Stays true during a graceful shutdown, so that callers have time to switch to other nodes. */
	get isServing(): boolean {
		const {serving, adoption} = this.#state;
		return serving.state !== 'starting' && adoption.held !== undefined;
	}

	get isReady(): boolean {
		return this.#state.serving.state === 'serving';
	}

	get nodeCount(): number | undefined {
		return knownNodeCount(this.#state);
	}

	get controlBytes(): number {
		return this.#socket.bytes;
	}

	get configurationBehindMs(): number {
		return configurationBehindMs(this.#state, performance.now());
	}

	get configurationUnconfirmedMs(): number {
		const withinMs = this.#confirmWithinMs;
		return withinMs === undefined ? 0 : unconfirmedMs(this.#state, withinMs, performance.now());
	}

	/** Time within which the configuration has to be confirmed; undefined if it needn't be. */
	get #confirmWithinMs(): number | undefined {
		const {revocation} = this.#settings;
		return revocation?.isStrict ? revocation.withinMs : undefined;
	}

	get isRelay(): boolean {
		return false;
	}

	configurationSince(since: number | undefined): ConfigurationReply {
		return this.#history.replySince(since);
	}

	get #state(): DirectoryState {
		return this.#directory.blackboard;
	}

	get rollouts(): readonly RolloutView[] {
		return rolloutViews(this.#state.rollouts, performance.now());
	}

	rolloutStageOf(service: string): RolloutStage | undefined {
		return routingStageOf(this.#state.rollouts, service);
	}

	reportEvidence(evidence: WorkerEvidence): void {
		this.#dispatch({type: 'evidence-counted', evidence});
	}

	findNode(_dataCentre: string, address: string): NodeRecord | undefined {
		return this.#state.members.reachable.find((record) => record.address === address);
	}

	/** Binds the socket, and starts discovering other nodes and watching the configuration. */
	async start(): Promise<void> {
		await this.#socket.bind(this.#settings.addresses.control);
		this.#stopEraListener = this.#ports.registerEraListener((era) => {
			this.#dispatch({type: 'store-era', era});
		});
		this.#timer = setInterval(() => {
			this.#dispatch({type: 'tick'});
			this.#quotas?.tick(this.routing, quotaViewOf(this.#state.members, defaultDirectoryLimits));
		}, tickIntervalMs);
		this.#dispatch({type: 'tick'});
		if (this.#settings.seeds.length > 0) {
			this.#dispatch({type: 'seeds-known', addresses: this.#settings.seeds});
		}
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#quotas?.close();
		this.#stopWatch?.();
		this.#rolloutOrders?.setWatch(false);
		this.#stopEraListener?.();
		this.#socket.close();
		await this.#ports.close();
	}

	requestStop(): void {
		this.#dispatch({type: 'stop-requested'});
	}

	leave(): void {
		this.#dispatch({type: 'leave-requested'});
	}

	updateWorker(worker: Worker): void {
		this.#dispatch({type: 'worker-changed', worker});
	}

	updateLoad(load: WorkerLoad): void {
		this.#dispatch({type: 'load-changed', load});
	}

	markNodeAlive(node: string): void {
		if (!hasRecentSignOfLife(this.#state, node, performance.now())) {
			this.#dispatch({type: 'node-heard', address: node});
		}
	}

	sendCrashReport(report: CrashReport): void {
		this.#dispatch({type: 'crash-reported', report});
	}

	keepCrashes(report: SuspicionReport): void {
		this.#dispatch({type: 'request-quarantined', report});
	}

	updateCrashDigest(digest: number): void {
		if (digest !== this.#state.crashes.digest) {
			this.#dispatch({type: 'crash-digest-changed', digest});
		}
	}

	status(): unknown {
		const {adoption, members, registry, serving, routing, store} = this.#state;
		return {
			node: members.self.address,
			dataCentre: members.self.dataCentre,
			incarnation: members.self.incarnation,
			serving: serving.state,
			versionInForce: adoption.held?.version,
			newerVersion: adoption.newer,
			worker: members.self.worker,
			isRegistryKnown: registry.hasBeenListed,
			storeEra: store.era,
			routes: routing.routes.length,
			quotas: this.#quotas?.status,
			...(this.#settings.rollouts && {rollouts: this.rollouts}),
			nodes: [...members.records.values()].map((record) => ({
				...record,
				lapsedAt: members.peers.get(record.address)?.lapsedAt,
			})),
		};
	}

	registerRoutingListener(listener: (routing: RoutingTable) => void): Teardown {
		return this.#directory.registerListener((current, previous) => {
			if (current.routing !== previous.routing) {
				listener(current.routing);
			}
		});
	}

	/** Registers a listener for each configuration that comes into force here. */
	registerDocumentListener(listener: (document: ConfigurationDocument) => void): Teardown {
		this.#documentListeners.add(listener);
		return () => {
			this.#documentListeners.delete(listener);
		};
	}

	registerCrashReportHandler(handler: CrashReportHandler): Teardown {
		this.#crashReportHandler = handler;
		return () => {
			this.#crashReportHandler = undefined;
		};
	}

	registerCrashReportSource(source: CrashReportSource): Teardown {
		this.#crashReportSource = source;
		return () => {
			this.#crashReportSource = undefined;
		};
	}

	registerDepartureHandler(handler: DepartureHandler): Teardown {
		this.#departureHandler = handler;
		return () => {
			this.#departureHandler = undefined;
		};
	}

	registerDeparturesReadHandler(handler: DeparturesReadHandler): Teardown {
		this.#departuresReadHandler = handler;
		return () => {
			this.#departuresReadHandler = undefined;
		};
	}

	async keepDeparture(departure: Departure): Promise<boolean> {
		return new Promise((resolve) => {
			const unkept: UnkeptDeparture = {
				departure,
				onEnd: (isKept) => {
					clearTimeout(timer);
					this.#unkeptDepartures.delete(unkept);
					resolve(isKept);
				},
			};
			const timer = setTimeout(() => {
				this.#log.write(logEvents.departureNotKept, departure);
				unkept.onEnd(false);
			}, departureWaitMs);
			this.#unkeptDepartures.add(unkept);
			this.#dispatch({type: 'worker-leaving', departure});
		});
	}

	registerLoadHandler(handler: LoadHandler): Teardown {
		this.#loadHandler = handler;
		return () => {
			this.#loadHandler = undefined;
		};
	}

	registerUnresponsiveNodeHandler(handler: UnresponsiveNodeHandler): Teardown {
		this.#unresponsiveNodeHandler = handler;
		return () => {
			this.#unresponsiveNodeHandler = undefined;
		};
	}

	#onDatagram(from: string, datagram: Datagram): void {
		switch (datagram.type) {
			case 'quota-report':
			case 'quota-reply':
			case 'quota-demand': {
				this.#quotas?.receive(from, datagram);
				break;
			}

			default: {
				this.#dispatch({type: 'datagram', from, datagram});
			}
		}
	}

	#dispatch(event: DirectoryEvent): void {
		if (this.#isStopped) {
			return;
		}

		const startedAt = performance.now();
		const {held: previous} = this.#state.adoption;
		for (const effect of this.#directory.dispatch(event, startedAt)) {
			this.#perform(effect);
		}

		const {held: document} = this.#state.adoption;
		if (document && document !== previous) {
			this.#history.add(document.version, document.source);
			for (const listener of this.#documentListeners) {
				listener(document);
			}
		}

		this.#onTask?.(event.type, performance.now() - startedAt);
	}

	#perform(effect: DirectoryEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#socket.send(effect.to, effect.datagram);
				break;
			}

			case 'read-own-record': {
				void this.#readOwnRecord(effect.address);
				break;
			}

			case 'write-record': {
				void this.#writeRecord(effect.record);
				break;
			}

			case 'list-registry': {
				void this.#listRecords(effect.isFirst);
				break;
			}

			case 'set-watch': {
				this.#setWatch(effect.isOn);
				break;
			}

			case 'renew-watch': {
				this.#watch?.renew();
				this.#rolloutOrders?.renew();
				this.#metrics.countControlEvent('watch-renewed');
				break;
			}

			case 'ask-configuration': {
				void this.#fetcher.fetch(effect.gateAddress, effect.since);
				break;
			}

			case 'loads-heard': {
				this.#loadHandler?.(effect.loads);
				break;
			}

			case 'worker-departed': {
				this.#departureHandler?.(effect.instance, effect.startedAt);
				break;
			}

			case 'departures-read': {
				this.#departuresReadHandler?.();
				break;
			}

			case 'departures-kept': {
				this.#onDeparturesKept(effect.departed);
				break;
			}

			case 'node-silent': {
				this.#unresponsiveNodeHandler?.(effect.node);
				break;
			}

			case 'read-crashes': {
				void this.#readCrashes();
				break;
			}

			case 'save-crashes': {
				void this.#saveCrashes(effect.reports);
				break;
			}

			case 'send-crash-reports': {
				for (const report of this.#crashReportSource?.() ?? []) {
					this.#socket.send(effect.to, {type: 'suspicion', report});
				}

				break;
			}

			case 'suspect': {
				this.#crashReportHandler?.(effect.report, effect.node);
				break;
			}

			case 'list-rollouts':
			case 'write-rollout-status': {
				this.#rolloutOrders?.perform(effect);
				break;
			}

			case 'notify': {
				logDirectoryNotice(this.#log, effect.notice);
				countRolloutNotice(this.#metrics, effect.notice);
				break;
			}
		}
	}

	#onDeparturesKept(departed: readonly Departure[]): void {
		for (const {departure, onEnd} of this.#unkeptDepartures) {
			if (includesDeparture(departed, departure)) {
				onEnd(true);
			}
		}
	}

	async #readOwnRecord(address: string): Promise<void> {
		const result = await this.#ports.registry.read(address);
		this.#dispatch({type: 'own-record-read', ...result});
	}

	async #writeRecord(record: NodeRecord): Promise<void> {
		const era = await this.#ports.registry.write(record);
		this.#dispatch({type: 'record-written', hasSucceeded: era !== undefined, era: era ?? 0});
	}

	async #listRecords(isFirst: boolean): Promise<void> {
		const {registry} = this.#ports;
		const listing = await (isFirst ? registry.list() : registry.listRecent());
		this.#malformedRecords.update(listing?.malformed ?? []);
		this.#dispatch({type: 'registry-listed', records: listing?.records});
	}

	async #readCrashes(): Promise<void> {
		const result = await this.#ports.crashes.readRecent();
		const reports = result && reportsOfStored(result.stored, Date.now());
		this.#dispatch({type: 'crashes-read', reports});
	}

	async #saveCrashes(reports: readonly SuspicionReport[]): Promise<void> {
		const era = await this.#mergeCrashes(reports);
		this.#dispatch({
			type: 'crashes-saved',
			reports,
			hasSucceeded: era !== undefined,
			era: era ?? 0,
		});
	}

	/** Returns the era in which the store keeps the reports; undefined if it may not. */
	async #mergeCrashes(reports: readonly SuspicionReport[]): Promise<number | undefined> {
		const {crashes} = this.#ports;
		const known = await crashes.read();
		if (known === undefined) {
			return undefined;
		}

		const merged = mergeStoredCrashes(known.stored, reports, Date.now());
		return crashes.write(merged, known.position);
	}

	#setWatch(isOn: boolean): void {
		this.#stopWatch?.();
		this.#watch = isOn ? this.#createWatch() : undefined;
		this.#stopWatch = this.#watch?.start();
		if (!isOn) {
			this.#rolloutOrders?.setWatch(false);
		}
	}

	#createWatch(): ConfigurationWatch {
		const handlers = {
			onSource: (source: unknown) => {
				this.#applySource(source, 'store');
			},
			onReachabilityChange: (isReachable: boolean, reason: string) => {
				this.#log.write(isReachable ? logEvents.storeRegained : logEvents.storeLost, {reason});
				this.#dispatch({type: 'store-contact', isStoreReachable: isReachable});
				// The configuration's retries find out when the store answers again; each call has a price.
				this.#rolloutOrders?.setWatch(isReachable);
			},
			onContact: () => {
				// Only a strict revocation needs to know of each answer.
				if (this.#confirmWithinMs !== undefined) {
					this.#dispatch({type: 'store-contact', isStoreReachable: true});
				}
			},
			longPollMs: (isFirst: boolean) => {
				const pollMs = longPollMs(this.#state, defaultDirectoryLimits, isFirst);
				const withinMs = this.#confirmWithinMs;
				return withinMs === undefined ? pollMs : Math.min(pollMs, confirmingPollMs(withinMs));
			},
		};
		return new ConfigurationWatch(this.#ports.configuration, handlers, this.#random);
	}

	async #askNode(gateAddress: string, since?: number): Promise<ConfigurationReply> {
		const connectTimeoutMs = configurationRequestTimeoutMs;
		const client = createHttpClient(gateAddress, {connectTimeoutMs});
		const result = await exchange(
			client,
			{method: 'GET', path: configurationPath(since), headers: acceptGzip, body: undefined},
			{answerLimitBytes: configurationLimitBytes, silenceTimeoutMs: configurationRequestTimeoutMs},
		);
		void client.destroy();
		return result.type === 'complete'
			? decodeReply(result.headers, result.payload.body)
			: {type: 'none'};
	}

	/** Returns whether the reply contains a valid configuration. A node that has restarted may have none. */
	#applyReply(reply: ConfigurationReply): boolean {
		const source = this.#history.sourceFromReply(reply);
		if (source === undefined) {
			this.#metrics.countControlEvent('configuration-unanswered');
			return false;
		}

		return this.#applySource(source, 'node');
	}

	/** Returns whether the source is a valid configuration. */
	#applySource(source: unknown, origin: 'store' | 'node'): boolean {
		const startedAt = performance.now();
		const decoded = this.#ports.decode(source);
		this.#onTask?.('configuration-decoding', performance.now() - startedAt);
		if (decoded.type === 'valid') {
			this.#dispatch({type: 'configuration-read', document: decoded.document, origin});
			return true;
		}

		this.#log.write(logEvents.configurationRefused, {origin, faults: decoded.faults});
		this.#metrics.countControlEvent('configuration-refused');
		return false;
	}
}

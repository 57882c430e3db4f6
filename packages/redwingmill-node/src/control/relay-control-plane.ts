import {
	acceptsCalls,
	createEngine,
	defaultLimits,
	initialBlackboard,
	type Blackboard,
	type Effect,
	type Engine,
	type Event,
	type NodeRecord,
	type RoutingTable,
	type Worker,
	type CrashReport,
} from 'redwingmill-core';
import {PlatformClient, PlatformWatcher} from 'redwingmill-platform';
import {Random, type Teardown} from 'redwingmill-shared';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {logNotice} from '../observe/notice-log.js';
import {TrafficMeter} from '../observe/traffic-meter.js';
import {nodeStatusOf} from '../operators/status.js';
import {type ConfigurationReply} from './configuration-history.js';
import {
	type ControlPlane,
	type ControlPlaneOptions,
	type CrashReportHandler,
	type CrashReportSource,
	type DeparturesReadHandler,
} from './control-plane.js';
import {LinkTransport} from './link-transport.js';

const tickIntervalMs = 500;
const startJitterMs = 300;

/**
 * Control plane whose nodes are connected through the relay of their data centre. Passes messages,
 * timers and watch results to the core's engine as events, and performs the effects it returns.
 */
export class RelayControlPlane implements ControlPlane {
	readonly #engine: Engine;
	readonly #transport: LinkTransport;
	readonly #client: PlatformClient;
	readonly #random: Random;
	readonly #log: Log;
	readonly #metrics: Metrics;
	readonly #meter = new TrafficMeter();
	readonly #dataCentre: string;
	readonly #address: string;
	#stopWatch: Teardown | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;
	#crashReportHandler: CrashReportHandler | undefined;
	#crashReportSource: CrashReportSource | undefined;

	constructor({settings, self, log, metrics}: ControlPlaneOptions) {
		this.#log = log;
		this.#metrics = metrics;
		this.#dataCentre = self.dataCentre;
		this.#address = settings.addresses.control;
		this.#random = new Random(self.incarnation % 0x7f_ff_ff_ff);
		this.#client = new PlatformClient(settings.platform, (socket) => {
			this.#meter.track(socket);
		});
		const startDelayMs = this.#random.jitter(startJitterMs);
		this.#engine = createEngine(initialBlackboard(self, performance.now(), startDelayMs), {
			limits: {...defaultLimits, ...settings.control},
			seeds: settings.seeds,
			random: this.#random,
		});
		this.#transport = new LinkTransport(
			{
				onAccepted: () => this.#acceptLink(),
				onOpened: (link) => {
					this.dispatch({type: 'link-opened', link});
				},
				onMessage: (link, message) => {
					this.dispatch({type: 'link-message', link, message});
				},
				onClosed: (link) => {
					this.dispatch({type: 'link-closed', link});
				},
				onOverflow() {
					metrics.countControlEvent('link-overflow');
				},
			},
			this.#meter,
		);
	}

	get blackboard(): Blackboard {
		return this.#engine.blackboard;
	}

	get controlBytes(): number {
		return this.#meter.bytes;
	}

	get self(): NodeRecord {
		return this.blackboard.roster.self;
	}

	get routing(): RoutingTable {
		return this.blackboard.routing;
	}

	get isServing(): boolean {
		return acceptsCalls(this.blackboard.serving.state);
	}

	get isReady(): boolean {
		return this.isServing;
	}

	get nodeCount(): number | undefined {
		const sections = [...this.blackboard.roster.roster.values()];
		const count = sections.reduce((sum, section) => sum + section.size, 0);
		return count === 0 ? undefined : count;
	}

	/** Versions come into force on all nodes together here, so none is known before. */
	get configurationBehindMs(): number {
		return 0;
	}

	/** Not known here; a cut-off data centre goes on with the version that it holds. */
	get configurationUnconfirmedMs(): number {
		return 0;
	}

	get isRelay(): boolean {
		return this.blackboard.links.uplink.type === 'relay';
	}

	/** Always `none`: versions are distributed over links, and other nodes don't request them. */
	configurationSince(): ConfigurationReply {
		return {type: 'none'};
	}

	get rollouts(): readonly [] {
		return [];
	}

	/** Rollouts are ordered through the store, which this control plane doesn't use. */
	rolloutStageOf(): undefined {
		return undefined;
	}

	reportEvidence(): void {
		// Without an order there is nothing to report.
	}

	findNode(dataCentre: string, address: string): NodeRecord | undefined {
		const record = this.blackboard.roster.roster.get(dataCentre)?.get(address);
		return record?.status === 'live' ? record : undefined;
	}

	requestStop(): void {
		this.dispatch({type: 'stop-requested'});
	}

	leave(): void {
		// Other nodes were notified when the stop was requested.
	}

	updateWorker(worker: Worker): void {
		this.dispatch({type: 'worker-changed', worker});
	}

	updateLoad(): void {
		// Loads reach other nodes with the answers to calls only.
	}

	markNodeAlive(): void {
		// The heartbeats on links show which nodes are alive.
	}

	sendCrashReport(report: CrashReport): void {
		this.dispatch({type: 'crash-reported', report});
	}

	keepCrashes(): void {
		// The platform's objects hold nothing about requests.
	}

	updateCrashDigest(): void {
		// Reports are sent over each new link, and links lose nothing.
	}

	status(): unknown {
		return nodeStatusOf(this.blackboard);
	}

	async start(): Promise<void> {
		await this.#transport.listen(this.#address);
		this.#timer = setInterval(() => {
			this.#tick();
		}, tickIntervalMs);
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#stopWatch?.();
		this.#transport.close();
		await this.#client.close();
	}

	registerRoutingListener(listener: (routing: RoutingTable) => void): Teardown {
		return this.#engine.registerListener((current, previous) => {
			if (current.routing !== previous.routing) {
				listener(current.routing);
			}
		});
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

	/** The handler is never called: links don't carry what a node knows of another's former process. */
	registerDepartureHandler(): Teardown {
		return () => undefined;
	}

	/** No departures of earlier processes are known, so the handler is called at once. */
	registerDeparturesReadHandler(handler: DeparturesReadHandler): Teardown {
		handler();
		return () => undefined;
	}

	async keepDeparture(): Promise<boolean> {
		return false;
	}

	/** The handler is never called: loads arrive with the answers to calls only. */
	registerLoadHandler(): Teardown {
		return () => undefined;
	}

	/** The handler is never called: an exchange with a node fails when its connection closes. */
	registerUnresponsiveNodeHandler(): Teardown {
		return () => undefined;
	}

	dispatch(event: Event): void {
		for (const effect of this.#engine.dispatch(event, performance.now())) {
			this.#perform(effect);
		}
	}

	#tick(): void {
		if (!this.#isStopped) {
			this.dispatch({type: 'tick'});
		}
	}

	#acceptLink(): number {
		const link = this.blackboard.links.nextLink;
		this.dispatch({type: 'link-accepted', link});
		return link;
	}

	#perform(effect: Effect): void {
		switch (effect.type) {
			case 'open-link': {
				this.#transport.openLink(effect.link, effect.address);
				break;
			}

			case 'close-link': {
				this.#transport.closeLink(effect.link);
				break;
			}

			case 'send': {
				this.#transport.send(effect.links, effect.message);
				break;
			}

			case 'read-data-centre': {
				void this.#readDataCentre();
				break;
			}

			case 'write-object': {
				void this.#writeObject(effect);
				break;
			}

			case 'watch': {
				this.#setWatch(effect.isOn);
				break;
			}

			case 'request-tick': {
				setTimeout(() => {
					this.#tick();
				}, effect.delayMs);
				break;
			}

			case 'count': {
				this.#metrics.countControlEvent(effect.counter);
				break;
			}

			case 'notify': {
				logNotice(this.#log, effect.notice);
				break;
			}

			case 'send-crash-reports': {
				const node = this.blackboard.roster.self.address;
				for (const report of this.#crashReportSource?.() ?? []) {
					this.#transport.send([effect.link], {type: 'suspect', report, node});
				}

				break;
			}

			case 'suspect': {
				this.#crashReportHandler?.(effect.report, effect.node);
				break;
			}
		}
	}

	async #readDataCentre(): Promise<void> {
		const outcome = await this.#client.read('DataCentre', this.#dataCentre);
		this.dispatch({type: 'read-finished', outcome});
	}

	async #writeObject({object}: Extract<Effect, {type: 'write-object'}>): Promise<void> {
		const outcome = await this.#client.write(object);
		this.dispatch({type: 'write-finished', object, outcome});
	}

	#setWatch(isOn: boolean): void {
		this.#stopWatch?.();
		this.#stopWatch = undefined;
		if (!isOn) {
			return;
		}

		const watcher = new PlatformWatcher(
			this.#client,
			{
				onObject: (object) => {
					this.dispatch({type: 'object-observed', object});
				},
				onCurrent: (isCurrent) => {
					this.dispatch({type: 'watch-changed', isCurrent});
				},
				onRetry: () => {
					this.#metrics.countControlEvent('platform-retry');
				},
			},
			this.#random,
		);
		this.#stopWatch = watcher.start();
	}
}

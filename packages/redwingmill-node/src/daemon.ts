import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	defaultGateLimits,
	rolloutStates,
	WorkerLease,
	type AnnouncementOrder,
	type CallerLimits,
	type NodeRecord,
	type NoticeChange,
	type Worker,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {defaultCallerProtocol, type CallerProtocol} from './call/caller-protocol.js';
import {EntryServer} from './call/entry-server.js';
import {EntryService} from './call/entry-service.js';
import {GateClient} from './call/gate-client.js';
import {GateServer} from './call/gate-server.js';
import {GateService} from './call/gate-service.js';
import {LinkSender} from './call/link-sender.js';
import {defaultWorkerProtocol, type WorkerProtocol} from './call/worker-protocol.js';
import {type ControlPlane, type ControlPlaneOptions} from './control/control-plane.js';
import {CallLog} from './observe/call-log.js';
import {logCrashNotice} from './observe/crash-log.js';
import {EventLoopDelay} from './observe/event-loop-delay.js';
import {Log} from './observe/log.js';
import {logEvents} from './observe/log-event.js';
import {Metrics, type GaugeValues} from './observe/metrics.js';
import {logNoticeChange} from './observe/worker-notice-log.js';
import {OperatorsServer} from './operators/operators-server.js';
import {type Settings} from './settings/settings.js';

const leaseCheckIntervalMs = 500;
const loadUpdateIntervalMs = 100;
const evidenceIntervalMs = 250;
const incarnationsPerMs = 1000;
/** Delay before the ports are closed, in which other nodes learn that this node is leaving. */
const closeDelayMs = 1000;
const drainCheckIntervalMs = 20;
/** Delay before the gate refuses calls, in which the announcement of the departure spreads. */
const leavePropagationMs = 50;
const msPerSecond = 1000;
const microsecondsPerSecond = 1e6;
/** Part of `stopping.withinSeconds` reserved for closing the ports after the drain. */
const closeReserveMs = 700;

/** Result of a graceful shutdown. */
export type StopResult = {
	/** Whether all calls finished before the drain timed out. */
	readonly isDrained: boolean;
	readonly phases: StopPhases;
};

/** Durations of the phases of a graceful shutdown, in milliseconds. */
export type StopPhases = {
	/** Calls are still accepted, while callers and nodes learn of the shutdown. */
	readonly lingerMs: number;
	/** New calls are refused, until those in progress are answered. */
	readonly drainMs: number;
	/** Ports and connections are closed. */
	readonly closeMs: number;
};

/** Calls and requests that are open at a node. */
export type OpenCalls = {
	/** Calls that the entry hasn't answered yet. */
	readonly inProgress: number;
	/** Requests of callers whose answer hasn't been sent yet. */
	readonly entryRequests: number;
	/** Requests of other nodes whose answer hasn't been sent yet. */
	readonly gateRequests: number;
};

/** Control plane of a daemon, and dependencies that replace the defaults. */
export type DaemonOptions = {
	readonly callerProtocol?: CallerProtocol;
	readonly workerProtocol?: WorkerProtocol;
	readonly createControlPlane: (options: ControlPlaneOptions) => ControlPlane;
	readonly log?: Log;
};

/** A node of the mesh: control plane, gate, proxy for callers and operators' port. */
export class Daemon {
	#settings: Settings;
	readonly #log: Log;
	readonly #control: ControlPlane;
	readonly #gate: GateService;
	readonly #gateClient: GateClient;
	readonly #gateServer: GateServer;
	readonly #entry: EntryService;
	readonly #entryServer: EntryServer;
	readonly #operators: OperatorsServer;
	readonly #lease: WorkerLease;
	readonly #eventLoopDelay: EventLoopDelay;
	/** Undefined if the bandwidth of the host's link isn't known. */
	readonly #link: LinkSender | undefined;
	#loadTimer: NodeJS.Timeout | undefined;
	#evidenceTimer: NodeJS.Timeout | undefined;
	#workerTimer: NodeJS.Timeout | undefined;
	/** Monotonic milliseconds; undefined while the node isn't stopping. */
	#stoppingSince: number | undefined;

	constructor(settings: Settings, options: DaemonOptions) {
		const {calls} = settings;
		const self = createNodeRecord(settings);
		this.#settings = settings;
		const {
			callerProtocol = defaultCallerProtocol,
			workerProtocol = defaultWorkerProtocol,
			createControlPlane,
			log = new Log(settings),
		} = options;
		this.#log = log;
		this.#lease = new WorkerLease(calls.workerLeaseMs);
		this.#lease.awaitDepartures();
		const metrics = new Metrics(() => this.#readGauges());
		this.#eventLoopDelay = new EventLoopDelay(({delayMs, meanMs, task, taskMs}) => {
			log.write(logEvents.eventLoopDelayed, {
				delayMs: Math.round(delayMs),
				meanMs: Math.round(meanMs),
				task,
				taskMs: Math.round(taskMs),
			});
		});
		this.#control = createControlPlane({
			settings,
			self,
			log,
			metrics,
			onTask: (task, ms) => {
				this.#eventLoopDelay.recordTask(task, ms);
			},
		});
		const callLog = new CallLog(log, () => this.#control, callerProtocol.requestIdHeader);
		const {linkMbps = 0} = settings.control;
		this.#link = linkMbps > 0 ? new LinkSender(linkMbps) : undefined;
		this.#gate = new GateService({
			limits: {
				...defaultGateLimits,
				isLimiting: calls.limitsConcurrency,
				deathsToQuarantine: calls.deathsToQuarantine,
				isolatesSuspects: calls.isolatesSuspects,
			},
			protocol: workerProtocol,
			workerConnections: calls.workerConnections,
			link: this.#link,
			answerLimitBytes: calls.answerLimitBytes,
			identity: {node: self.address, incarnation: self.incarnation},
			onCrashReport: (report) => {
				if (report.isCleared) {
					this.#log.write(logEvents.requestCleared, {fingerprint: report.fingerprint});
				}

				this.#control.sendCrashReport(report);
			},
			onQuarantine: (report) => {
				this.#control.keepCrashes(report);
			},
			onCrashNotice(notice) {
				logCrashNotice(log, notice);
			},
			onNotice: (change, worker) => {
				logNoticeChange(log, change, worker);
				this.#onNotice(change, worker, metrics);
			},
			onWorkerGone: () => {
				this.#log.write(logEvents.workerUnreachable);
				this.#updateWorker(this.#lease.revoke());
			},
			onAnswered(record) {
				callLog.writeGateCall(record);
			},
		});
		this.#gateClient = new GateClient(calls.answerLimitBytes);
		this.#gateServer = new GateServer(this.#gate, calls.bodyLimitBytes, {
			incarnation: () => this.#control.self.incarnation,
			configurationSince: (since) => this.#control.configurationSince(since),
			link: this.#link,
		});
		this.#entry = new EntryService(settings, {
			control: this.#control,
			gate: this.#gate,
			client: this.#gateClient,
			metrics,
			random: new Random(self.incarnation % 0x7f_ff_ff_ff),
			onAnswered(record) {
				callLog.writeEntryCall(record);
			},
		});
		this.#entryServer = new EntryServer(this.#entry, {
			bodyLimitBytes: calls.bodyLimitBytes,
			protocol: callerProtocol,
			metrics,
			log,
			link: this.#link,
		});
		this.#operators = new OperatorsServer(this.#control, this.#gate, metrics, (worker) => {
			void this.announce(worker);
		});
	}

	/** Whether new callers should connect to this node. */
	get isReady(): boolean {
		return this.#control.isReady;
	}

	/** What a graceful shutdown would wait for now. */
	get openCalls(): OpenCalls {
		return {
			inProgress: this.#entry.inProgressCount,
			entryRequests: this.#entryServer.openRequestCount,
			gateRequests: this.#gateServer.openRequestCount,
		};
	}

	/**
	 * Handles a worker's announcement. Without an order, the one received last is the newest. A worker that drains
	 * is leaving: resolves as {@link announceDeparture} does, otherwise with true.
	 *
	 * @param coldLeftMs - how long the worker remains slow after its start, in milliseconds.
	 */
	async announce(worker: Worker, order?: AnnouncementOrder, coldLeftMs = 0): Promise<boolean> {
		const renewal = this.#lease.renew(worker, performance.now(), order);
		if (coldLeftMs > 0 && renewal.type !== 'outdated') {
			this.#gate.setColdUntil(performance.now() + coldLeftMs);
		}

		switch (renewal.type) {
			case 'changed': {
				this.#updateWorker(renewal.worker);
				break;
			}

			case 'outdated': {
				this.#log.write(logEvents.announcementIgnored, {...worker, ...order, reason: 'outdated'});
				break;
			}

			case 'unchanged': {
				break;
			}
		}

		const {instance, state} = worker;
		// An outdated announcement repeats a departure that may not be kept yet.
		return state !== 'draining' || instance === undefined || order === undefined
			? true
			: this.#control.keepDeparture({instance, startedAt: order.startedAt});
	}

	/**
	 * Stops dispatching calls to a worker instance that is leaving. Resolves with true once later processes of
	 * this node know of it, or with false after a limited time, when it must not be acknowledged yet.
	 *
	 * @param startedAt - start of the instance in Unix milliseconds, if it is known.
	 */
	async announceDeparture(instance: string, startedAt?: number): Promise<boolean> {
		const latestStartedAt = startedAt ?? this.#lease.startOf(instance) ?? Date.now();
		this.#leave(instance, startedAt);
		return this.#control.keepDeparture({instance, startedAt: latestStartedAt});
	}

	/** Applies those changed settings that can change without a restart. */
	reload(settings: Settings): void {
		this.#settings = {...this.#settings, caller: settings.caller, stopping: settings.stopping};
		this.#entry.reload(settings);
		this.#log.write(logEvents.settingsReloaded, {caller: settings.caller});
	}

	/** Sets the limits on the size and duration of callers' requests. */
	setCallerLimits(limits: CallerLimits): void {
		this.#entryServer.applyLimits(limits);
	}

	/** Starts listening on all ports and joins the mesh. */
	async start(): Promise<void> {
		const {addresses} = this.#settings;
		this.#control.registerCrashReportHandler((report, node) => {
			this.#gate.applyCrashReport(report, node);
		});
		this.#control.registerCrashReportSource(() => this.#gate.crashReports);
		this.#control.registerRoutingListener((routing) => {
			this.#entry.onRouting(routing);
		});
		this.#control.registerUnresponsiveNodeHandler((node) => {
			this.#entry.onNodeUnresponsive(node);
		});
		this.#control.registerDepartureHandler((instance, startedAt) => {
			this.#leave(instance, startedAt);
		});
		this.#control.registerDeparturesReadHandler(() => {
			this.#updateWorker(this.#lease.confirmDepartures());
		});
		this.#control.registerLoadHandler((loads) => {
			this.#entry.onLoads(loads);
		});
		await this.#gateServer.listen(addresses.gate);
		await this.#operators.listen(addresses.operators);
		await this.#control.start();
		await this.#entryServer.listen(addresses.proxy);
		this.#workerTimer = setInterval(() => {
			this.#updateWorker(this.#lease.expire(performance.now()));
		}, leaseCheckIntervalMs);
		this.#loadTimer = setInterval(() => {
			this.#eventLoopDelay.sample(performance.now(), loadUpdateIntervalMs);
			this.#control.updateLoad(this.#gate.load);
			this.#control.updateCrashDigest(this.#gate.crashDigest);
		}, loadUpdateIntervalMs);
		if (this.#settings.rollouts) {
			this.#evidenceTimer = setInterval(() => {
				this.#reportEvidence();
			}, evidenceIntervalMs);
		}

		this.#log.write(logEvents.nodeStarted, {addresses});
	}

	/**
	 * Shuts the node down gracefully. Accepts calls for `stopping.lingerMs`, since callers and other
	 * nodes learn of the shutdown with a delay; then refuses new calls, waits until the calls in
	 * progress finish or the drain times out, and closes all ports.
	 */
	async stop(): Promise<StopResult> {
		this.#log.write(logEvents.nodeStopping, this.openCalls);
		const startedAt = performance.now();
		this.#stoppingSince = startedAt;
		this.#control.requestStop();
		const {stopping, drainTimeoutMs} = this.#settings;
		const limitMs = (stopping.withinSeconds ?? Number.POSITIVE_INFINITY) * msPerSecond;
		// After a linger the others have long learned of the departure.
		const afterDrainMs = stopping.lingerMs > 0 ? 0 : closeDelayMs;
		const usedMs = stopping.lingerMs + leavePropagationMs + afterDrainMs + closeReserveMs;
		const drainLimitMs = Math.min(drainTimeoutMs, limitMs - usedMs);
		this.#entryServer.beginStop(startedAt + stopping.lingerMs + leavePropagationMs + drainLimitMs);
		await delay(stopping.lingerMs);
		this.#entryServer.refuseCalls();
		this.#control.leave();
		await delay(leavePropagationMs);
		this.#gate.stop();
		const lingeredAt = performance.now();
		const isDrained = await this.#drain(drainLimitMs);
		const drainedAt = performance.now();
		if (!isDrained) {
			this.#log.write(logEvents.drainTimedOut, this.openCalls);
			this.#entryServer.answerOpenCalls();
		}

		await delay(afterDrainMs);
		await this.#close();
		const phases = {
			lingerMs: Math.round(lingeredAt - startedAt),
			drainMs: Math.round(drainedAt - lingeredAt),
			closeMs: Math.round(performance.now() - drainedAt),
		};
		this.#log.write(logEvents.nodeStopped, {isDrained, ...phases});
		return {isDrained, phases};
	}

	async #drain(timeoutMs: number): Promise<boolean> {
		const deadlineAt = performance.now() + timeoutMs;
		while (this.#hasOpenCalls()) {
			if (performance.now() >= deadlineAt) {
				return false;
			}

			await delay(drainCheckIntervalMs);
		}

		return true;
	}

	/** Whether calls are in progress, or requests are still being received or answered. */
	#hasOpenCalls(): boolean {
		return (
			this.#entry.inProgressCount > 0 ||
			!this.#gate.isIdle ||
			this.#entryServer.openRequestCount > 0 ||
			this.#gateServer.openRequestCount > 0
		);
	}

	async #close(): Promise<void> {
		clearInterval(this.#workerTimer);
		clearInterval(this.#loadTimer);
		clearInterval(this.#evidenceTimer);
		await this.#entryServer.close();
		this.#gateServer.close();
		this.#operators.close();
		this.#link?.close();
		await this.#control.stop();
		this.#gateClient.close();
		await this.#gate.close();
	}

	/** Reports the worker's runs while a rollout of its service is in progress. */
	#reportEvidence(): void {
		const service = this.#control.self.worker?.service;
		const stage = service === undefined ? undefined : this.#control.rolloutStageOf(service);
		const isRunning = stage?.state === rolloutStates.running;
		const evidence = this.#gate.evidenceSince(isRunning ? stage.order : undefined);
		if (evidence) {
			this.#control.reportEvidence(evidence);
		}
	}

	#onNotice(change: NoticeChange, {instance, startedAt}: Worker, metrics: Metrics): void {
		switch (change.type) {
			case 'limit-malformed': {
				metrics.countControlEvent('worker-limit-malformed');
				break;
			}

			case 'load-malformed': {
				metrics.countControlEvent('worker-load-malformed');
				break;
			}

			case 'leaving': {
				if (instance !== undefined) {
					void this.announceDeparture(instance, startedAt);
				}

				break;
			}

			case 'limit-changed': {
				break;
			}
		}
	}

	#leave(instance: string, startedAt?: number): void {
		this.#updateWorker(this.#lease.leave(instance, startedAt));
	}

	#updateWorker(worker: Worker | undefined): void {
		if (worker) {
			this.#log.write(logEvents.workerChanged, {worker});
			this.#gate.setWorker(worker);
			this.#control.updateWorker(worker);
		}
	}

	#readGauges(): GaugeValues {
		const {routing, controlBytes, isRelay, isServing, rollouts} = this.#control;
		const counts = [...routing.endpoints.values()].map((endpoints) => endpoints.length);
		return {
			versionInForce: routing.version,
			stoppingSeconds:
				this.#stoppingSince === undefined ? 0 : (performance.now() - this.#stoppingSince) / 1000,
			configurationBehindSeconds: this.#control.configurationBehindMs / 1000,
			controlBytes,
			endpoints: counts.reduce((sum, count) => sum + count, 0),
			gateRunning: this.#gate.runningCount,
			gateWaiting: this.#gate.waitingCount,
			workerRequests: this.#gate.sentCount,
			workerLimitPerSecond: this.#gate.limitPerSecond ?? Number.POSITIVE_INFINITY,
			eventLoopDelaySeconds: this.#eventLoopDelay.meanMs / msPerSecond,
			transitSeconds: this.#entry.transitMs / msPerSecond,
			processorSeconds: processorSecondsOf(process.cpuUsage()),
			taskSeconds: this.#eventLoopDelay.taskSeconds,
			isRelay,
			isServing,
			rolloutShares: new Map(rollouts.map(({service, share}) => [service, share])),
			busyShareSpreads: this.#entry.busyShareSpreads,
		};
	}
}

function processorSecondsOf({user, system}: NodeJS.CpuUsage): number {
	return (user + system) / microsecondsPerSecond;
}

/** Creates the first record. The clock sets the incarnation, so that later starts have a higher one. */
function createNodeRecord({
	dataCentre,
	addresses,
	advertised = addresses,
	control: {linkMbps},
}: Settings): NodeRecord {
	return {
		address: advertised.control,
		dataCentre,
		incarnation: Date.now() * incarnationsPerMs + Math.floor(Math.random() * incarnationsPerMs),
		revision: 1,
		status: 'live',
		gateAddress: advertised.gate,
		...(linkMbps === undefined ? {} : {linkMbps: Math.round(linkMbps)}),
	};
}

import {setTimeout as delay} from 'node:timers/promises';
import {type Teardown} from 'redwingmill-shared';
import {type DatagramFaultProxy} from './datagram-fault-proxy.js';
import {isCrashingPath, responseBodyOf, type InvariantChecker} from './invariant-checker.js';
import {NodeProcess} from './node-process.js';
import {
	type NodeAddresses,
	type ReportedRun,
	type RunReply,
	type SoakDeployment,
	type SoakWorker,
} from './soak-deployment.js';
import {
	endlessAnswers,
	type LinkBehaviour,
	type LinkPurpose,
	type SoakNotice,
	type WorkerFault,
} from './soak-fault.js';
import {StreamFaultProxy} from './stream-fault-proxy.js';

/** Settings and dependencies of a host. */
export type HostOptions = {
	readonly index: number;
	readonly deployment: SoakDeployment;
	readonly dataCentre: string;
	readonly service: string;
	readonly addresses: NodeAddresses;
	readonly storeAddress: string;
	readonly datagramProxy: DatagramFaultProxy;
	readonly checker: InvariantChecker;
	/** Writes a settings file and returns its path. */
	readonly writeSettings: (name: string, text: string) => string;
	readonly logFile: string;
};

type StreamProxies = Record<Exclude<LinkPurpose, 'datagrams'>, StreamFaultProxy>;

const announcementIntervalMs = 400;
const normalRunMs = 15;
const slowRunMs = 700;
/** Time for which calls may still reach a worker after its leaving was acknowledged. */
const leaveGraceMs = 2500;
/** Calls that arrive within this time after a disruption may have been delayed by it. */
const disruptionAftermathMs = 3000;
const maximumLeaveAttempts = 3;
/** Time after which a worker that a request has crashed is replaced. */
const crashRestartMs = 1200;

/** A host: its node's process, its worker, and the fault-injecting proxies in front of them. */
export class SoakHost {
	/** Opens the proxies and writes the settings. Neither the node nor the worker is started. */
	static async create(options: HostOptions): Promise<SoakHost> {
		const {addresses, storeAddress, datagramProxy, deployment, dataCentre, service, index} =
			options;
		const streamProxies = {
			caller: new StreamFaultProxy(addresses.proxy),
			gate: new StreamFaultProxy(addresses.gate),
			// Listens while a worker runs, so that connections to a crashed one are refused.
			worker: new StreamFaultProxy(addresses.gate),
			store: new StreamFaultProxy(storeAddress),
		};
		const {caller, gate, store} = streamProxies;
		await Promise.all([caller, gate, store].map(async (proxy) => proxy.listen()));
		const control = await datagramProxy.add(addresses.control);
		const settings = deployment.settingsOf({
			dataCentre,
			service,
			addresses,
			advertised: {control, gate: streamProxies.gate.address},
			storeAddress: streamProxies.store.address,
		});
		return new SoakHost(options, streamProxies, options.writeSettings(`node-${index}`, settings));
	}

	readonly service: string;
	readonly process: NodeProcess;
	readonly #options: HostOptions;
	readonly #worker: SoakWorker;
	readonly #streamProxies: StreamProxies;
	#workerFault: WorkerFault | undefined;
	#notice: SoakNotice | undefined;
	#workerInstanceNumber = 0;
	#isWorkerRunning = false;
	/** Address at which the node reaches the worker; undefined while none runs. */
	#workerAddress: string | undefined;
	/** Ends when the worker's last start or stop has completed. */
	#workerTransition: Promise<void> = Promise.resolve();
	#isClosed = false;
	#isLeaving = false;
	#openDisruptions = 0;
	#lastDisruptionEndedAt = -Infinity;
	#announcementTimer: NodeJS.Timeout | undefined;

	private constructor(options: HostOptions, streamProxies: StreamProxies, settingsFile: string) {
		const {deployment, service, checker, index, logFile} = options;
		this.#options = options;
		this.service = service;
		this.#streamProxies = streamProxies;
		this.#worker = deployment.createWorker(service, (run, reply) => {
			this.#handleRun(run, reply);
		});
		this.process = new NodeProcess({
			program: deployment.program,
			environment: deployment.environmentOf(settingsFile),
			logFile,
			onUnexpectedExit(detail) {
				checker.report('process-ended', `host ${index}: ${detail}`);
			},
		});
	}

	/** Address at which callers reach the node. */
	get callerAddress(): string {
		return this.#streamProxies.caller.address;
	}

	/** Time until which the host's process or links were disrupted; `Infinity` while they are. */
	get disruptedUntil(): number {
		return this.#openDisruptions > 0 ? Infinity : this.#lastDisruptionEndedAt;
	}

	/** Marks the host as disrupted until the returned function is called. */
	beginDisruption(): Teardown {
		this.#openDisruptions += 1;
		return () => {
			this.#openDisruptions -= 1;
			this.#lastDisruptionEndedAt = performance.now();
		};
	}

	async start(): Promise<void> {
		await this.startWorker();
		await this.process.start();
		this.#announcementTimer = setInterval(() => {
			void this.#announce();
		}, announcementIntervalMs);
	}

	async close(): Promise<void> {
		clearInterval(this.#announcementTimer);
		this.#isClosed = true;
		await this.process.kill();
		await this.stopWorker();
		for (const proxy of Object.values(this.#streamProxies)) {
			proxy.close();
		}
	}

	setLinkBehaviour(purpose: LinkPurpose, behaviour: LinkBehaviour): void {
		if (purpose === 'datagrams') {
			this.#options.datagramProxy.setBehaviour(this.#options.index, behaviour);
		} else {
			this.#streamProxies[purpose].setBehaviour(behaviour);
		}
	}

	/** Has the host's open connections for these purposes go silent for good. */
	silenceConnections(purposes: ReadonlyArray<keyof StreamProxies>): void {
		for (const purpose of purposes) {
			this.#streamProxies[purpose].silenceOpenConnections();
		}
	}

	/**
	 * Injects a fault into the worker for a time, after which a worker serves on this host again. Does
	 * nothing while another worker fault lasts.
	 */
	async injectWorkerFault(fault: WorkerFault, forMs: number): Promise<void> {
		if (this.#workerFault !== undefined || this.#notice !== undefined) {
			return;
		}

		this.#workerFault = fault;
		if (fault === 'crash') {
			await this.stopWorker();
		} else if (fault === 'leave') {
			await this.#leave();
		}

		await delay(forMs);
		if (fault === 'crash' || fault === 'leave') {
			await this.stopWorker();
			await this.startWorker();
		}

		this.#workerFault = undefined;
	}

	/** Has the worker say something of itself in its responses for a time. Does nothing while it has a fault. */
	async injectNotice(notice: SoakNotice, forMs: number): Promise<void> {
		if (this.#workerFault !== undefined || this.#notice !== undefined || !this.#isWorkerRunning) {
			return;
		}

		this.#notice = notice;
		this.#worker.setNotice(notice);
		await delay(forMs);
		this.#notice = undefined;
		this.#worker.setNotice(undefined);
		this.#options.checker.onNoticeEnded(this.#worker.instance);
		if (notice.type === 'leaving') {
			await this.stopWorker();
			await this.startWorker();
		}
	}

	async startWorker(): Promise<void> {
		return this.#changeWorker(async () => {
			if (this.#isWorkerRunning || this.#isClosed) {
				return;
			}

			const {worker: proxy} = this.#streamProxies;
			this.#workerInstanceNumber += 1;
			this.#isLeaving = false;
			proxy.setTarget(await this.#worker.start(this.#workerInstanceNumber));
			// An instance that follows one that crashed meanwhile says the same.
			this.#worker.setNotice(this.#notice);
			await proxy.listen();
			this.#workerAddress = proxy.address;
			this.#isWorkerRunning = true;
		});
	}

	async stopWorker(): Promise<void> {
		return this.#changeWorker(async () => {
			if (this.#isWorkerRunning) {
				this.#isWorkerRunning = false;
				this.#workerAddress = undefined;
				this.#streamProxies.worker.close();
				await this.#worker.stop();
			}
		});
	}

	/** Starts or stops the worker once earlier starts and stops have completed. */
	async #changeWorker(change: () => Promise<void>): Promise<void> {
		this.#workerTransition = this.#workerTransition.then(change);
		return this.#workerTransition;
	}

	/** Crashes the worker because of a request that it runs; another instance follows. */
	async #crashWorker(): Promise<void> {
		await this.stopWorker();
		await delay(crashRestartMs);
		await this.startWorker();
	}

	/**
	 * Announces that the worker leaves, a limited number of times, until the node acknowledges it. The
	 * worker keeps running for calls that are already on the way.
	 */
	async #leave(): Promise<void> {
		this.#isLeaving = true;
		const {instance} = this.#worker;
		for (let attempt = 0; attempt < maximumLeaveAttempts; attempt++) {
			if (await this.#announce()) {
				this.#options.checker.onLeaveAcknowledged(instance, performance.now() + leaveGraceMs);
				break;
			}

			await delay(announcementIntervalMs);
		}

		await delay(leaveGraceMs);
	}

	async #announce(): Promise<boolean> {
		const {announcements} = this.#options.addresses;
		return this.#workerAddress === undefined
			? false
			: this.#worker.announce(announcements, this.#workerAddress, this.#isLeaving);
	}

	#handleRun(run: ReportedRun, reply: RunReply): void {
		const now = performance.now();
		const isHeldUp = now - this.disruptedUntil < disruptionAftermathMs;
		this.#options.checker.onRun({...run, isHeldUp}, now);
		if (isCrashingPath(run.path)) {
			void this.#crashWorker();
			return;
		}

		const respond = () => {
			const notice = this.#notice;
			if (notice && run.instance === this.#worker.instance) {
				this.#options.checker.onNotice(run.id, run.instance, notice, performance.now());
			}

			reply.send(responseBodyOf(run.id, this.service));
		};

		switch (this.#workerFault) {
			case 'hang': {
				break;
			}

			case 'drop-answers': {
				setTimeout(reply.drop, normalRunMs);
				break;
			}

			case endlessAnswers: {
				setTimeout(reply.sendWithoutEnd, normalRunMs);
				break;
			}

			case 'slow': {
				setTimeout(respond, slowRunMs);
				break;
			}

			case 'crash':
			case 'leave':
			case undefined: {
				setTimeout(respond, normalRunMs);
				break;
			}
		}
	}
}

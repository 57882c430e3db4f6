import {setTimeout as delay} from 'node:timers/promises';
import {type Teardown} from 'redwingmill-shared';
import {type DatagramFaultProxy} from './datagram-fault-proxy.js';
import {NodeProcess} from './node-process.js';
import {type LinkBehaviour, type LinkPurpose, type WorkerFault} from './soak-fault.js';
import {
	type NodeAddresses,
	type RunReply,
	type ReportedRun,
	type SoakDeployment,
	type SoakWorker,
} from './soak-deployment.js';
import {responseBodyOf, type InvariantChecker} from './invariant-checker.js';
import {StreamFaultProxy} from './stream-fault-proxy.js';

/** What a host is made of. */
export type HostOptions = {
	readonly index: number;
	readonly deployment: SoakDeployment;
	readonly dataCentre: string;
	readonly service: string;
	readonly addresses: NodeAddresses;
	readonly storeAddress: string;
	readonly datagramProxy: DatagramFaultProxy;
	readonly checker: InvariantChecker;
	readonly writeSettings: (name: string, text: string) => string;
	readonly logFile: string;
};

type StreamProxies = Record<Exclude<LinkPurpose, 'datagrams'>, StreamFaultProxy>;

const announcementIntervalMs = 400;
const normalRunMs = 15;
const slowRunMs = 700;
/** Time after a leaving worker's acknowledgement in which calls may still reach it. */
const leaveGraceMs = 2500;
/** A disturbance may have held up what arrives so long after it. */
const disruptionAftermathMs = 3000;
const maximumLeaveAttempts = 3;

/** A host: its node's process, its worker, and the links that lead to and from them. */
export class SoakHost {
	/** Opens the links and writes the settings; nothing runs yet. */
	static async create(plan: HostOptions): Promise<SoakHost> {
		const {
			addresses,
			storeAddress,
			datagramProxy: relay,
			deployment: site,
			dataCentre,
			service,
			index,
		} = plan;
		const links = {
			caller: new StreamFaultProxy(addresses.proxy),
			gate: new StreamFaultProxy(addresses.gate),
			worker: new StreamFaultProxy(addresses.gate),
			store: new StreamFaultProxy(storeAddress),
		};
		await Promise.all(Object.values(links).map(async (link) => link.listen()));
		const control = await relay.add(addresses.control);
		const settings = site.settingsOf({
			dataCentre,
			service,
			addresses,
			advertised: {control, gate: links.gate.address},
			storeAddress: links.store.address,
		});
		return new SoakHost(plan, links, plan.writeSettings(`node-${index}`, settings));
	}

	readonly service: string;
	readonly process: NodeProcess;
	readonly #options: HostOptions;
	readonly #worker: SoakWorker;
	readonly #streamProxies: StreamProxies;
	#workerFault: WorkerFault | undefined;
	#workerInstanceNumber = 0;
	#isWorkerRunning = false;
	#isLeaving = false;
	#openDisruptions = 0;
	#lastDisruptionEndedAt = -Infinity;
	#announcementTimer: NodeJS.Timeout | undefined;

	private constructor(plan: HostOptions, links: StreamProxies, settingsFile: string) {
		const {deployment: site, service, checker: watch, index, logFile} = plan;
		this.#options = plan;
		this.service = service;
		this.#streamProxies = links;
		this.#worker = site.createWorker(service, (run, reply) => {
			this.#handleRun(run, reply);
		});
		this.process = new NodeProcess({
			program: site.program,
			environment: site.environmentOf(settingsFile),
			logFile,
			onUnexpectedExit(detail) {
				watch.report('process-ended', `host ${index}: ${detail}`);
			},
		});
	}

	/** Address at which callers reach the node. */
	get callerAddress(): string {
		return this.#streamProxies.caller.address;
	}

	/** Until when the host's process or links were disturbed; infinite while they are. */
	get disruptedUntil(): number {
		return this.#openDisruptions > 0 ? Infinity : this.#lastDisruptionEndedAt;
	}

	/** Notes a disturbance. Returns what ends it. */
	beginDisruption(): Teardown {
		this.#openDisruptions += 1;
		return () => {
			this.#openDisruptions -= 1;
			this.#lastDisruptionEndedAt = performance.now();
		};
	}

	async start(): Promise<void> {
		await this.startWorker();
		this.process.start();
		this.#announcementTimer = setInterval(() => {
			void this.#announce();
		}, announcementIntervalMs);
	}

	async close(): Promise<void> {
		clearInterval(this.#announcementTimer);
		await this.process.kill();
		await this.stopWorker();
		for (const link of Object.values(this.#streamProxies)) {
			link.close();
		}
	}

	setLinkBehaviour(purpose: LinkPurpose, behaviour: LinkBehaviour): void {
		if (purpose === 'datagrams') {
			this.#options.datagramProxy.setBehaviour(this.#options.index, behaviour);
		} else {
			this.#streamProxies[purpose].setBehaviour(behaviour);
		}
	}

	/** Brings a fault over the worker for a time; afterwards a worker serves here again. */
	async injectWorkerFault(fault: WorkerFault, forMs: number): Promise<void> {
		if (this.#workerFault) {
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

	async startWorker(): Promise<void> {
		if (!this.#isWorkerRunning) {
			this.#isWorkerRunning = true;
			this.#workerInstanceNumber += 1;
			this.#isLeaving = false;
			this.#streamProxies.worker.setTarget(await this.#worker.start(this.#workerInstanceNumber));
		}
	}

	async stopWorker(): Promise<void> {
		if (this.#isWorkerRunning) {
			this.#isWorkerRunning = false;
			await this.#worker.stop();
		}
	}

	/** Says that the worker leaves until the node acknowledges it, then stays for what comes late. */
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
		if (!this.#isWorkerRunning) {
			return false;
		}

		const {announcements} = this.#options.addresses;
		return this.#worker.announce(
			announcements,
			this.#streamProxies.worker.address,
			this.#isLeaving,
		);
	}

	#handleRun(run: ReportedRun, reply: RunReply): void {
		const now = performance.now();
		const isHeldUp = now - this.disruptedUntil < disruptionAftermathMs;
		this.#options.checker.onRun({...run, isHeldUp}, now);
		const answer = () => {
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

			case 'slow': {
				setTimeout(answer, slowRunMs);
				break;
			}

			case 'crash':
			case 'leave':
			case undefined: {
				setTimeout(answer, normalRunMs);
				break;
			}
		}
	}
}

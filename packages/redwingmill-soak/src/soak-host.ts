import {setTimeout as delay} from 'node:timers/promises';
import {type Teardown} from 'redwingmill-shared';
import {type DatagramRelay} from './datagram-relay.js';
import {NodeProcess} from './node-process.js';
import {type LinkBehaviour, type LinkPurpose, type WorkerFault} from './soak-fault.js';
import {
	type NodeAddresses,
	type RunReply,
	type SeenRun,
	type SoakSite,
	type SoakWorker,
} from './soak-site.js';
import {answerOf, type PromiseWatch} from './promise-watch.js';
import {StreamLink} from './stream-link.js';

/** What a host is made of. */
export type HostPlan = {
	readonly index: number;
	readonly site: SoakSite;
	readonly dataCentre: string;
	readonly service: string;
	readonly addresses: NodeAddresses;
	readonly storeAddress: string;
	readonly relay: DatagramRelay;
	readonly watch: PromiseWatch;
	readonly writeSettings: (name: string, text: string) => string;
	readonly logFile: string;
};

type StreamLinks = Record<Exclude<LinkPurpose, 'datagrams'>, StreamLink>;

const announceIntervalMs = 400;
const usualRunMs = 15;
const slowRunMs = 700;
/** Time after a leaving worker's acknowledgement in which calls may still reach it. */
const leaveBoundMs = 2500;
/** A disturbance may have held up what arrives so long after it. */
const heldUpMs = 3000;
const leaveAttempts = 3;

/** A host: its node's process, its worker, and the links that lead to and from them. */
export class SoakHost {
	/** Opens the links and writes the settings; nothing runs yet. */
	static async create(plan: HostPlan): Promise<SoakHost> {
		const {addresses, storeAddress, relay, site, dataCentre, service, index} = plan;
		const links = {
			caller: new StreamLink(addresses.proxy),
			gate: new StreamLink(addresses.gate),
			worker: new StreamLink(addresses.gate),
			store: new StreamLink(storeAddress),
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
	readonly #plan: HostPlan;
	readonly #worker: SoakWorker;
	readonly #links: StreamLinks;
	#workerFault: WorkerFault | undefined;
	#workerLife = 0;
	#isWorkerUp = false;
	#isLeaving = false;
	#disturbances = 0;
	#disturbedAt = -Infinity;
	#timer: NodeJS.Timeout | undefined;

	private constructor(plan: HostPlan, links: StreamLinks, settingsFile: string) {
		const {site, service, watch, index, logFile} = plan;
		this.#plan = plan;
		this.service = service;
		this.#links = links;
		this.#worker = site.createWorker(service, (run, reply) => {
			this.#run(run, reply);
		});
		this.process = new NodeProcess({
			program: site.program,
			environment: site.environmentOf(settingsFile),
			logFile,
			onUnasked(detail) {
				watch.report('process-ended', `host ${index}: ${detail}`);
			},
		});
	}

	/** Address at which callers reach the node. */
	get callerAddress(): string {
		return this.#links.caller.address;
	}

	/** Until when the host's process or links were disturbed; infinite while they are. */
	get disturbedUntil(): number {
		return this.#disturbances > 0 ? Infinity : this.#disturbedAt;
	}

	/** Notes a disturbance. Returns what ends it. */
	disturb(): Teardown {
		this.#disturbances += 1;
		return () => {
			this.#disturbances -= 1;
			this.#disturbedAt = performance.now();
		};
	}

	async start(): Promise<void> {
		await this.startWorker();
		this.process.start();
		this.#timer = setInterval(() => {
			void this.#announce();
		}, announceIntervalMs);
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		await this.process.kill();
		await this.stopWorker();
		for (const link of Object.values(this.#links)) {
			link.close();
		}
	}

	setLink(purpose: LinkPurpose, behaviour: LinkBehaviour): void {
		if (purpose === 'datagrams') {
			this.#plan.relay.behave(this.#plan.index, behaviour);
		} else {
			this.#links[purpose].behave(behaviour);
		}
	}

	/** Brings a fault over the worker for a time; afterwards a worker serves here again. */
	async failWorker(fault: WorkerFault, forMs: number): Promise<void> {
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
		if (!this.#isWorkerUp) {
			this.#isWorkerUp = true;
			this.#workerLife += 1;
			this.#isLeaving = false;
			this.#links.worker.aim(await this.#worker.start(this.#workerLife));
		}
	}

	async stopWorker(): Promise<void> {
		if (this.#isWorkerUp) {
			this.#isWorkerUp = false;
			await this.#worker.stop();
		}
	}

	/** Says that the worker leaves until the node acknowledges it, then stays for what comes late. */
	async #leave(): Promise<void> {
		this.#isLeaving = true;
		const {instance} = this.#worker;
		for (let attempt = 0; attempt < leaveAttempts; attempt++) {
			if (await this.#announce()) {
				this.#plan.watch.onLeaving(instance, performance.now() + leaveBoundMs);
				break;
			}

			await delay(announceIntervalMs);
		}

		await delay(leaveBoundMs);
	}

	async #announce(): Promise<boolean> {
		if (!this.#isWorkerUp) {
			return false;
		}

		const {announcements} = this.#plan.addresses;
		return this.#worker.announce(announcements, this.#links.worker.address, this.#isLeaving);
	}

	#run(run: SeenRun, reply: RunReply): void {
		const now = performance.now();
		const isHeldUp = now - this.disturbedUntil < heldUpMs;
		this.#plan.watch.onRun({...run, isHeldUp}, now);
		const answer = () => {
			reply.send(answerOf(run.id, this.service));
		};

		switch (this.#workerFault) {
			case 'hang': {
				break;
			}

			case 'drop-answers': {
				setTimeout(reply.drop, usualRunMs);
				break;
			}

			case 'slow': {
				setTimeout(answer, slowRunMs);
				break;
			}

			case 'crash':
			case 'leave':
			case undefined: {
				setTimeout(answer, usualRunMs);
				break;
			}
		}
	}
}

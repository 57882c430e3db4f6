import process from 'node:process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {
	counterPath,
	faultPath,
	type PlatformCounters,
	type PlatformFault,
} from 'redwingmill-platform';
import {invariant} from 'redwingmill-shared';
import {BenchError} from '../errors.js';
import {behaviourPath, type WorkerBehaviour, type WorkerPlan} from '../worker/worker-plan.js';
import {ChildProcesses, stopChild, type Child} from './child-processes.js';
import {findFreeAddresses} from './free-ports.js';
import {type MeshPlan} from './mesh-plan.js';
import {processorSecondsOf} from './processor-seconds.js';
import {VersionObserver} from './version-observer.js';

/** A node and the worker beside it; addresses are `ip:port`. */
export type Host = {
	readonly dataCentre: string;
	readonly service: string;
	readonly proxy: string;
	readonly gate: string;
	readonly control: string;
	readonly operators: string;
	readonly worker: string;
	readonly settingsFile: string;
};

/** Exit code and standard output of the operators' command-line tool. */
export type ToolResult = {
	readonly code: number;
	readonly output: string;
};

const scripts = {
	node: createRequire(import.meta.url)
		.resolve('redwingmill-node')
		.replace(/index\.js$/v, 'main.js'),
	tool: createRequire(import.meta.url)
		.resolve('redwingmill-ctl')
		.replace(/index\.js$/v, 'main.js'),
	bareProxy: fileURLToPath(new URL('../worker/bare-proxy.js', import.meta.url)),
	worker: fileURLToPath(new URL('../worker/main.js', import.meta.url)),
	platform: fileURLToPath(new URL('platform-main.js', import.meta.url)),
};
const addressesPerHost = 5;
const nodeOptions = ['--max-semi-space-size=2'];
const versionActivatedEvent = 202;
const pollIntervalMs = 20;
const scrapeIntervalMs = 250;
const waitTimeoutMs = 60_000;
const pageBytes = 4096;

/** Runs a mesh of real node processes on loopback, with stand-ins for the platform and workers. */
export class Mesh {
	readonly plan: MeshPlan;
	readonly versions = new VersionObserver();
	/** Number of runs by call id, as reported by the workers. */
	readonly runs = new Map<string, number>();
	readonly #children = new ChildProcesses();
	readonly #nodes = new Map<Host, Child>();
	readonly #workers = new Map<Host, Child>();
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-'));
	#hosts: readonly Host[] = [];
	#platform = '';

	readonly #removeFolder: () => void;

	constructor(plan: MeshPlan) {
		this.plan = plan;
		this.#removeFolder = () => {
			rmSync(this.#folder, {recursive: true, force: true});
		};

		process.once('exit', this.#removeFolder);
	}

	get hosts(): readonly Host[] {
		return this.#hosts;
	}

	get platform(): string {
		return this.#platform;
	}

	/** Starts the platform, all nodes and all workers. */
	async start(): Promise<void> {
		const {dataCentres, servicesPerDataCentre} = this.plan;
		const count = dataCentres.length * servicesPerDataCentre.length;
		const [platform, ...addresses] = await findFreeAddresses(1 + count * addressesPerHost);
		this.#platform = platform;
		await this.#startPlatform();
		this.#hosts = dataCentres.flatMap((dataCentre, index) =>
			servicesPerDataCentre.map((service, position) => {
				const first = (index * servicesPerDataCentre.length + position) * addressesPerHost;
				const hostAddresses = addresses.slice(first, first + addressesPerHost);
				return this.#newHost(dataCentre, service, hostAddresses);
			}),
		);
		for (const host of this.#hosts) {
			this.#writeSettings(host);
			this.startNode(host);
		}

		this.#startWorkers();
	}

	startNode(host: Host): void {
		const child = this.#children.start({
			name: `node ${host.control}`,
			script: scripts.node,
			arguments: ['--settings', host.settingsFile],
			nodeOptions,
			onLine: (line) => {
				this.#onNodeLine(host, line);
			},
		});
		this.#nodes.set(host, child);
	}

	startWorker(host: Host): void {
		this.#workers.set(host, this.#spawnWorkers([host]));
	}

	/** Starts two bare proxies in front of `target`, chained; returns the address of the first. */
	async startBareProxies(target: string): Promise<string> {
		const [first, second] = await findFreeAddresses(2);
		for (const [address, next] of [
			[second, target],
			[first, second],
		]) {
			this.#children.start({
				name: 'bare proxy',
				script: scripts.bareProxy,
				arguments: [address, next],
				nodeOptions,
			});
		}

		await this.waitUntil('the bare proxies', async () => isAnswering(first));
		return first;
	}

	/** Kills a node with SIGKILL. */
	killNode(host: Host): void {
		this.#nodes.get(host)?.process.kill('SIGKILL');
	}

	/** Pauses or resumes the process of a node. */
	signalNode(host: Host, signal: 'SIGSTOP' | 'SIGCONT'): void {
		this.#nodes.get(host)?.process.kill(signal);
	}

	killWorker(host: Host): void {
		this.#workers.get(host)?.process.kill('SIGKILL');
	}

	/** Stops a node gracefully with SIGTERM; returns its exit code. */
	async stopNode(host: Host): Promise<number | undefined> {
		const child = this.#nodes.get(host);
		return child && stopChild(child);
	}

	async setBehaviour(host: Host, behaviour: Partial<WorkerBehaviour>): Promise<void> {
		const body = JSON.stringify(behaviour);
		const response = await request(`http://${host.worker}${behaviourPath}`, {method: 'PUT', body});
		await response.body.dump();
	}

	async setFault(fault: Partial<PlatformFault>): Promise<void> {
		const body = JSON.stringify(fault);
		const response = await request(`http://${this.#platform}${faultPath}`, {method: 'PUT', body});
		await response.body.dump();
	}

	async platformCounters(): Promise<PlatformCounters> {
		const {body} = await request(`http://${this.#platform}${counterPath}`);
		return (await body.json()) as PlatformCounters;
	}

	/** Runs the operators' tool against this mesh's platform. */
	async runTool(...toolArguments: readonly string[]): Promise<ToolResult> {
		const lines: string[] = [];
		const child = this.#children.start({
			name: 'tool',
			script: scripts.tool,
			arguments: [...toolArguments, '--platform', this.#platform],
			onLine(line) {
				lines.push(line);
			},
		});
		const code = await new Promise<number>((resolve) => {
			child.process.once('close', (exitCode: number | undefined) => {
				resolve(exitCode ?? 1);
			});
		});
		return {code, output: lines.join('\n')};
	}

	/** Writes a text to a file in the mesh's temporary folder and returns the file's path. */
	writeText(name: string, text: string): string {
		const file = path.join(this.#folder, name);
		writeFileSync(file, text);
		return file;
	}

	/** Polls until a condition holds. Throws {@link BenchError} after a minute. */
	async waitUntil(
		description: string,
		condition: () => boolean | Promise<boolean>,
		intervalMs = pollIntervalMs,
	): Promise<void> {
		const timeoutAt = performance.now() + waitTimeoutMs;
		while (!(await condition())) {
			if (performance.now() > timeoutAt) {
				throw new BenchError(`Timed out waiting for ${description}`);
			}

			await delay(intervalMs);
		}
	}

	/** Waits until all of `hosts` have had `version` or a newer one in force. */
	async waitForVersion(version: number, hosts = this.#hosts): Promise<void> {
		const nodes = hosts.map((host) => host.control);
		await this.waitUntil(
			`version ${version} on ${nodes.length} nodes`,
			() => this.versions.countAtLeast(nodes, version) === nodes.length,
		);
	}

	/** Waits until a node holds exactly `count` ready endpoints. */
	async waitForEndpoints(host: Host, count: number): Promise<void> {
		await this.waitUntil(
			`${count} endpoints at ${host.control}`,
			async () => (await this.metric(host, 'redwingmill_endpoints')) === count,
			// Frequent scraping of many nodes would distort the measured load.
			scrapeIntervalMs,
		);
	}

	/** Reads a metric of a node; undefined if the node doesn't answer or doesn't expose it. */
	async metric(host: Host, name: string): Promise<number | undefined> {
		try {
			const {body} = await request(`http://${host.operators}/metrics`);
			const text = await body.text();
			const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
			return line === undefined ? undefined : Number(line.split(' ')[1]);
		} catch {
			return undefined;
		}
	}

	/** Returns the processor time that a node has used since its start, in seconds. */
	processorSeconds(host: Host): number {
		return processorSecondsOf(this.#pidOf(host));
	}

	/** Returns the resident memory of a node, in bytes. */
	residentBytes(host: Host): number {
		return Number(this.#procFile(host, 'statm').split(' ')[1]) * pageBytes;
	}

	/** Stops all nodes gracefully, kills the other processes and removes the temporary folder. */
	async stop(): Promise<void> {
		await Promise.all([...this.#nodes.values()].map(async (child) => stopChild(child)));
		this.#children.close();
		this.#removeFolder();
		process.removeListener('exit', this.#removeFolder);
	}

	#procFile(host: Host, name: string): string {
		return readFileSync(`/proc/${this.#pidOf(host)}/${name}`, 'utf8');
	}

	#pidOf(host: Host): number {
		const pid = this.#nodes.get(host)?.process.pid;
		invariant(pid, `Host ${host.control} has no running node`);
		return pid;
	}

	async #startPlatform(): Promise<void> {
		let isListening = false;
		this.#children.start({
			name: 'platform',
			script: scripts.platform,
			arguments: [this.#platform],
			onLine() {
				isListening = true;
			},
		});
		await this.waitUntil('the platform', () => isListening);
	}

	#newHost(dataCentre: string, service: string, addresses: readonly string[]): Host {
		const [proxy, gate, control, operators, worker] = addresses;
		const settingsFile = path.join(this.#folder, `${control.replace(':', '-')}.jsonc`);
		return {dataCentre, service, proxy, gate, control, operators, worker, settingsFile};
	}

	#writeSettings(host: Host): void {
		const {dataCentre, proxy, gate, control, operators} = host;
		const seeds = this.#hosts
			.filter((other) => other.dataCentre === dataCentre && other !== host)
			.slice(0, 2)
			.map((other) => other.control);
		const {distributionIntervalMs, sendsWholeTables, calls} = this.plan;
		const settings = {
			dataCentre,
			addresses: {proxy, gate, control, operators},
			platform: this.#platform,
			seeds,
			calls,
			control: {distributionIntervalMs, sendsWholeTables},
		};
		writeFileSync(host.settingsFile, JSON.stringify(settings));
	}

	#startWorkers(): void {
		const hosts = this.#hosts.filter((host) => host.service !== '');
		if (this.plan.hasSeparateWorkerProcesses) {
			for (const host of hosts) {
				this.startWorker(host);
			}

			return;
		}

		const sharedProcess = hosts.length > 0 ? this.#spawnWorkers(hosts) : undefined;
		for (const host of hosts) {
			if (sharedProcess) {
				this.#workers.set(host, sharedProcess);
			}
		}
	}

	#spawnWorkers(hosts: readonly Host[]): Child {
		const {slots, serviceMs, coldStartMs} = this.plan;
		const plans = hosts.map(({service, worker, operators, proxy}): WorkerPlan => ({
			service,
			address: worker,
			operators,
			proxy,
			slots,
			serviceMs,
			coldStartMs,
		}));
		return this.#children.start({
			name: 'worker',
			script: scripts.worker,
			arguments: [JSON.stringify(plans)],
			onLine: (line) => {
				const callId = line.slice('run '.length);
				this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
			},
		});
	}

	#onNodeLine(host: Host, line: string): void {
		if (!line.includes(`"event":${versionActivatedEvent}`)) {
			if (process.env.REDWINGMILL_BENCH_LOG) {
				process.stderr.write(`${line}\n`);
			}

			return;
		}

		const {version, timestamp} = JSON.parse(line) as {
			version: {number: number};
			timestamp: string;
		};
		this.versions.record({
			node: host.control,
			version: version.number,
			at: Date.parse(timestamp),
		});
	}
}

async function isAnswering(address: string): Promise<boolean> {
	try {
		const {body} = await request(`http://${address}/coding/list`);
		await body.dump();
		return true;
	} catch {
		return false;
	}
}

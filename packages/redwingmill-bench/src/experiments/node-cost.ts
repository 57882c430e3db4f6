import {spawn} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {Agent, request as send, type RequestOptions} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {type SoakDeployment, type SoakRoute, type SoakStore} from 'redwingmill-soak';
import {quantilesOf} from '../load/quantiles.js';
import {startMeasuredNode, statusOf, waitUntil, type MeasuredNode} from '../mesh/measured-node.js';
import {PeerCrowd} from '../mesh/peer-crowd.js';
import {processorSecondsOf} from '../mesh/processor-seconds.js';

/** Options of {@link measureNodeCost}. */
export type NodeCostOptions = {
	/** Script of the node program. */
	readonly program: string;
	/** Options of the JavaScript runtime, as deployed. */
	readonly flags: readonly string[];
	/** Numbers of other nodes at which the cost of a node at rest is measured. */
	readonly meshSizes: readonly number[];
	readonly restSeconds: number;
	/** Folder for profiles of the processor time at rest and under calls; absent for none. */
	readonly profileFolder?: string;
};

/** Processor time of one node, in milliseconds. */
export type NodeCost = {
	readonly startMs: number;
	/** Milliseconds for each second at rest, by the number of other nodes. */
	readonly restMsPerSecond: Readonly<Record<string, number>>;
	/** The same for a watcher, which sends digests to its data centre. */
	readonly watcherRestMsPerSecond: Readonly<Record<string, number>>;
	/** Milliseconds for each change of a configuration with {@link routeCount} routes. */
	readonly changeMs: number;
	/** Milliseconds for each call, by how many calls the processes had served before. */
	readonly callMs: readonly CallCost[];
};

type CallCost = {
	readonly after: number;
	readonly entryMs: number;
	readonly gateMs: number;
	readonly bareProxyMs: number;
	/** At an entry that refuses the call before any gate is asked. */
	readonly refusalMs: number;
};

const msPerSecond = 1000;
const startCount = 5;
const routeCount = 1200;
const changeCount = 20;
const changeIntervalMs = 250;
/** Time after which a node has discovered the others and its start-up work is over. */
const settleMs = 4000;
const callersAtOnce = 4;
/** Begin and length of each measured series of calls, in calls. */
const callSeries = [
	{after: 0, length: 100},
	{after: 100, length: 900},
	{after: 10_000, length: 2000},
] as const;
const services = ['first', 'second', 'third'] as const;
/** Service of the measured calls, and one without a replica, whose calls the entry refuses. */
const destinations = {served: 'second', refused: 'third'} as const;
const servedStatus = 200;
const dataCentres = ['dc-a', 'dc-b', 'dc-c', 'dc-d', 'dc-e'] as const;
const runMs = 2;
const ownLinkMbps = 100;
const widerLinkMbps = 1000;
const narrowerLinkMbps = 10;
const bareProxyScript = fileURLToPath(new URL('../worker/bare-proxy.js', import.meta.url));

/** Measures the processor time that the deployed program uses for each of its tasks. */
export async function measureNodeCost(
	deployment: SoakDeployment,
	options: NodeCostOptions,
): Promise<NodeCost> {
	const bench = new CostBench(deployment, options);
	await bench.open();
	try {
		return {
			startMs: await bench.measureStart(),
			restMsPerSecond: await bench.measureRest(widerLinkMbps),
			watcherRestMsPerSecond: await bench.measureRest(narrowerLinkMbps),
			changeMs: await bench.measureChange(),
			callMs: await bench.measureCalls(),
		};
	} finally {
		await bench.close();
	}
}

class CostBench {
	readonly #deployment: SoakDeployment;
	readonly #options: NodeCostOptions;
	readonly #store: SoakStore;
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-cost-'));
	#storeAddress = '';
	#version = 0;
	#nodeCount = 0;
	#callCount = 0;

	constructor(deployment: SoakDeployment, options: NodeCostOptions) {
		this.#deployment = deployment;
		this.#options = options;
		this.#store = deployment.createStore();
	}

	async open(): Promise<void> {
		this.#storeAddress = await this.#store.listen();
		this.#writeNextVersion();
	}

	async close(): Promise<void> {
		await this.#store.close();
	}

	/** Returns the median processor time from the start of a process until it is ready. */
	async measureStart(): Promise<number> {
		const times: number[] = [];
		for (let index = 0; index < startCount; index++) {
			const node = await this.#startNode('first');
			times.push(processorSecondsOf(node.pid) * msPerSecond);
			await node.close();
		}

		return quantilesOf(times, 1).p50;
	}

	/** @param linkMbps - of the other nodes; the node under test has {@link ownLinkMbps}. */
	async measureRest(linkMbps: number): Promise<Record<string, number>> {
		const {meshSizes, restSeconds} = this.#options;
		const results: Record<string, number> = {};
		for (const nodes of meshSizes) {
			const node = await this.#startNode('first', `rest-${nodes}-${linkMbps}`);
			const crowd = new PeerCrowd({
				nodes,
				dataCentres,
				services,
				version: this.#version,
				target: node.addresses.control,
				linkMbps,
			});
			await crowd.start();
			await delay(settleMs);
			const before = processorSecondsOf(node.pid);
			await delay(restSeconds * msPerSecond);
			const used = processorSecondsOf(node.pid) - before;
			results[nodes] = round((used * msPerSecond) / restSeconds);
			crowd.close();
			await node.close();
		}

		return results;
	}

	async measureChange(): Promise<number> {
		const node = await this.#startNode('first', 'change');
		await delay(settleMs);
		const restBefore = processorSecondsOf(node.pid);
		await delay(changeCount * changeIntervalMs);
		const before = processorSecondsOf(node.pid);
		for (let index = 0; index < changeCount; index++) {
			this.#writeNextVersion();
			await delay(changeIntervalMs);
		}

		const used = processorSecondsOf(node.pid) - before - (before - restBefore);
		await node.close();
		return round((used * msPerSecond) / changeCount);
	}

	/** Measures calls that one node takes from callers and another one passes to its worker. */
	async measureCalls(): Promise<readonly CallCost[]> {
		const entry = await this.#startNode('first', 'entry');
		const gate = await this.#startNode(destinations.served, 'gate');
		await waitUntil(async () => (await this.#call(entry.addresses.proxy)) === servedStatus);
		this.#callCount = 0;
		const [proxyHost] = gate.addresses.proxy.split(':');
		const {proxy: proxyAddress} = await this.#deployment.allocateAddresses();
		const proxy = spawn(process.execPath, [bareProxyScript, proxyAddress, entry.addresses.ready], {
			stdio: 'ignore',
		});
		await waitUntil(async () => (await statusOf(proxyAddress)) !== undefined);
		const costs: CallCost[] = [];
		for (const {after, length} of callSeries) {
			await this.#callMany(entry.addresses.proxy, after - this.#callCount);
			const {proxy: entryAddress} = entry.addresses;
			const [entryMs, gateMs] = await msPerCall([entry.pid, gate.pid], length, async () => {
				await this.#callMany(entryAddress, length);
			});
			const [bareProxyMs] = await msPerCall([proxy.pid ?? 0], length, async () => {
				await callProxy(proxyAddress, length, proxyHost);
			});
			const served = this.#callCount;
			const [refusalMs] = await msPerCall([entry.pid], length, async () => {
				await this.#callMany(entryAddress, length, destinations.refused);
			});
			this.#callCount = served;
			costs.push({after, entryMs, gateMs, bareProxyMs, refusalMs});
		}

		proxy.kill('SIGKILL');
		await entry.close();
		await gate.close();
		return costs;
	}

	async #startNode(service: string, profileName?: string): Promise<MeasuredNode> {
		const {flags, program, profileFolder} = this.#options;
		this.#nodeCount += 1;
		return startMeasuredNode({
			deployment: this.#deployment,
			program,
			flags,
			profileFolder:
				profileFolder === undefined || profileName === undefined
					? undefined
					: path.join(profileFolder, profileName),
			settingsFile: path.join(this.#folder, `node-${this.#nodeCount}.jsonc`),
			dataCentre: dataCentres[0],
			service,
			storeAddress: this.#storeAddress,
			linkMbps: ownLinkMbps,
			runMs,
		});
	}

	/** Writes a version that differs from the one before in a single route. */
	#writeNextVersion(): void {
		this.#version += 1;
		const routes = Array.from({length: routeCount}, (_, index): SoakRoute => {
			const isChanged = index === this.#version % routeCount;
			return {
				name: `route-${index}`,
				path: index < services.length ? `/${services[index]}/` : `/path-${index}/`,
				service: services[index % services.length],
				isIdempotent: true,
				timeoutMs: isChanged ? 2000 + this.#version : 2000,
			};
		});
		this.#store.write(this.#version, routes);
	}

	async #callMany(
		address: string,
		count: number,
		destination: string = destinations.served,
	): Promise<void> {
		let remaining = count;
		const agent = new Agent({keepAlive: true, maxSockets: callersAtOnce});
		await Promise.all(
			Array.from({length: callersAtOnce}, async () => {
				while (remaining > 0) {
					remaining -= 1;
					await this.#call(address, agent, destination);
				}
			}),
		);
		agent.destroy();
	}

	async #call(
		address: string,
		agent?: Agent,
		destination: string = destinations.served,
	): Promise<number | undefined> {
		this.#callCount += 1;
		const {hostName, headersOf} = this.#deployment;
		const [hostname, port] = address.split(':');
		const headers = {host: hostName, ...headersOf(`call-${this.#callCount}`, 2000)};
		return exchange({hostname, port, agent, path: `/${destination}/${this.#callCount}`, headers});
	}
}

/** Returns the processor time that processes spend on each of some calls, in milliseconds. */
async function msPerCall(
	pids: readonly number[],
	calls: number,
	makeCalls: () => Promise<void>,
): Promise<readonly number[]> {
	const before = pids.map((pid) => processorSecondsOf(pid));
	await makeCalls();
	return pids.map((pid, index) =>
		round(((processorSecondsOf(pid) - before[index]) * msPerSecond) / calls),
	);
}

async function callProxy(address: string, count: number, hostHeader: string): Promise<void> {
	const [hostname, port] = address.split(':');
	const agent = new Agent({keepAlive: true, maxSockets: callersAtOnce});
	let remaining = count;
	await Promise.all(
		Array.from({length: callersAtOnce}, async () => {
			while (remaining > 0) {
				remaining -= 1;
				await exchange({hostname, port, agent, path: '/', headers: {host: hostHeader}});
			}
		}),
	);
	agent.destroy();
}

/** Sends a request and reads the whole response. Returns its status, or undefined if it failed. */
async function exchange(options: RequestOptions): Promise<number | undefined> {
	return new Promise((resolve) => {
		const request = send(options, (response) => {
			response.resume();
			response.once('close', () => {
				resolve(response.complete ? response.statusCode : undefined);
			});
		});
		request.once('error', () => {
			resolve(undefined);
		});
		request.end();
	});
}

function round(value: number): number {
	return Number(value.toFixed(3));
}

import {setTimeout as delay} from 'node:timers/promises';
import {type Host, type Mesh} from '../mesh/mesh.js';
import {quantilesOf} from '../load/quantiles.js';

/** Resource usage of the nodes of a mesh, and their load on the platform, during a period. */
export type NodeUsage = {
	readonly seconds: number;
	readonly bytesPerNodePerSecond: number;
	/** Control bytes per second of the node with the most control traffic. */
	readonly mostBytesPerSecond: number;
	/** Processor usage per node, in percent of a core. */
	readonly processorPercent: {readonly p50: number; readonly max: number};
	readonly residentMegabytes: {readonly p50: number; readonly max: number};
	/** Highest processor usage of a relay, in percent of a core. */
	readonly relayProcessorPercent: number;
	/** Largest resident memory of a relay. */
	readonly relayMegabytes: number;
	readonly platformReadsPerSecond: number;
	readonly platformWritesPerSecond: number;
	/** Watches open at the end of the period. */
	readonly platformWatches: number;
};

type Sample = {
	readonly host: Host;
	readonly bytes: number;
	readonly processorSeconds: number;
	readonly isRelay: boolean;
};

const megabyte = 1024 * 1024;
const percent = 100;

/** Measures the resource usage of a mesh while `workload` runs. */
export async function measureUsage(mesh: Mesh, workload: () => Promise<void>): Promise<NodeUsage> {
	const before = await sampleAll(mesh);
	const platformBefore = await mesh.platformCounters();
	const startedAt = performance.now();
	await workload();
	const seconds = (performance.now() - startedAt) / 1000;
	const platform = await mesh.platformCounters();
	const after = await sampleAll(mesh);
	const bytes = after.map((sample, index) => (sample.bytes - before[index].bytes) / seconds);
	const processor = after.map(
		(sample, index) =>
			((sample.processorSeconds - before[index].processorSeconds) / seconds) * percent,
	);
	const memory = after.map(({host}) => mesh.residentBytes(host) / megabyte);
	const relays = after.flatMap((sample, index) => (sample.isRelay ? [index] : []));
	return {
		seconds: round(seconds, 1),
		bytesPerNodePerSecond: Math.round(meanOf(bytes)),
		mostBytesPerSecond: Math.round(Math.max(...bytes)),
		processorPercent: medianAndMaximum(processor, 2),
		residentMegabytes: medianAndMaximum(memory, 1),
		relayProcessorPercent: round(Math.max(0, ...relays.map((index) => processor[index])), 2),
		relayMegabytes: round(Math.max(0, ...relays.map((index) => memory[index])), 1),
		platformReadsPerSecond: round((platform.reads - platformBefore.reads) / seconds, 2),
		platformWritesPerSecond: round((platform.writes - platformBefore.writes) / seconds, 2),
		platformWatches: platform.watches,
	};
}

/** Measures the resource usage of an idle mesh. */
export async function measureIdleUsage(mesh: Mesh, durationMs: number): Promise<NodeUsage> {
	return measureUsage(mesh, async () => {
		await delay(durationMs);
	});
}

async function sampleAll(mesh: Mesh): Promise<Sample[]> {
	return Promise.all(
		mesh.hosts.map(async (host) => {
			const bytes = (await mesh.metric(host, 'redwingmill_control_bytes')) ?? 0;
			const isRelay = (await mesh.metric(host, 'redwingmill_is_relay')) === 1;
			return {host, bytes, processorSeconds: mesh.processorSeconds(host), isRelay};
		}),
	);
}

function medianAndMaximum(values: readonly number[], digits: number) {
	const {p50, max} = quantilesOf(values, digits);
	return {p50, max};
}

function meanOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / Math.max(1, values.length);
}

function round(value: number, digits: number): number {
	return Number(value.toFixed(digits));
}

import {setTimeout as delay} from 'node:timers/promises';
import {Caller} from '../load/caller.js';
import {quantilesOf} from '../load/quantiles.js';
import {type Mesh} from '../mesh/mesh.js';
import {startBenchMesh, type ConvergencePlan} from './convergence.js';
import {fitLine, type Point} from './linear-fit.js';
import {measureIdleUsage, measureUsage, type NodeUsage} from './node-usage.js';
import {type ChangeDriver} from './change-driver.js';

/** Measurements of a mesh of one size. */
export type SizeFigures = {
	readonly dataCentres: number;
	readonly nodes: number;
	readonly textBytes: number;
	readonly convergenceMs: {readonly p50: number; readonly max: number};
	/** Usage of the idle mesh. */
	readonly rest: NodeUsage;
	/** Usage while the configuration changes. */
	readonly changing: NodeUsage;
	readonly bytesPerNodePerChange: number;
	readonly relayBytesPerChange: number;
	readonly bytesPerNodePerEndpointChange: number;
	readonly platformReadsPerChange: number;
	readonly platformWritesPerChange: number;
	/** Control bytes beyond those at rest, from a node's start until it holds all endpoints. */
	readonly registrationBytes: number;
};

/** Measurements at one rate of calls; processor usage is in percent of a core. */
export type CallFigures = {
	readonly callsPerSecond: number;
	readonly entryProcessorPercent: number;
	readonly entryMegabytes: number;
	readonly gateProcessorPercent: number;
};

const settleMs = 6000;
const idleMs = 8000;
const changes = 5;
const endpointChanges = 20;
const callDurationMs = 5000;
const callRates = [50, 100, 200, 400] as const;
const basePlan: ConvergencePlan = {
	dataCentres: 1,
	nodesPerDataCentre: 3,
	changes,
	churnPerSecond: 1,
	distributionIntervalMs: 100,
	sendsWholeTables: false,
	hasFailures: false,
	routes: 40,
};

/**
 * Sizes that vary by nodes per data centre, up to a data centre of the target size, then by data
 * centres, then by the length of the configuration text.
 */
const sizes: ReadonlyArray<Partial<ConvergencePlan>> = [
	{nodesPerDataCentre: 12},
	{nodesPerDataCentre: 30},
	{nodesPerDataCentre: 60},
	{nodesPerDataCentre: 117},
	{dataCentres: 2, nodesPerDataCentre: 4},
	{dataCentres: 4, nodesPerDataCentre: 4},
	{dataCentres: 8, nodesPerDataCentre: 4},
	{dataCentres: 12, nodesPerDataCentre: 4},
	{nodesPerDataCentre: 6, routes: 10},
	{nodesPerDataCentre: 6, routes: 100},
	{nodesPerDataCentre: 6, routes: 400},
	{nodesPerDataCentre: 6, routes: 1600},
];

/** Measures all sizes and fits lines to the results; `print` receives progress messages. */
export async function measureCapacity(print: (line: string) => void) {
	const figures: SizeFigures[] = [];
	for (const size of sizes) {
		const plan = {...basePlan, ...size};
		const row = await measureSize(plan);
		print(
			`measured ${row.dataCentres} × ${plan.nodesPerDataCentre} nodes, ${row.textBytes} B of text`,
		);
		figures.push(row);
	}

	const calls = await measureCallRates();
	return {figures, calls, slopes: slopesOf(figures, calls)};
}

async function measureSize(plan: ConvergencePlan): Promise<SizeFigures> {
	const {mesh, driver} = await startBenchMesh(plan);
	await delay(settleMs);
	const rest = await measureIdleUsage(mesh, idleMs);
	const times: number[] = [];
	const before = await mesh.platformCounters();
	const changing = await measureUsage(mesh, async () => {
		for (let change = 0; change < changes; change++) {
			times.push(await driver.change());
		}
	});
	const after = await mesh.platformCounters();
	const churning = await measureUsage(mesh, async () => changeEndpoints(mesh));
	const registrationBytes = await measureRegistration(mesh, driver, rest);
	await driver.close();
	await mesh.stop();
	const extraOf = (usage: NodeUsage, count: number) =>
		Math.round(
			((usage.bytesPerNodePerSecond - rest.bytesPerNodePerSecond) * usage.seconds) / count,
		);
	const {p50, max} = quantilesOf(times);
	const idlePlatformCalls = (perSecond: number) => perSecond * changing.seconds;
	return {
		dataCentres: plan.dataCentres,
		nodes: mesh.hosts.length,
		textBytes: driver.textBytes,
		convergenceMs: {p50, max},
		rest,
		changing,
		bytesPerNodePerChange: extraOf(changing, changes),
		relayBytesPerChange: Math.round(
			((changing.mostBytesPerSecond - rest.mostBytesPerSecond) * changing.seconds) / changes,
		),
		bytesPerNodePerEndpointChange: extraOf(churning, endpointChanges),
		platformReadsPerChange: perChange(
			after.reads - before.reads - idlePlatformCalls(rest.platformReadsPerSecond),
		),
		platformWritesPerChange: perChange(
			after.writes - before.writes - idlePlatformCalls(rest.platformWritesPerSecond),
		),
		registrationBytes,
	};
}

async function changeEndpoints(mesh: Mesh): Promise<void> {
	const [host] = mesh.hosts;
	for (let change = 0; change < endpointChanges; change++) {
		await mesh.setBehaviour(host, {isDraining: change % 2 === 0});
		await delay(200);
	}
}

/**
 * Measures a node's control bytes, beyond those at rest, from its start until it holds the version
 * and all endpoints.
 */
async function measureRegistration(
	mesh: Mesh,
	driver: ChangeDriver,
	rest: NodeUsage,
): Promise<number> {
	const host = mesh.hosts.at(-1) ?? mesh.hosts[0];
	await mesh.stopNode(host);
	const startedAt = performance.now();
	mesh.startNode(host);
	await mesh.waitForVersion(driver.version, [host]);
	await mesh.waitForEndpoints(host, mesh.hosts.length);
	const seconds = (performance.now() - startedAt) / 1000;
	const bytes = (await mesh.metric(host, 'redwingmill_control_bytes')) ?? 0;
	return Math.max(0, Math.round(bytes - seconds * rest.bytesPerNodePerSecond));
}

async function measureCallRates(): Promise<CallFigures[]> {
	const {mesh, driver} = await startBenchMesh({...basePlan, nodesPerDataCentre: 3});
	const [gate, entry] = mesh.hosts;
	const rows: CallFigures[] = [];
	for (const callsPerSecond of callRates) {
		const before = [entry, gate].map((host) => mesh.processorSeconds(host));
		const caller = new Caller({
			entries: [entry.proxy],
			kinds: [{method: 'GET', path: '/coding/list', isIdempotent: true, hasTicket: false}],
			callsPerSecond,
			prefix: `rate-${callsPerSecond}`,
		});
		await caller.run(callDurationMs);
		const used = [entry, gate].map(
			(host, index) => ((mesh.processorSeconds(host) - before[index]) * 100_000) / callDurationMs,
		);
		rows.push({
			callsPerSecond,
			entryProcessorPercent: Number(used[0].toFixed(2)),
			gateProcessorPercent: Number(used[1].toFixed(2)),
			entryMegabytes: Number((mesh.residentBytes(entry) / 1024 / 1024).toFixed(1)),
		});
	}

	await driver.close();
	await mesh.stop();
	return rows;
}

/** Fits a line for each cost against the quantity that it grows with. */
export function slopesOf(figures: readonly SizeFigures[], calls: readonly CallFigures[]) {
	const byNodes = figures.filter(
		({dataCentres, textBytes}) => dataCentres === 1 && isBaseTextSize(textBytes),
	);
	const byDataCentres = figures.filter(({dataCentres}) => dataCentres > 1);
	const byText = figures.filter(({nodes, dataCentres}) => nodes === 6 && dataCentres === 1);
	const line = (
		rows: readonly SizeFigures[],
		x: (row: SizeFigures) => number,
		y: (row: SizeFigures) => number,
	) => fitLine(rows.map((row): Point => ({x: x(row), y: y(row)})));
	const nodesOf = ({nodes}: SizeFigures) => nodes;
	const dataCentresOf = ({dataCentres}: SizeFigures) => dataCentres;
	const textOf = ({textBytes}: SizeFigures) => textBytes;
	return {
		restBytesPerNode: line(byNodes, nodesOf, ({rest}) => rest.bytesPerNodePerSecond),
		relayBytesPerNode: line(byNodes, nodesOf, ({rest}) => rest.mostBytesPerSecond),
		relayProcessorPerNode: line(byNodes, nodesOf, ({rest}) => rest.relayProcessorPercent),
		relayMegabytesPerNode: line(byNodes, nodesOf, ({rest}) => rest.relayMegabytes),
		memberProcessorPerNode: line(byNodes, nodesOf, ({rest}) => rest.processorPercent.p50),
		memberMegabytesPerNode: line(byNodes, nodesOf, ({rest}) => rest.residentMegabytes.p50),
		convergencePerNode: line(byNodes, nodesOf, ({convergenceMs}) => convergenceMs.max),
		registrationBytesPerNode: line(byNodes, nodesOf, (row) => row.registrationBytes),
		relayBytesPerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			({rest}) => rest.mostBytesPerSecond,
		),
		relayChangeBytesPerNode: line(byNodes, nodesOf, (row) => row.relayBytesPerChange),
		relayChangeBytesPerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			(row) => row.relayBytesPerChange,
		),
		relayChangeBytesPerTextByte: line(byText, textOf, (row) => row.relayBytesPerChange),
		endpointChangeBytesPerNode: line(byNodes, nodesOf, (row) => row.bytesPerNodePerEndpointChange),
		convergencePerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			({convergenceMs}) => convergenceMs.max,
		),
		platformWritesPerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			({rest}) => rest.platformWritesPerSecond,
		),
		platformWatchesPerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			({rest}) => rest.platformWatches,
		),
		platformWritesPerChangePerDataCentre: line(
			byDataCentres,
			dataCentresOf,
			(row) => row.platformWritesPerChange,
		),
		changeBytesPerTextByte: line(byText, textOf, (row) => row.bytesPerNodePerChange),
		entryProcessorPerCall: fitLine(
			calls.map((row) => ({x: row.callsPerSecond, y: row.entryProcessorPercent})),
		),
		gateProcessorPerCall: fitLine(
			calls.map((row) => ({x: row.callsPerSecond, y: row.gateProcessorPercent})),
		),
	};
}

function isBaseTextSize(textBytes: number): boolean {
	return textBytes > 2000 && textBytes < 5000;
}

function perChange(count: number): number {
	return Number((count / changes).toFixed(1));
}

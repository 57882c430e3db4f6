import {type CallFigures, type SizeFigures, type slopesOf} from './capacity.js';
import {type LinearFit} from './linear-fit.js';

/** Output of the `capacity` command: measurements and the lines fitted to them. */
export type CapacityResult = {
	readonly figures: readonly SizeFigures[];
	readonly calls: readonly CallFigures[];
	readonly slopes: ReturnType<typeof slopesOf>;
};

/** Size, load and limits of the target deployment. */
const target = {
	nodes: 1400,
	dataCentres: 12,
	nodesPerDataCentre: 117,
	callsPerSecond: 220_000,
	changesPerDay: 4200,
	restartsPerDay: 216,
	textBytes: 6000,
	convergenceMs: 19_000,
	processorPercent: 1,
	megabytes: 128,
	bytesPerSecond: 9000,
	platformReadsPerSecond: 2000,
	platformWritesPerSecond: 300,
} as const;

const secondsPerDay = 86_400;
const endpointChangesPerRestart = 3;
const growthFactors = [1, 2, 4] as const;

type Row = {
	readonly limit: string;
	readonly bound: number;
	/** Predicted value at `factor` times the target's nodes per data centre. */
	readonly valueAt: (factor: number) => number;
	/** Design property that keeps the value low, or another remark. */
	readonly mechanism: string;
};

/** Formats the tables of the capacity page as Markdown, from the measurements alone. */
export function formatCapacityTables(result: CapacityResult): string {
	return [
		'### Limits at the target',
		limitTable(rowsOf(result)),
		'### Slopes',
		slopeTable(result.slopes),
		'### Raw figures by size',
		sizeTable(result.figures),
		'### Raw figures by calls per second',
		callTable(result.calls),
	].join('\n\n');
}

function rowsOf({figures, slopes, calls}: CapacityResult): Row[] {
	const nodesAt = (factor: number) => target.nodesPerDataCentre * factor;
	const at = (fit: LinearFit, x: number) => fit.intercept + fit.slope * x;
	const changesPerSecond = target.changesPerDay / secondsPerDay;
	const endpointChangesPerSecond =
		(target.restartsPerDay * endpointChangesPerRestart) / secondsPerDay;
	const otherDataCentres = target.dataCentres - 1;
	const targetDataCentre = figures.find(({nodes}) => nodes === target.nodesPerDataCentre);
	const memberBytes = targetDataCentre ? memberBytesOf(targetDataCentre) : 0;
	const extraBytesForText = (fit: LinearFit) =>
		fit.slope * (target.textBytes - baseTextBytesOf(figures));
	const relayChangeBytes = (factor: number) =>
		at(slopes.relayChangeBytesPerNode, nodesAt(factor)) +
		slopes.relayChangeBytesPerDataCentre.slope * otherDataCentres +
		extraBytesForText(slopes.relayChangeBytesPerTextByte);
	const perCall = slopes.entryProcessorPerCall.slope + slopes.gateProcessorPerCall.slope;
	const mostCalls = Math.max(...calls.map((row) => row.callsPerSecond));
	const callsPerNode = target.callsPerSecond / target.nodes;
	return [
		{
			limit: 'Member: control bytes/s',
			bound: target.bytesPerSecond,
			valueAt: () =>
				memberBytes +
				changesPerSecond * (targetDataCentre?.bytesPerNodePerChange ?? 0) +
				endpointChangesPerSecond * at(slopes.endpointChangeBytesPerNode, nodesAt(1)),
			mechanism: 'one link; differences; batches',
		},
		{
			limit: 'Relay: control bytes/s',
			bound: target.bytesPerSecond,
			valueAt: (factor) =>
				at(slopes.relayBytesPerNode, nodesAt(factor)) +
				slopes.relayBytesPerDataCentre.slope * otherDataCentres +
				changesPerSecond * relayChangeBytes(factor),
			mechanism: 'light heartbeats; proposals as differences',
		},
		{
			limit: 'Member: processor at rest, % of a core',
			bound: target.processorPercent,
			valueAt: (factor) => at(slopes.memberProcessorPerNode, nodesAt(factor)),
			mechanism: 'ticks on request',
		},
		{
			limit: 'Relay: processor at rest, % of a core',
			bound: target.processorPercent,
			valueAt: (factor) => at(slopes.relayProcessorPerNode, nodesAt(factor)),
			mechanism: 'light heartbeats',
		},
		{
			limit: 'Member: resident MB',
			bound: target.megabytes,
			valueAt: (factor) => at(slopes.memberMegabytesPerNode, nodesAt(factor)),
			mechanism: 'bounded tables, small young generation',
		},
		{
			limit: 'Relay: resident MB',
			bound: target.megabytes,
			valueAt: (factor) => at(slopes.relayMegabytesPerNode, nodesAt(factor)),
			mechanism: 'bounded queues per link',
		},
		{
			limit: 'Convergence, slowest change, ms',
			bound: target.convergenceMs,
			valueAt: (factor) =>
				at(slopes.convergencePerNode, nodesAt(factor)) +
				slopes.convergencePerDataCentre.slope * otherDataCentres,
			mechanism: 'relay per DC, two phases, first in rank at once',
		},
		{
			limit: 'Platform: writes/s at rest',
			bound: target.platformWritesPerSecond,
			valueAt: () => at(slopes.platformWritesPerDataCentre, target.dataCentres),
			mechanism: 'one heartbeat per DC',
		},
		{
			limit: 'Platform: standing watches (count as reads)',
			bound: target.platformReadsPerSecond,
			valueAt: () => at(slopes.platformWatchesPerDataCentre, target.dataCentres),
			mechanism: 'three per DC',
		},
		{
			limit: 'Platform: writes per change',
			bound: target.platformWritesPerSecond,
			valueAt: () => at(slopes.platformWritesPerChangePerDataCentre, target.dataCentres),
			mechanism: 'prepared and in force per DC, text, acceptance',
		},
		{
			limit: "Calls: % of a core for a node's share (no limit given)",
			bound: 100,
			valueAt: () => perCall * callsPerNode,
			mechanism: `measured up to ${mostCalls} calls/s`,
		},
	];
}

function limitTable(rows: readonly Row[]): string {
	const lines = rows.map(({limit, bound, valueAt, mechanism}) => {
		const values = growthFactors.map((factor) => valueAt(factor));
		const firstOver = values.findIndex((value) => value > bound);
		const conclusion = firstOver === -1 ? 'holds at ×4' : `over at ×${growthFactors[firstOver]}`;
		const percent = Math.round((values[0] / bound) * 100);
		return `| ${limit} | ${bound} | ${values.map((value) => formatNumber(value)).join(' | ')} | ${percent} % | ${conclusion} | ${mechanism} |`;
	});
	return [
		'| Limit | Bound | Worked out | Nodes ×2 | Nodes ×4 | Share | When it gives | Carried by |',
		'| --- | --- | --- | --- | --- | --- | --- | --- |',
		...lines,
	].join('\n');
}

function slopeTable(slopes: CapacityResult['slopes']): string {
	const lines = Object.entries(slopes).map(
		([name, {intercept, slope, largestResidual, explained}]) =>
			`| ${name} | ${formatNumber(intercept)} | ${formatNumber(slope)} | ${formatNumber(largestResidual)} | ${explained.toFixed(2)} |`,
	);
	return [
		'| Line | At 0 | Per unit | Largest residual | Share explained |',
		'| --- | --- | --- | --- | --- |',
		...lines,
	].join('\n');
}

function sizeTable(figures: readonly SizeFigures[]): string {
	const lines = figures.map((row) => {
		const cells = [
			row.dataCentres,
			row.nodes,
			row.textBytes,
			row.convergenceMs.p50,
			row.convergenceMs.max,
			row.rest.bytesPerNodePerSecond,
			row.rest.mostBytesPerSecond,
			row.rest.processorPercent.p50,
			row.rest.relayProcessorPercent,
			row.rest.residentMegabytes.p50,
			row.rest.relayMegabytes,
			row.bytesPerNodePerChange,
			row.relayBytesPerChange,
			row.registrationBytes,
		];
		return `| ${cells.join(' | ')} |`;
	});
	return [
		'| DCs | Nodes | Text B | p50 ms | Max ms | B/s node | B/s relay | CPU % | Relay CPU % | MB | Relay MB | B/change node | B/change relay | B/registration |',
		`|${' --- |'.repeat(14)}`,
		...lines,
	].join('\n');
}

function callTable(calls: readonly CallFigures[]): string {
	const lines = calls.map(
		(row) =>
			`| ${row.callsPerSecond} | ${row.entryProcessorPercent} | ${row.gateProcessorPercent} | ${row.entryMegabytes} |`,
	);
	return [
		'| Calls/s | Entry CPU % | Gate CPU % | Entry MB |',
		'| --- | --- | --- | --- |',
		...lines,
	].join('\n');
}

/** Computes the mean control bytes per second of the nodes that aren't relays. */
function memberBytesOf({nodes, dataCentres, rest}: SizeFigures): number {
	const total = rest.bytesPerNodePerSecond * nodes;
	return (total - rest.mostBytesPerSecond * dataCentres) / (nodes - dataCentres);
}

function baseTextBytesOf(figures: readonly SizeFigures[]): number {
	return figures[0].textBytes;
}

function formatNumber(value: number): string {
	return Math.abs(value) >= 100 ? String(Math.round(value)) : value.toFixed(2);
}

import {type QuotaComparison} from './compare-quotas.js';
import {type QuotaResult} from './quota-meter.js';

const nameWidth = 22;
const columnWidth = 12;

/** Returns a table of results; with a line for each workspace if `isDetailed`. */
export function plotQuotas(comparisons: readonly QuotaComparison[], isDetailed: boolean): string {
	const header = [
		'scheme'.padEnd(nameWidth),
		...['worst', 'over', 'owed', 'admitted', 'below quota', 'datagrams/s'].map((title) =>
			title.padStart(columnWidth),
		),
	].join('');
	const lines = comparisons.flatMap(({scheme, total, workspaces, messagesPerSecond}) => [
		lineOf(scheme, total) + messagesPerSecond.toFixed(0).padStart(columnWidth),
		...(isDetailed ? [...workspaces].map(([name, result]) => lineOf(`  ${name}`, result)) : []),
	]);
	return [header, ...lines].join('\n');
}

function lineOf(name: string, result: QuotaResult): string {
	const {worstWindow, over, owed, delivered, calm, calmAdmitted} = result;
	const cells = [
		worstWindow.toFixed(3),
		String(over),
		String(owed),
		(delivered / Math.max(1, owed)).toFixed(4),
		(calmAdmitted / Math.max(1, calm)).toFixed(4),
	];
	return name.padEnd(nameWidth) + cells.map((cell) => cell.padStart(columnWidth)).join('');
}

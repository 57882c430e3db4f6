import {type EvenLoadOutcome} from './even-load-plan.js';

/** Result of a policy under a load, over all seeds. */
export type EvenLoadRow = {
	readonly load: string;
	readonly policy: string;
	readonly outcome: EvenLoadOutcome;
};

const barWidth = 30;
const nameWidth = 24;
const percent = 100;
const columns = [
	['beside', ({queuesBesideFree}: EvenLoadOutcome) => `${toPercent(queuesBesideFree, 1)} %`],
	['late', ({late}: EvenLoadOutcome) => `${toPercent(late, 2)} %`],
	['refused', ({refused}: EvenLoadOutcome) => `${toPercent(refused, 2)} %`],
	['p50', ({p50Ms}: EvenLoadOutcome) => p50Ms.toFixed(0)],
	['p99', ({p99Ms}: EvenLoadOutcome) => p99Ms.toFixed(0)],
	['busiest', ({busiestOverMean}: EvenLoadOutcome) => busiestOverMean.toFixed(2)],
	['remote', ({remoteBytes}: EvenLoadOutcome) => `${remoteBytes.toFixed(0)} B`],
	['attempts', ({attempts}: EvenLoadOutcome) => attempts.toFixed(3)],
] as const;
const columnWidth = 9;

/**
 * Draws a bar for each load and policy, of `#` for the share of their time in which replicas queue while
 * another has a free slot, and the other figures beside it: times in milliseconds, busy share of the
 * busiest replica over the mean, bytes between data centres and attempts per call.
 */
export function plotEvenLoad(rows: readonly EvenLoadRow[]): string {
	const loads = [...new Set(rows.map(({load}) => load))];
	const head = columns.map(([name]) => name.padStart(columnWidth)).join('');
	return loads
		.map((load) => {
			const lines = rows.filter((row) => row.load === load).map((row) => lineOf(row));
			return `${load.padEnd(nameWidth + barWidth + 3)}${head}\n${lines.join('')}`;
		})
		.join('\n');
}

function lineOf({policy, outcome}: EvenLoadRow): string {
	const bar = '#'.repeat(Math.round(outcome.queuesBesideFree * barWidth)).padEnd(barWidth, '.');
	const values = columns.map(([, format]) => format(outcome).padStart(columnWidth)).join('');
	return `  ${policy.padEnd(nameWidth)} ${bar}${values}\n`;
}

function toPercent(share: number, decimals: number): string {
	return (share * percent).toFixed(decimals);
}

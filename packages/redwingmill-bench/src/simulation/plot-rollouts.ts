import {medianOf, type RolloutResult} from './compare-rollouts.js';

const nameWidth = 32;
const columnWidth = 12;
const percent = 100;
const columns = ['rollouts', 'completed', 'rolled back', 'in time', 'median', 'over bound', 'late'];

/**
 * Draws a table with a line for each scenario. "Median" is the time to a rollback as a share of the ordered
 * time, "late" the share of rollouts with calls too late after the 50th bad response.
 */
export function plotRollouts(results: readonly RolloutResult[]): string {
	const header = `${''.padEnd(nameWidth)}${columns.map((each) => each.padStart(columnWidth)).join('')}\n`;
	return `${header}${results.map((each) => plotResult(each)).join('')}${plotTotals(results)}`;
}

function plotResult(result: RolloutResult): string {
	const {isBad, completed, rolledBack, inTime, rollbackTimes, overExposed, late} = result;
	const cells = [
		String(result.rollouts),
		percentage(completed),
		percentage(rolledBack),
		percentage(inTime),
		percentage(medianOf(rollbackTimes)),
		isBad ? percentage(overExposed) : '-',
		isBad ? percentage(late) : '-',
	];
	return `${result.scenario.padEnd(nameWidth)}${cells.map((each) => each.padStart(columnWidth)).join('')}\n`;
}

function plotTotals(results: readonly RolloutResult[]): string {
	const bad = results.filter(({isBad}) => isBad);
	const good = results.filter(({isBad}) => !isBad);
	const times = bad.flatMap(({rollbackTimes}) => rollbackTimes).toSorted((a, b) => a - b);
	const facts = [
		`false completions ${percentage(mean(bad, ({completed}) => completed))}`,
		`false rollbacks ${percentage(mean(good, ({rolledBack}) => rolledBack))}`,
		`median time to a rollback of a bad one ${percentage(medianOf(times))}`,
		`bad ones over the bound ${percentage(mean(bad, ({overExposed}) => overExposed))}`,
		`good ones completed in time ${percentage(mean(good, ({inTime = 0}) => inTime))}`,
	];
	return `${facts.join(', ')}\n`;
}

/** Mean over the rollouts of all results. */
function mean(
	results: readonly RolloutResult[],
	valueOf: (result: RolloutResult) => number,
): number | undefined {
	let sum = 0;
	let rollouts = 0;
	for (const result of results) {
		sum += valueOf(result) * result.rollouts;
		rollouts += result.rollouts;
	}

	return rollouts === 0 ? undefined : sum / rollouts;
}

function percentage(share: number | undefined): string {
	return share === undefined ? '-' : `${(share * percent).toFixed(1)} %`;
}

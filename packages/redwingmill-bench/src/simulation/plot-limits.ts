import {type LimitComparison} from './compare-limits.js';

const barWidth = 40;
const nameWidth = 8;
const percent = 100;

/**
 * Draws a bar for each class and knowledge of limits: `#` for calls answered within their target, `+` for
 * calls answered late, `.` for calls that weren't served; and below, what became of the limits.
 */
export function plotLimits(comparisons: readonly LimitComparison[]): string {
	const names = Object.keys(comparisons[0]?.served ?? {});
	const classes = names.map(
		(name) => `${name}\n${comparisons.map((each) => plotClass(name, each)).join('')}`,
	);
	return `${classes.join('')}limits\n${comparisons.map((each) => describeLimits(each)).join('')}`;
}

function plotClass(name: string, {knowledge, inTarget, served}: LimitComparison): string {
	const inTargetWidth = Math.round(inTarget[name] * barWidth);
	const servedWidth = Math.round(served[name] * barWidth);
	const bar = `${'#'.repeat(inTargetWidth)}${'+'.repeat(servedWidth - inTargetWidth)}`;
	const share = Math.round(served[name] * percent);
	return `  ${knowledge.padEnd(nameWidth)} ${bar.padEnd(barWidth, '.')} ${share} % served\n`;
}

function describeLimits({knowledge, limits}: LimitComparison): string {
	const {usedShare, highestShare, over, afterLeaving, refusalMs} = limits;
	const facts = [
		`used ${Math.round(usedShare * percent)} %`,
		`fullest 4 s ${Math.round(highestShare * percent)} % of what is tolerated`,
		`${over} requests over it`,
		`${afterLeaving} after leaving`,
		`refused after ${refusalMs === undefined ? '-' : refusalMs.toFixed(1)} ms`,
	];
	return `  ${knowledge.padEnd(nameWidth)} ${facts.join(', ')}\n`;
}

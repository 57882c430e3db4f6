import {type PolicyResult} from './compare-policies.js';

const barWidth = 40;
const nameWidth = 14;
const percent = 100;

/**
 * Draws one bar for each class and policy: `#` for calls answered by their target, `+` for late ones,
 * `.` for those that weren't served.
 */
export function plotPolicies(results: readonly PolicyResult[]): string {
	const groups = [...new Set(results.map(({group}) => group))];
	return groups.map((group) => plotGroup(group, results)).join('\n');
}

function plotGroup(group: string, results: readonly PolicyResult[]): string {
	const lines = results
		.filter((result) => result.group === group)
		.map((result) => plotLine(result));
	return `${group}\n${lines.join('')}`;
}

function plotLine({policy, inTarget, late, unserved}: PolicyResult): string {
	const timely = Math.round(inTarget * barWidth);
	const served = Math.round((inTarget + late) * barWidth);
	const bar = `${'#'.repeat(timely)}${'+'.repeat(served - timely)}`.padEnd(barWidth, '.');
	const shares = [inTarget, late, unserved].map((share) => `${Math.round(share * percent)} %`);
	return `  ${policy.padEnd(nameWidth)} ${bar} ${shares.join(', ')}\n`;
}

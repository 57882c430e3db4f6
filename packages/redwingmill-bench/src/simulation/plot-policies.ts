import {type PolicyResult} from './compare-policies.js';

const barWidth = 40;
const nameWidth = 14;
const percent = 100;

/**
 * Draws a bar for each class and policy: `#` for calls answered within their target, `+` for calls
 * answered late, `.` for calls that weren't served.
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
	const inTargetWidth = Math.round(inTarget * barWidth);
	const servedWidth = Math.round((inTarget + late) * barWidth);
	const bar = `${'#'.repeat(inTargetWidth)}${'+'.repeat(servedWidth - inTargetWidth)}`.padEnd(
		barWidth,
		'.',
	);
	const shares = [inTarget, late, unserved].map((share) => `${Math.round(share * percent)} %`);
	return `  ${policy.padEnd(nameWidth)} ${bar} ${shares.join(', ')}\n`;
}

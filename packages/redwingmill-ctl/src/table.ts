/** Formats rows as left-aligned columns under a heading. */
export function formatTable(
	heading: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): string {
	const lines = [heading, ...rows];
	const widths = heading.map((_, column) =>
		Math.max(...lines.map((line) => (line[column] ?? '').length)),
	);
	return lines
		.map((line) =>
			line
				.map((cell, column) => cell.padEnd(widths[column]))
				.join('  ')
				.trimEnd(),
		)
		.join('\n');
}

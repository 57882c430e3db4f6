/** Crashes on one request that one incarnation of a gate has seen. */
export type GateCrashes = {
	/** Control address of the gate's node. */
	readonly node: string;
	/** Incarnation of the gate's node; 0 if an entry node knows of a crash there but not its gate. */
	readonly incarnation: number;
	readonly count: number;
};

/**
 * Crashes on one request by gate. Each gate increases only its own count, so that merging keeps the
 * larger one and the result doesn't depend on the order or the number of merges.
 */
export type CrashCounts = readonly GateCrashes[];

/** Returns for each gate the larger of its counts. */
export function mergeCrashes(a: CrashCounts, b: CrashCounts): CrashCounts {
	const merged = new Map(a.map((crashes) => [keyOf(crashes), crashes]));
	for (const crashes of b) {
		const known = merged.get(keyOf(crashes));
		if (known === undefined || crashes.count > known.count) {
			merged.set(keyOf(crashes), crashes);
		}
	}

	return [...merged.values()];
}

/** Returns by how much each count exceeds that in `subtracted`. */
export function subtractCrashes(counts: CrashCounts, subtracted: CrashCounts): CrashCounts {
	const known = new Map(subtracted.map((crashes) => [keyOf(crashes), crashes.count]));
	return counts
		.map((crashes) => ({...crashes, count: crashes.count - (known.get(keyOf(crashes)) ?? 0)}))
		.filter(({count}) => count > 0);
}

/** Returns the total. What an entry node knows of a gate may already be in the gate's own counts. */
export function totalCrashes(counts: CrashCounts): number {
	const own = new Map<string, number>();
	const reported = new Map<string, number>();
	for (const {node, incarnation, count} of counts) {
		const totals = incarnation === 0 ? reported : own;
		totals.set(node, (totals.get(node) ?? 0) + count);
	}

	const nodes = new Set([...own.keys(), ...reported.keys()]);
	return [...nodes].reduce(
		(sum, node) => sum + Math.max(own.get(node) ?? 0, reported.get(node) ?? 0),
		0,
	);
}

/** Returns counts of one crash at each of the nodes, as an entry node knows them. */
export function crashesAtNodes(nodes: readonly string[]): CrashCounts {
	return nodes.map((node) => ({node, incarnation: 0, count: 1}));
}

function keyOf({node, incarnation}: GateCrashes): string {
	return `${node} ${incarnation}`;
}

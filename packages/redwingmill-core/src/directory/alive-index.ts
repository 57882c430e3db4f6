import {type NodeRecord} from '../model/node-record.js';
import {digestIdOf, stampSumOf} from '../model/node-status.js';

/** The nodes of a data centre that are alive. */
export type AliveDataCentre = {
	readonly id: number;
	readonly records: readonly NodeRecord[];
	readonly stampSum: number;
	/**
	 * Control addresses by descending priority for being a watcher. The widest link comes first, because
	 * the store sends each version whole. Nodes that know the same records compute the same order.
	 */
	readonly ranking: readonly string[];
};

/** Lookups over the nodes that are alive. */
export type AliveIndex = ReadonlyMap<string, AliveDataCentre>;

const indexes = new WeakMap<readonly NodeRecord[], AliveIndex>();

/** Returns the nodes that are alive by data centre. Computed once for each list. */
export function aliveIndexOf(alive: readonly NodeRecord[]): AliveIndex {
	const known = indexes.get(alive);
	if (known) {
		return known;
	}

	const byDataCentre = new Map<string, NodeRecord[]>();
	for (const record of alive) {
		const records = byDataCentre.get(record.dataCentre);
		if (records) {
			records.push(record);
		} else {
			byDataCentre.set(record.dataCentre, [record]);
		}
	}

	const index: AliveIndex = new Map(
		[...byDataCentre].map(([name, records]) => [
			name,
			{
				id: digestIdOf(name),
				records,
				stampSum: stampSumOf(records),
				ranking: rankWatchers(records),
			},
		]),
	);
	indexes.set(alive, index);
	return index;
}

/** Returns control addresses by descending priority for being a watcher. */
export function rankWatchers(records: readonly NodeRecord[]): readonly string[] {
	return records.toSorted(compareLinkWidths).map(({address}) => address);
}

function compareLinkWidths(a: NodeRecord, b: NodeRecord): number {
	const difference = (b.linkMbps ?? 0) - (a.linkMbps ?? 0);
	return difference === 0 ? (a.address < b.address ? -1 : 1) : difference;
}

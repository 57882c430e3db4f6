import {type NodeRecord} from '../model/node-record.js';
import {digestIdOf} from '../model/node-status.js';

/** Lookups over the records of all other nodes. */
export type RecordIndex = {
	/** Control addresses by identifier in digests. */
	readonly addressesById: ReadonlyMap<number, string>;
	/** Records by data centre. */
	readonly byDataCentre: ReadonlyMap<string, readonly NodeRecord[]>;
};

const indexes = new WeakMap<ReadonlyMap<string, NodeRecord>, RecordIndex>();

/** Returns lookups over the records. Computed once for each state of them. */
export function recordIndexOf(records: ReadonlyMap<string, NodeRecord>): RecordIndex {
	const known = indexes.get(records);
	if (known) {
		return known;
	}

	const addressesById = new Map<number, string>();
	const byDataCentre = new Map<string, NodeRecord[]>();
	for (const record of records.values()) {
		addressesById.set(digestIdOf(record.address), record.address);
		byDataCentre.set(record.dataCentre, [...(byDataCentre.get(record.dataCentre) ?? []), record]);
	}

	const index = {addressesById, byDataCentre};
	indexes.set(records, index);
	return index;
}

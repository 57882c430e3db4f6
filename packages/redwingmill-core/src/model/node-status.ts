import {hashOf} from 'redwingmill-shared';
import {type WorkerLoad} from '../call/worker-load.js';
import {type NodeRecord} from './node-record.js';

/** A node that is alive, in few bytes. */
export type NodeStatus = {
	/** Hash of the node's address. */
	readonly id: number;
	/** Hash of the node's current incarnation, revision and status. */
	readonly stamp: number;
	/** Milliseconds since the node was last known to be alive. */
	readonly ageMs: number;
	/** Load of the node's worker; absent when it isn't known. */
	readonly load?: ReportedLoad;
};

/** Load of a worker, and how old the report of it is. */
export type ReportedLoad = {
	readonly load: WorkerLoad;
	/** Milliseconds since the worker's gate reported it. */
	readonly ageMs: number;
};

/** The nodes of a data centre that are alive, in a few bytes. */
export type DataCentreSummary = {
	/** Hash of the data centre's name. */
	readonly id: number;
	/** Sum of the nodes' stamps, modulo 2^32. Two nodes with the same sum know the same nodes alive. */
	readonly stampSum: number;
	/** Milliseconds since one of the data centre's watchers confirmed it. */
	readonly ageMs: number;
};

const sumRange = 2 ** 32;
const stamps = new WeakMap<NodeRecord, number>();

/** Returns the identifier of a node or data centre in digests. */
export function digestIdOf(name: string): number {
	return hashOf(name);
}

/** Returns a hash that changes with each change of the node's record. */
export function stampOf(record: NodeRecord): number {
	const known = stamps.get(record);
	if (known !== undefined) {
		return known;
	}

	const {address, incarnation, revision, status} = record;
	const stamp = hashOf(`${address} ${incarnation} ${revision} ${status}`);
	stamps.set(record, stamp);
	return stamp;
}

/** Returns the sum of the records' stamps, modulo 2^32. */
export function stampSumOf(records: Iterable<NodeRecord>): number {
	let sum = 0;
	for (const record of records) {
		sum = (sum + stampOf(record)) % sumRange;
	}

	return sum;
}

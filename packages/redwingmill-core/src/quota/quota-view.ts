import {aliveIndexOf} from '../directory/alive-index.js';
import {type DirectoryLimits} from '../directory/directory-limits.js';
import {type MembersSection} from '../directory/directory-state.js';
import {isSmallMesh} from '../directory/watchers.js';

/** Another data centre. */
export type QuotaPeer = {
	/** Control address of its quota server; absent when no node there is alive. */
	readonly server?: string;
	/** Share of its nodes in all nodes that are known, from 0 to 1. */
	readonly share: number;
};

/** Who keeps the quotas, as a node sees it. Control addresses. */
export type QuotaView = {
	/** Quota server of the node's data centre; absent when no node there is alive. */
	readonly server?: string;
	/** The other data centres by name, also those that are cut off. */
	readonly peers: ReadonlyMap<string, QuotaPeer>;
	/** Nodes of the data centre that are alive. */
	readonly localNodes: readonly string[];
	/** Number of nodes known in the data centre, also of those that are cut off. */
	readonly localCount: number;
	/** Number of nodes known in the whole mesh, also of those that are cut off. */
	readonly nodeCount: number;
};

type KnownView = {readonly records: MembersSection['records']; readonly view: QuotaView};

const views = new WeakMap<MembersSection['alive'], KnownView>();

/** Returns the quota servers. Computed once for each list of nodes. */
export function quotaViewOf(members: MembersSection, limits: DirectoryLimits): QuotaView {
	const known = views.get(members.alive);
	if (known?.records === members.records) {
		return known.view;
	}

	const isSmall = isSmallMesh(members, limits);
	const servers = new Map<string, string>();
	const index = aliveIndexOf(members.alive);
	for (const [dataCentre, {ranking}] of index) {
		servers.set(dataCentre, isSmall ? lowestOf(ranking) : ranking[0]);
	}

	const {dataCentre} = members.self;
	const counts = new Map([[dataCentre, 1]]);
	for (const record of members.records.values()) {
		if (record.status !== 'left') {
			counts.set(record.dataCentre, (counts.get(record.dataCentre) ?? 0) + 1);
		}
	}

	const nodeCount = members.records.size + 1;
	const peers = new Map<string, QuotaPeer>();
	for (const [name, count] of counts) {
		if (name !== dataCentre) {
			peers.set(name, {server: servers.get(name), share: count / nodeCount});
		}
	}

	const localNodes = index.get(dataCentre)?.ranking ?? [];
	const view: QuotaView = {
		server: servers.get(dataCentre),
		peers,
		localNodes,
		nodeCount,
		localCount: counts.get(dataCentre) ?? 1,
	};
	views.set(members.alive, {records: members.records, view});
	return view;
}

function lowestOf(addresses: readonly string[]): string {
	const [lowest] = addresses.toSorted();
	return lowest;
}

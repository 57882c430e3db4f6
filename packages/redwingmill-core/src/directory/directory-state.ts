import {type WorkerLoad} from '../call/worker-load.js';
import {type ConfigurationDocument} from '../model/configuration-document.js';
import {type NodeRecord} from '../model/node-record.js';
import {emptyRoutingTable, type RoutingTable} from '../model/routing-table.js';

/** Word of a version that this node doesn't hold. */
export type NewerVersion = {
	readonly version: number;
	/** Control address of the node that holds it. */
	readonly holder: string;
	readonly heardAt: number;
	/** Since when no newer version has come, though there is word of this one. */
	readonly behindSince: number;
	/** When a node that holds it was last asked. */
	readonly askedAt?: number;
	/** Whether the holder was asked, so that the next one that tells of the version takes its place. */
	readonly isHolderAsked: boolean;
};

/** Version of the configuration in force here. */
export type AdoptionSection = {
	readonly held?: ConfigurationDocument;
	readonly newer?: NewerVersion;
};

/** What this node knows of its contact with another node. */
export type Peer = {
	/** Monotonic milliseconds; negative infinity when nothing was ever heard. */
	readonly receivedAt: number;
	readonly sentAt: number;
	readonly inquiredAt: number;
	/** When the node last said that it watches the store; absent when it never did. */
	readonly watchReportedAt?: number;
	/** Since when the node counts as unreachable; absent while it doesn't. */
	readonly lapsedAt?: number;
};

/** Other nodes, by control address. */
export type MembersSection = {
	readonly self: NodeRecord;
	readonly load?: WorkerLoad;
	readonly records: ReadonlyMap<string, NodeRecord>;
	readonly peers: ReadonlyMap<string, Peer>;
	/** Records of the nodes that may be routed to, the own one included. */
	readonly reachable: readonly NodeRecord[];
	readonly lastTickAt: number;
	/** Times at which the own record is told again to everyone. */
	readonly reannounceAt: readonly number[];
};

/** A call to the registry: when it is due, or that it is under way. */
export type RegistryRequest = {
	readonly isInProgress: boolean;
	/** Monotonic milliseconds; infinity when nothing is to be done. */
	readonly dueAt: number;
	/** Failures in a row. */
	readonly attempt: number;
};

/** Registry of nodes in the store: the own record is written there, and the others' are listed. */
export type RegistrySection = {
	readonly writing: RegistryRequest;
	readonly listing: RegistryRequest;
	/** Whether the registry was ever listed. */
	readonly hasBeenListed: boolean;
};

/** Whether this node watches the configuration in the store, or leaves that to others. */
export type WatchSection = {
	readonly isOn: boolean;
	/** Whether the store answered the last call. */
	readonly isStoreReachable: boolean;
};

export const directoryServingStates = ['starting', 'serving', 'stopping', 'leaving'] as const;
export type DirectoryServingState = (typeof directoryServingStates)[number];

/** State of a node that finds the others through the store. Immutable; replaced by section. */
export type DirectoryState = {
	readonly adoption: AdoptionSection;
	readonly members: MembersSection;
	readonly registry: RegistrySection;
	readonly watch: WatchSection;
	readonly serving: {readonly state: DirectoryServingState; readonly since: number};
	readonly routing: RoutingTable;
};

/** State of a node that has just started. */
export function initialDirectoryState(self: NodeRecord, now: number): DirectoryState {
	const due: RegistryRequest = {isInProgress: false, dueAt: now, attempt: 0};
	return {
		adoption: {},
		members: {
			self,
			records: new Map(),
			peers: new Map(),
			reachable: [self],
			lastTickAt: now,
			reannounceAt: [],
		},
		registry: {writing: due, listing: due, hasBeenListed: false},
		watch: {isOn: true, isStoreReachable: false},
		serving: {state: 'starting', since: now},
		routing: emptyRoutingTable,
	};
}

import {PersistentMap} from 'redwingmill-shared';
import {type SuspicionReport} from '../call/crash-tracker.js';
import {type WorkerLoad} from '../call/worker-load.js';
import {type ConfigurationDocument} from '../model/configuration-document.js';
import {type NodeRecord} from '../model/node-record.js';
import {type RolloutBounds} from '../rollout/rollout.js';
import {emptyRoutingTable, type RoutingTable} from '../model/routing-table.js';
import {emptyRollouts, type RolloutsSection} from './rollouts-section.js';

/** Well below the time after which a silent node is inquired. */
const signOfLifeIntervalMs = 250;

/** An announced version that this node doesn't hold. The status page shows it under these names. */
export type NewerVersion = {
	readonly version: number;
	/** Control address of a node that holds it. */
	readonly holder: string;
	/** When this node first learned of a newer version, in monotonic milliseconds. */
	readonly heardAt: number;
	/** Since when no version has been adopted although a newer one was announced. */
	readonly behindSince: number;
	/** When a holder was last asked for it. */
	readonly askedAt?: number;
	/** Whether the holder was asked. The next node that announces the version then replaces it. */
	readonly isHolderAsked: boolean;
};

/** Configuration in force on this node, and a newer version that other nodes hold. */
export type AdoptionSection = {
	readonly held?: ConfigurationDocument;
	readonly newer?: NewerVersion;
};

/** Contact times of another node, in monotonic milliseconds. */
export type Peer = {
	/** When the node was last known to be alive; negative infinity when it never was. */
	readonly receivedAt: number;
	readonly sentAt: number;
	readonly inquiredAt: number;
	/** When the node last reported that it watches the store; absent when it never did. */
	readonly watchReportedAt?: number;
	/** Since when the node counts as unreachable; absent while it is reachable. */
	readonly lapsedAt?: number;
	/** Load of the node's worker as last reported, and when its gate did; absent when it didn't. */
	readonly load?: {readonly load: WorkerLoad; readonly at: number};
};

/** This node, and the other nodes by control address. */
export type MembersSection = {
	readonly self: NodeRecord;
	readonly load?: WorkerLoad;
	readonly records: ReadonlyMap<string, NodeRecord>;
	readonly peers: PersistentMap<Peer>;
	/** Records of the nodes that are alive and don't leave, including this one. */
	readonly alive: readonly NodeRecord[];
	/** Records of the nodes that calls may be routed to, including this one. */
	readonly reachable: readonly NodeRecord[];
	readonly lastTickAt: number;
	/** Times at which this node's record is announced to every peer again. */
	readonly reannounceAt: readonly number[];
};

/** Exchange of digests in a mesh that is too large for heartbeats between all nodes. Times as in {@link Peer}. */
export type DigestSection = {
	/** When this node last sent a heartbeat to the watchers of its data centre. */
	readonly heartbeatSentAt: number;
	/** When this node, as a watcher, last sent each kind of digest. */
	readonly localSentAt: number;
	readonly relayedSentAt: number;
	readonly summarySentAt: number;
	readonly statusSentAt: number;
	/** When silent nodes were last looked for. */
	readonly checkedAt: number;
	readonly recordsRequestedAt: number;
	/** When the known nodes of another data centre were last confirmed as a whole, by its name. */
	readonly confirmedAt: ReadonlyMap<string, number>;
	/** When statuses of a data centre were last requested, by its identifier in digests. */
	readonly statusRequestedAt: ReadonlyMap<number, number>;
	/** Changed records of other data centres' nodes, which this watcher passes on when they are due. */
	readonly unspread: readonly UnspreadRecord[];
};

export type UnspreadRecord = {readonly record: NodeRecord; readonly dueAt: number};

/** Schedule of one kind of request to the registry. */
export type RegistryRequest = {
	readonly isInProgress: boolean;
	/** Monotonic milliseconds; infinity when no request is due. */
	readonly dueAt: number;
	/** Consecutive failures. */
	readonly attempt: number;
};

/** Registry of nodes in the store: this node writes its record there and lists the others'. */
export type RegistrySection = {
	/** Reads the record of this node's earlier process, which the first write replaces. */
	readonly reading: RegistryRequest;
	readonly writing: RegistryRequest;
	/** Record of the last write that was begun; absent before the first. */
	readonly writtenRecord?: NodeRecord;
	readonly listing: RegistryRequest;
	/** Whether the registry was listed at least once. */
	readonly hasBeenListed: boolean;
	/** Era of the store that acknowledged this node's record; absent when none did. */
	readonly writtenEra?: number;
};

/**
 * What this node knows of the store. Its era rises each time that it returns from an older copy, which
 * voids what it acknowledged, and the revisions that it gave out, in earlier ones.
 */
export type StoreSection = {
	/** Newest era that this node knows of; 0 when it knows of none. */
	readonly era: number;
};

/** Whether this node watches the configuration in the store or relies on others for it. */
export type WatchSection = {
	readonly isOn: boolean;
	/** Whether the watch reaches the store. */
	readonly isStoreReachable: boolean;
	/** When the store last answered the watch; absent if it never did. */
	readonly contactAt?: number;
	/** When a version came from another node that the watch hasn't delivered yet; absent if none did. */
	readonly overtakenAt?: number;
	/** When a poll was last abandoned. */
	readonly renewedAt: number;
};

/** Crashes of workers on requests that this node knows of. */
export type CrashesSection = {
	/** Digest by which nodes notice that they know of different crashes; 0 for none. */
	readonly digest: number;
	/** When reports were last sent to a node with another digest, in monotonic milliseconds. */
	readonly sentAt: number;
	/** Reads the crashes from the store, once after the start. */
	readonly reading: RegistryRequest;
	readonly saving: RegistryRequest;
	/** Reports of quarantined requests that the store doesn't keep yet, by fingerprint. */
	readonly unsaved: ReadonlyMap<string, SuspicionReport>;
	/** Reports that this node read from the store or saved there, by fingerprint. */
	readonly kept: ReadonlyMap<string, SuspicionReport>;
	/** Era of the store in which it keeps them. */
	readonly keptEra: number;
};

/** States of a node. A node in the state `leaving` is not routed to by other nodes any more. */
export const directoryServingStates = ['starting', 'serving', 'stopping', 'leaving'] as const;
export type DirectoryServingState = (typeof directoryServingStates)[number];

/** State of a node that discovers the others through the store. Immutable; replaced by section. */
export type DirectoryState = {
	readonly adoption: AdoptionSection;
	readonly members: MembersSection;
	readonly digests: DigestSection;
	readonly registry: RegistrySection;
	readonly store: StoreSection;
	readonly watch: WatchSection;
	readonly crashes: CrashesSection;
	readonly rollouts: RolloutsSection;
	readonly serving: {readonly state: DirectoryServingState; readonly since: number};
	readonly routing: RoutingTable;
};

/**
 * Returns the state of a node that has just started.
 *
 * @param rolloutBounds - bounds on rollouts; absent where operators order none.
 */
export function initialDirectoryState(
	self: NodeRecord,
	now: number,
	rolloutBounds?: RolloutBounds,
): DirectoryState {
	const due: RegistryRequest = {isInProgress: false, dueAt: now, attempt: 0};
	return {
		adoption: {},
		members: {
			self,
			records: new Map(),
			peers: PersistentMap.empty(),
			alive: [self],
			reachable: [self],
			lastTickAt: now,
			reannounceAt: [],
		},
		digests: {
			heartbeatSentAt: Number.NEGATIVE_INFINITY,
			localSentAt: Number.NEGATIVE_INFINITY,
			relayedSentAt: Number.NEGATIVE_INFINITY,
			summarySentAt: Number.NEGATIVE_INFINITY,
			statusSentAt: Number.NEGATIVE_INFINITY,
			checkedAt: Number.NEGATIVE_INFINITY,
			recordsRequestedAt: Number.NEGATIVE_INFINITY,
			confirmedAt: new Map(),
			statusRequestedAt: new Map(),
			unspread: [],
		},
		registry: {reading: due, writing: due, listing: due, hasBeenListed: false},
		store: {era: 0},
		watch: {isOn: false, isStoreReachable: false, renewedAt: Number.NEGATIVE_INFINITY},
		crashes: {
			digest: 0,
			sentAt: Number.NEGATIVE_INFINITY,
			reading: due,
			saving: due,
			unsaved: new Map(),
			kept: new Map(),
			keptEra: 0,
		},
		rollouts: {...emptyRollouts, ...(rolloutBounds && {bounds: rolloutBounds})},
		serving: {state: 'starting', since: now},
		routing: emptyRoutingTable,
	};
}

/** Returns for how long this node has known of a version newer than the one it holds; 0 if of none. */
export function configurationBehindMs({adoption}: DirectoryState, now: number): number {
	return adoption.newer === undefined ? 0 : Math.max(0, now - adoption.newer.behindSince);
}

/**
 * Whether a node is known to have been alive so recently that another sign of life says nothing new. Each
 * answer of a gate is one, and recording it runs all controllers.
 */
export function hasRecentSignOfLife(
	{members}: DirectoryState,
	address: string,
	now: number,
): boolean {
	const peer = members.peers.get(address);
	return (
		peer !== undefined &&
		peer.lapsedAt === undefined &&
		now - peer.receivedAt < signOfLifeIntervalMs
	);
}

/**
 * Returns the number of nodes, including this one; undefined until the registry has been listed, since
 * a node that has just started may know only a few of them.
 */
export function knownNodeCount({registry, members}: DirectoryState): number | undefined {
	return registry.hasBeenListed ? members.records.size + 1 : undefined;
}

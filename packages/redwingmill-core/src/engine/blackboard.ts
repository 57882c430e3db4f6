import {type Report, type LinkRole} from '../model/message.js';
import {type NodeRecord} from '../model/node-record.js';
import {type PlatformObject} from '../model/platform-object.js';
import {type Roster} from '../model/roster.js';
import {emptyRoutingTable, type RoutingTable} from '../model/routing-table.js';
import {type Refusal, type Snapshot} from '../model/snapshot.js';
import {type Version} from '../model/version.js';

/** Versions of the configuration that this node knows. */
export type ConfigurationSection = {
	/** In force here. */
	readonly held?: Snapshot;
	/** Checked and waiting for acceptance, oldest first. */
	readonly staged: readonly Snapshot[];
	readonly refused?: Refusal;
	/** Services that were active once under the versions held. */
	readonly activatedServices: ReadonlySet<string>;
};

/** What this node knows of all nodes. */
export type RosterSection = {
	readonly self: NodeRecord;
	readonly roster: Roster;
	/** News that wait for the next batch, by control address. */
	readonly pendingRecords: ReadonlyMap<string, NodeRecord>;
	readonly distributedAt: number;
	/** Newest revision of the own record that the relay is known to have. */
	readonly acknowledgedRevision: number;
	readonly selfSentAt: number;
	/** Time at which a node that isn't linked is given up, by control address. */
	readonly lapseDeadlines: ReadonlyMap<string, number>;
	/** End of the wait that began when most nodes seemed gone at once. */
	readonly massFailureWaitUntil?: number;
};

/** An open link to another node. */
export type Link = {
	readonly id: number;
	readonly address?: string;
	/** Role of the other node; absent until the link is registered. */
	readonly role?: LinkRole;
	readonly dataCentre?: string;
	readonly openedAt: number;
	readonly receivedAt: number;
	readonly heartbeatSentAt: number;
	readonly report: Report;
	/** Consecutive heartbeats with another roster digest. */
	readonly digestMismatches: number;
	/** When a configuration message was last sent over this link. */
	readonly configurationSentAt: number;
	/** What an outgoing link was opened for; incoming links have none. */
	readonly purpose?: LinkPurpose;
};

/** Outgoing links lead to the own data centre's relay, or to another data centre's. */
export type LinkPurpose = 'uplink' | 'peer';

/** How this node is connected to its data centre's relay. */
export type Uplink =
	| {readonly type: 'searching'; readonly attempt: number; readonly retryAt: number}
	| {readonly type: 'reading'; readonly attempt: number; readonly startedAt: number}
	| {readonly type: 'claiming'; readonly attempt: number; readonly startedAt: number}
	| {
			readonly type: 'connecting';
			readonly attempt: number;
			readonly link: number;
			readonly address: string;
			readonly startedAt: number;
	  }
	| {
			readonly type: 'registered';
			readonly link: number;
			readonly address: string;
			readonly isFresh: boolean;
			/** What the relay held when it admitted this node. */
			readonly relayReport: Report;
	  }
	/** This node is the relay; `isNamed` when the platform's object says so. */
	| {
			readonly type: 'relay';
			readonly isNamed: boolean;
			readonly since: number;
			readonly probeAt: number;
			readonly probe?: number;
	  };

export type AdmissionBudget = {
	readonly tokens: number;
	readonly refilledAt: number;
};

export type LinksSection = {
	readonly uplink: Uplink;
	readonly links: ReadonlyMap<number, Link>;
	readonly nextLink: number;
	/** Relay candidates that failed lately, with the time until which they are left out. */
	readonly failedUntil: ReadonlyMap<string, number>;
	/** Candidate named by a redirect. */
	readonly preferredRelay?: string;
	/** Registrations that may be admitted at once, and when they were last refilled. */
	readonly admission: AdmissionBudget;
	/** Object of the own data centre as last read. */
	readonly dataCentreObject?: DataCentreObject;
	/** Freshness that the last heartbeats told. */
	readonly isAnnouncedFresh: boolean;
};

export type DataCentreObject = Extract<PlatformObject, {kind: 'DataCentre'}>;
export type TextObject = Extract<PlatformObject, {kind: 'ConfigurationText'}>;
export type AcceptanceObject = Extract<PlatformObject, {kind: 'Acceptance'}>;

/** A data centre's object with the time it last changed. */
export type ObservedDataCentre = {
	readonly object: DataCentreObject;
	readonly changedAt: number;
};

/** What a relay sees of the platform. */
export type PlatformSection = {
	readonly isCurrent: boolean;
	/** Time of the last sign that the watch is alive, or that a write was answered. */
	readonly currentAt: number;
	readonly text?: TextObject;
	/** Time at which the newest text was first seen. */
	readonly textObservedAt: number;
	readonly acceptance?: AcceptanceObject;
	readonly dataCentres: ReadonlyMap<string, ObservedDataCentre>;
	/** A write of the own data centre's object is under way. */
	readonly isWriting: boolean;
	readonly writtenAt: number;
	readonly acceptanceAttempt: AcceptanceAttempt;
};

export type AcceptanceAttempt =
	| {readonly type: 'idle'}
	| {readonly type: 'waiting'; readonly version: Version; readonly dueAt: number}
	| {readonly type: 'writing'; readonly version: Version};

/** Whether this node takes calls. */
export const servingStates = ['starting', 'resyncing', 'serving', 'detached', 'stopping'] as const;
export type ServingState = (typeof servingStates)[number];

export type ServingSection = {
	readonly state: ServingState;
	readonly since: number;
	readonly lastEventAt: number;
	/** Time at which this node last had a relay. */
	readonly relayReceivedAt: number;
};

/** The whole state of a node's control plane. Immutable; replaced section by section. */
export type Blackboard = {
	readonly configuration: ConfigurationSection;
	readonly roster: RosterSection;
	readonly links: LinksSection;
	readonly platform: PlatformSection;
	readonly serving: ServingSection;
	readonly routing: RoutingTable;
};

/**
 * State of a node that has just started.
 *
 * @param startDelayMs - time before the node looks for a relay, so that herds spread.
 */
export function initialBlackboard(self: NodeRecord, now: number, startDelayMs = 0): Blackboard {
	return {
		configuration: {staged: [], activatedServices: new Set()},
		roster: {
			self,
			roster: new Map([[self.dataCentre, new Map([[self.address, self]])]]),
			pendingRecords: new Map(),
			distributedAt: now,
			acknowledgedRevision: 0,
			selfSentAt: now,
			lapseDeadlines: new Map(),
		},
		links: {
			uplink: {type: 'searching', attempt: 0, retryAt: now + startDelayMs},
			links: new Map(),
			nextLink: 1,
			failedUntil: new Map(),
			admission: {tokens: 0, refilledAt: now},
			isAnnouncedFresh: false,
		},
		platform: {
			isCurrent: false,
			currentAt: now,
			textObservedAt: now,
			dataCentres: new Map(),
			isWriting: false,
			writtenAt: now,
			acceptanceAttempt: {type: 'idle'},
		},
		serving: {state: 'starting', since: now, lastEventAt: now, relayReceivedAt: now},
		routing: emptyRoutingTable,
	};
}

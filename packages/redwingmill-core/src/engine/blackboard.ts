import {type Report, type LinkRole} from '../model/message.js';
import {type NodeRecord} from '../model/node-record.js';
import {type PlatformObject} from '../model/platform-object.js';
import {type Roster} from '../model/roster.js';
import {emptyRoutingTable, type RoutingTable} from '../model/routing-table.js';
import {type Refusal, type Snapshot} from '../model/snapshot.js';
import {type Version} from '../model/version.js';

/** Configuration versions that this node knows. */
export type ConfigurationSection = {
	/** Version in force on this node. */
	readonly held?: Snapshot;
	/** Validated versions that wait for acceptance, oldest first. */
	readonly staged: readonly Snapshot[];
	readonly refused?: Refusal;
	/** Services of the version in force that are active or were active before. */
	readonly activatedServices: ReadonlySet<string>;
};

/** Records of all nodes that this node knows. */
export type RosterSection = {
	readonly self: NodeRecord;
	readonly roster: Roster;
	/** Changed records that wait for the next batch, by control address. */
	readonly pendingRecords: ReadonlyMap<string, NodeRecord>;
	readonly distributedAt: number;
	/** Newest revision of this node's record that the relay is known to hold. */
	readonly acknowledgedRevision: number;
	readonly selfSentAt: number;
	/** Time at which a node without a link is declared lapsed, by control address. */
	readonly lapseDeadlines: ReadonlyMap<string, number>;
	/** End of the wait that began when most nodes seemed to have failed at once. */
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
	/** Consecutive heartbeats whose roster digest differs from this node's. */
	readonly digestMismatches: number;
	/** When a configuration message was last sent over this link. */
	readonly configurationSentAt: number;
	/** Purpose of an outgoing link; absent on incoming links. */
	readonly purpose?: LinkPurpose;
};

/** Purpose of an outgoing link: to the local data centre's relay, or to another data centre's. */
export type LinkPurpose = 'uplink' | 'peer';

/** State of this node's connection to its data centre's relay. */
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
			/** Whether the relay last reported a recent view of the platform. */
			readonly isFresh: boolean;
			/** Versions that the relay held when it admitted this node. */
			readonly relayReport: Report;
	  }
	/** This node is the relay. `isNamed` is whether the data centre's object names it as such. */
	| {
			readonly type: 'relay';
			readonly isNamed: boolean;
			readonly since: number;
			/** When an unnamed relay reads the data centre's object next. */
			readonly probeAt: number;
			/** Link on which another candidate is asked whether it is the relay. */
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
	/** Addresses of relays and candidates that failed recently, and until when each is excluded. */
	readonly failedUntil: ReadonlyMap<string, number>;
	/** Relay to try first: the one that a redirect named, or this node's successor as the relay. */
	readonly preferredRelay?: string;
	/** Token bucket that limits the rate of registrations. */
	readonly admission: AdmissionBudget;
	/** The local data centre's object as last read. */
	readonly dataCentreObject?: DataCentreObject;
	/** Value of `isFresh` in the last heartbeats sent. */
	readonly isAnnouncedFresh: boolean;
};

export type DataCentreObject = Extract<PlatformObject, {kind: 'DataCentre'}>;
export type TextObject = Extract<PlatformObject, {kind: 'ConfigurationText'}>;
export type AcceptanceObject = Extract<PlatformObject, {kind: 'Acceptance'}>;

/** A data centre's object, and when it last changed or the watch was regained. */
export type ObservedDataCentre = {
	readonly object: DataCentreObject;
	readonly changedAt: number;
};

/** View that a relay has of the platform. */
export type PlatformSection = {
	readonly isCurrent: boolean;
	/** Time at which the watch last delivered an object or was regained, or a write was confirmed. */
	readonly currentAt: number;
	readonly text?: TextObject;
	/** Time at which the newest text was first observed. */
	readonly textObservedAt: number;
	readonly acceptance?: AcceptanceObject;
	readonly dataCentres: ReadonlyMap<string, ObservedDataCentre>;
	/** Whether a write of the local data centre's object is in progress. */
	readonly isWriting: boolean;
	readonly writtenAt: number;
	readonly acceptanceAttempt: AcceptanceAttempt;
};

export type AcceptanceAttempt =
	| {readonly type: 'idle'}
	| {readonly type: 'waiting'; readonly version: Version; readonly dueAt: number}
	| {readonly type: 'writing'; readonly version: Version};

/** States of a node. It accepts calls while it is `serving` or `detached`. */
export const servingStates = ['starting', 'resyncing', 'serving', 'detached', 'stopping'] as const;
export type ServingState = (typeof servingStates)[number];

export type ServingSection = {
	readonly state: ServingState;
	readonly since: number;
	readonly lastEventAt: number;
	/** Time of the last message from the relay; the start and a detected pause count as one. */
	readonly relayReceivedAt: number;
};

/** State of a node's control plane. Immutable; replaced section by section. */
export type Blackboard = {
	readonly configuration: ConfigurationSection;
	readonly roster: RosterSection;
	readonly links: LinksSection;
	readonly platform: PlatformSection;
	readonly serving: ServingSection;
	readonly routing: RoutingTable;
};

/**
 * Returns the state of a node that has just started.
 *
 * @param startDelayMs - time before the node looks for a relay; spreads the load when many start.
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

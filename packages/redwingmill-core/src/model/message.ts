import {type CrashReport} from '../call/crash-tracker.js';
import {type NodeRecord} from './node-record.js';
import {type SectionDigest} from './roster.js';
import {type Refusal} from './snapshot.js';
import {type TextContent} from './text-content.js';
import {type Version} from './version.js';

/** Versions that a node holds. The relay aggregates the reports of its members. */
export type Report = {
	readonly held?: Version;
	readonly staged?: Version;
	readonly refused?: Refusal;
};

/** Roles in which a node opens a link. */
export const linkRoles = ['member', 'relay'] as const;
export type LinkRole = (typeof linkRoles)[number];

/** Messages between nodes. Each of them may safely be lost, repeated or reordered. */
export type Message =
	/** First message of the node that opened the link. */
	| {
			readonly type: 'register';
			readonly role: LinkRole;
			readonly record: NodeRecord;
			readonly report: Report;
			readonly digests: readonly SectionDigest[];
	  }
	/** The relay admits the node. */
	| {
			readonly type: 'welcome';
			readonly record: NodeRecord;
			readonly report: Report;
			/** Whether the relay has a recent view of the platform and so knows the newest acceptance. */
			readonly isFresh: boolean;
			readonly digests: readonly SectionDigest[];
	  }
	/** The sender can't admit a registration now. The receiver tries again after the delay. */
	| {readonly type: 'retry-after'; readonly delayMs: number}
	/** Another node is the relay. */
	| {readonly type: 'redirect'; readonly relay: string}
	/** Sent at a fixed interval. Shows that the sender is alive and whether both know the same nodes. */
	| {
			readonly type: 'heartbeat';
			readonly isFresh: boolean;
			/** Digest over the digests of all sections. */
			readonly rosterDigest: string;
	  }
	/** Asks for the records of sections that differ. */
	| {
			readonly type: 'sync';
			readonly record: NodeRecord;
			readonly digests: readonly SectionDigest[];
	  }
	/** Records that the receiver may lack. */
	| {readonly type: 'records'; readonly records: readonly NodeRecord[]}
	/** A version to stage. */
	| {readonly type: 'proposal'; readonly version: Version; readonly content: TextContent}
	/** A version that is accepted and that the receiver has to put in force. */
	| {readonly type: 'acceptance'; readonly version: Version}
	| {readonly type: 'report'; readonly report: Report}
	/** Asks for the whole text of a version that was proposed or accepted. */
	| {readonly type: 'configuration-request'; readonly version: Version}
	/** An accepted version with its text. */
	| {readonly type: 'configuration'; readonly version: Version; readonly text: string}
	/** Crash report; `node` is the control address of the node that issued it. */
	| {readonly type: 'suspect'; readonly report: CrashReport; readonly node: string};

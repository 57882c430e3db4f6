import {type Refusal} from './snapshot.js';
import {type Version} from './version.js';

/** Newest configuration text that operators wrote; not necessarily in force. */
export type ConfigurationTextSpec = {
	readonly version: Version;
	readonly text: string;
	readonly author: string;
	/** Identifies one `apply`, so that a repeated write is recognised. */
	readonly applyId: string;
};

/** State of one data centre. Only its relay writes it. */
export type DataCentreSpec = {
	/** Control address of the relay. */
	readonly relay: string;
	readonly incarnation: number;
	/** Increases each time a node becomes the relay. */
	readonly term: number;
	/** Increases with each write by the same relay. */
	readonly heartbeat: number;
	/** Newest version that every live node has staged. */
	readonly prepared?: Version;
	/** Newest version that every live node has in force. */
	readonly inForce?: Version;
	readonly rejected?: Refusal;
	readonly members: number;
	/** Control addresses of some live nodes that have not staged the newest text. */
	readonly unprepared: readonly string[];
};

/** Newest accepted version, with its text, because a newer proposal overwrites `ConfigurationText`. */
export type AcceptanceSpec = {
	readonly version: Version;
	readonly text: string;
	/** Data centres that were unresponsive and took no part in the acceptance. */
	readonly absent: readonly string[];
};

type Metadata<Kind extends string> = {
	readonly kind: Kind;
	readonly name: string;
	/** Increases with each write to the platform. */
	readonly resourceVersion: number;
};

/** An object as the platform stores it. */
export type PlatformObject =
	| (Metadata<'ConfigurationText'> & {readonly spec: ConfigurationTextSpec})
	| (Metadata<'DataCentre'> & {readonly spec: DataCentreSpec})
	| (Metadata<'Acceptance'> & {readonly spec: AcceptanceSpec});

export const objectKinds = ['ConfigurationText', 'DataCentre', 'Acceptance'] as const;
export type ObjectKind = (typeof objectKinds)[number];

/** Object to write. `resourceVersion` is the version to replace; 0 requires that none exists. */
export type ObjectWrite = PlatformObject;

/** Name of the only `ConfigurationText` and of the only `Acceptance`. */
export const singletonName = 'main';

/** Result of an attempt to write an object. */
export type WriteOutcome =
	| {readonly type: 'written'; readonly resourceVersion: number}
	| {readonly type: 'conflict'}
	/** The platform refused the write or did not receive it. */
	| {readonly type: 'failed'}
	/** No answer arrived, so the write may have taken effect. */
	| {readonly type: 'unknown'};

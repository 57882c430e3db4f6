import {type ConfigurationDocument, type NodeRecord} from 'redwingmill-core';

/** Result of reading the configuration, with the revision from which to wait for the next change. */
export type ConfigurationReadResult =
	| {readonly type: 'found'; readonly source: unknown; readonly revision: number}
	| {readonly type: 'missing'; readonly revision: number}
	/** Nothing has changed within the time given. */
	| {readonly type: 'unchanged'; readonly revision: number}
	/** The store no longer knows what happened since the revision. */
	| {readonly type: 'expired'}
	| {readonly type: 'failed'; readonly reason: string};

/** Where the operators' configuration is kept. Calls never throw. */
export type ConfigurationSource = {
	read: () => Promise<ConfigurationReadResult>;
	/** Waits up to `waitMs` for a change after `revision`. */
	waitForChange: (
		revision: number,
		waitMs: number,
		signal: AbortSignal,
	) => Promise<ConfigurationReadResult>;
};

/** Result of checking a configuration that came from outside. */
export type DecodedConfiguration =
	| {readonly type: 'valid'; readonly document: ConfigurationDocument}
	| {readonly type: 'invalid'; readonly faults: readonly string[]};
export type ConfigurationDecoder = (source: unknown) => DecodedConfiguration;

/** Where nodes leave their records for each other. Calls never throw. */
export type NodeRegistry = {
	/** Writes a record. Returns whether that is certain. */
	write: (record: NodeRecord) => Promise<boolean>;
	/** Every record, or undefined when they can't be read. */
	list: () => Promise<readonly NodeRecord[] | undefined>;
};

/** What a node needs of the store. */
export type StorePorts = {
	readonly configuration: ConfigurationSource;
	readonly decode: ConfigurationDecoder;
	readonly registry: NodeRegistry;
	readonly close: () => Promise<void>;
};

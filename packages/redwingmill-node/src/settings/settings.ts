import {choicePolicies, type ChoicePolicy} from 'redwingmill-core';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof logLevels)[number];
export const logFormats = ['json', 'text'] as const;
export type LogFormat = (typeof logFormats)[number];

/** Settings of a node. Addresses are `ip:port`. */
export type Settings = {
	readonly dataCentre: string;
	readonly addresses: {
		/** Accepts calls from callers. */
		readonly proxy: string;
		/** Accepts calls from other nodes for this node's worker. */
		readonly gate: string;
		/** Accepts links or datagrams from other nodes. */
		readonly control: string;
		/** Accepts operators' requests and the worker's announcements. */
		readonly operators: string;
		/** Answers readiness checks on a separate port: whether new callers should connect. */
		readonly ready?: string;
		/** Accepts the worker's announcements on a separate port. */
		readonly announcements?: string;
	};
	/** Addresses at which other nodes reach this one, if ports are mapped. */
	readonly advertised?: {
		/** Identifies the node. */
		readonly control: string;
		readonly gate: string;
	};
	/** Service of the worker on this host, reported to other workers as the caller. */
	readonly caller?: string;
	/** Address of the platform's object API. */
	readonly platform: string;
	/** Control addresses of nodes in the same data centre, from which to discover the mesh. */
	readonly seeds: readonly string[];
	/** Whether the whole mesh starts for the first time, so that the platform holds no record of it. */
	readonly isFirstStart: boolean;
	readonly calls: {
		readonly bodyLimitBytes: number;
		readonly answerLimitBytes: number;
		readonly maximumAttempts: number;
		/** Accepted for earlier settings files, without effect: a node has one connection to each gate. */
		readonly connectionsPerGate: number;
		readonly workerConnections: number;
		readonly choice: ChoicePolicy;
		readonly slowStartMs: number;
		readonly limitsConcurrency: boolean;
		readonly withdraws: boolean;
		/** Length of the sliding window in which retries are counted. */
		readonly retryWindowSeconds: number;
		/** Retries of the whole mesh per first attempt, for routes without a share of their own. */
		readonly meshRetryShare: number;
		/** Retries per window of the whole mesh beyond the routes' shares; divided among the nodes. */
		readonly meshRetrySlack: number;
		/** Number of workers that must crash on a request before it is quarantined. */
		readonly deathsToQuarantine: number;
		readonly isolatesSuspects: boolean;
		/** Time after the worker's last announcement at which it counts as absent. */
		readonly workerLeaseMs: number;
	};
	/** Bounds on roll-outs of service versions; absent where operators order none. */
	readonly rollouts?: {
		/** Largest part of a service's calls that a bad version may get during its order, from 0 to 1. */
		readonly exposureShare: number;
		/** Calls that it may get besides. */
		readonly exposureSlack: number;
		/** Time after its 50th bad answer in which a version has to be rolled back. */
		readonly rollbackMs: number;
	};
	/** Bounds on how exactly quotas are kept; absent where workspaces have none. */
	readonly quotas?: {
		/** Length of the sliding window in which calls are counted. */
		readonly windowSeconds: number;
		/** Calls tolerated over a quota, as a share of it. */
		readonly overShare: number;
		/** Calls tolerated besides, in a window. */
		readonly slack: number;
	};
	/** What a node does with keys that it can't confirm; absent where no caller needs one. */
	readonly revocation?: {
		/** Whether a node that can't confirm its configuration refuses calls that need a key. */
		readonly isStrict: boolean;
		/** Time without confirmation after which it does. */
		readonly withinMs: number;
	};
	readonly control: {
		readonly distributionIntervalMs: number;
		readonly sendsWholeTables: boolean;
		/** Bandwidth of the host's link; nodes with more are preferred to watch the store for others. */
		readonly linkMbps?: number;
	};
	readonly drainTimeoutMs: number;
	readonly stopping: {
		/** Time after the signal in which calls from callers and other nodes are still accepted. */
		readonly lingerMs: number;
		/** Maximum time from the signal to the process's end; if absent, only draining is limited. */
		readonly withinSeconds?: number;
	};
	readonly log: {
		readonly level: LogLevel;
		readonly format: LogFormat;
	};
};

const addressSchema = {
	type: 'string',
	pattern: String.raw`^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$`,
} as const;
const durationMsSchema = {type: 'integer', minimum: 0, maximum: 600_000} as const;

/** JSON schema of the settings file, with the defaults of optional fields. */
export const settingsSchema = {
	type: 'object',
	additionalProperties: false,
	required: ['dataCentre', 'addresses', 'platform'],
	properties: {
		dataCentre: {type: 'string', pattern: '^[a-z][a-z0-9-]{0,62}$'},
		addresses: {
			type: 'object',
			additionalProperties: false,
			required: ['proxy', 'gate', 'control', 'operators'],
			properties: {
				proxy: addressSchema,
				gate: addressSchema,
				control: addressSchema,
				operators: addressSchema,
				ready: addressSchema,
				announcements: addressSchema,
			},
		},
		advertised: {
			type: 'object',
			additionalProperties: false,
			required: ['control', 'gate'],
			properties: {control: addressSchema, gate: addressSchema},
		},
		caller: {type: 'string', pattern: '^.{1,253}$'},
		platform: addressSchema,
		isFirstStart: {type: 'boolean', default: false},
		seeds: {type: 'array', items: addressSchema, maxItems: 32, default: []},
		calls: {
			type: 'object',
			additionalProperties: false,
			default: {},
			properties: {
				bodyLimitBytes: {
					type: 'integer',
					minimum: 1024,
					maximum: 67_108_864,
					default: 1_048_576,
				},
				answerLimitBytes: {
					type: 'integer',
					minimum: 1024,
					maximum: 16_777_216,
					default: 4_194_304,
				},
				maximumAttempts: {type: 'integer', minimum: 1, maximum: 10, default: 3},
				connectionsPerGate: {type: 'integer', minimum: 1, maximum: 1000, default: 32},
				workerConnections: {type: 'integer', minimum: 1, maximum: 1000, default: 100},
				choice: {type: 'string', enum: choicePolicies, default: 'two-choices'},
				slowStartMs: {...durationMsSchema, default: 10_000},
				limitsConcurrency: {type: 'boolean', default: true},
				withdraws: {type: 'boolean', default: true},
				retryWindowSeconds: {type: 'number', minimum: 0.1, maximum: 600, default: 10},
				meshRetryShare: {type: 'number', minimum: 0, maximum: 1, default: 0.1},
				meshRetrySlack: {type: 'number', minimum: 0, maximum: 100_000, default: 50},
				deathsToQuarantine: {type: 'integer', minimum: 1, maximum: 100, default: 2},
				isolatesSuspects: {type: 'boolean', default: true},
				workerLeaseMs: {...durationMsSchema, minimum: 100, default: 3000},
			},
		},
		rollouts: {
			type: 'object',
			additionalProperties: false,
			required: ['exposureShare', 'exposureSlack', 'rollbackMs'],
			properties: {
				exposureShare: {type: 'number', minimum: 0, maximum: 1},
				exposureSlack: {type: 'number', minimum: 0, maximum: 1_000_000},
				rollbackMs: durationMsSchema,
			},
		},
		quotas: {
			type: 'object',
			additionalProperties: false,
			required: ['windowSeconds', 'overShare', 'slack'],
			properties: {
				windowSeconds: {type: 'number', minimum: 0.1, maximum: 600},
				overShare: {type: 'number', minimum: 0, maximum: 10},
				slack: {type: 'number', minimum: 0, maximum: 1_000_000},
			},
		},
		revocation: {
			type: 'object',
			additionalProperties: false,
			required: ['isStrict', 'withinMs'],
			properties: {isStrict: {type: 'boolean'}, withinMs: durationMsSchema},
		},
		control: {
			type: 'object',
			additionalProperties: false,
			default: {},
			properties: {
				distributionIntervalMs: {...durationMsSchema, maximum: 10_000, default: 100},
				sendsWholeTables: {type: 'boolean', default: false},
				linkMbps: {type: 'number', minimum: 0, maximum: 1_000_000},
			},
		},
		drainTimeoutMs: {...durationMsSchema, default: 30_000},
		stopping: {
			type: 'object',
			additionalProperties: false,
			default: {},
			properties: {
				lingerMs: {...durationMsSchema, default: 0},
				withinSeconds: {type: 'number', minimum: 1, maximum: 3600},
			},
		},
		log: {
			type: 'object',
			additionalProperties: false,
			default: {},
			properties: {
				level: {type: 'string', enum: logLevels, default: 'info'},
				format: {type: 'string', enum: logFormats, default: 'json'},
			},
		},
	},
} as const;

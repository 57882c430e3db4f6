import {choicePolicies, type ChoicePolicy} from 'redwingmill-core';

export const logLevels = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof logLevels)[number];
export const logFormats = ['json', 'text'] as const;
export type LogFormat = (typeof logFormats)[number];

/** Settings of one node. Addresses are `ip:port`; durations are in milliseconds. */
export type Settings = {
	readonly dataCentre: string;
	readonly addresses: {
		/** Takes callers' calls. */
		readonly proxy: string;
		/** Takes calls from other nodes for this node's worker. */
		readonly gate: string;
		/** Takes links from other nodes. */
		readonly control: string;
		/** Takes operators' requests and the worker's announcements. */
		readonly operators: string;
		/** Tells whether callers should come, when that is asked at a port of its own. */
		readonly ready?: string;
		/** Takes the worker's announcements, when they come to a port of their own. */
		readonly announcements?: string;
	};
	/** Where other nodes reach this one, when that isn't where it listens: ports are mapped. */
	readonly advertised?: {
		/** Identifies the node. */
		readonly control: string;
		readonly gate: string;
	};
	/** Service whose worker shares the host; workers elsewhere are told it as the caller. */
	readonly caller?: string;
	/** Object API of the platform. */
	readonly platform: string;
	/** Control addresses of some nodes of the same data centre. */
	readonly seeds: readonly string[];
	readonly calls: {
		readonly bodyLimitBytes: number;
		readonly answerLimitBytes: number;
		readonly maximumAttempts: number;
		readonly connectionsPerGate: number;
		readonly workerConnections: number;
		readonly choice: ChoicePolicy;
		readonly slowStartMs: number;
		readonly limitsConcurrency: boolean;
		readonly withdraws: boolean;
		/** Length of the sliding window in which retries are counted. */
		readonly retryWindowSeconds: number;
		/** Retries that the whole mesh may make per first attempt, for routes that name no share. */
		readonly meshRetryShare: number;
		/** Retries that the whole mesh may make in a window besides the routes' shares; each node has its part. */
		readonly meshRetrySlack: number;
		readonly deathsToQuarantine: number;
		readonly isolatesSuspects: boolean;
		/** How long one announcement of the worker holds. */
		readonly workerLeaseMs: number;
	};
	readonly control: {
		readonly distributionIntervalMs: number;
		readonly sendsWholeTables: boolean;
		/** Capacity of the host's link; nodes with wider links watch the store for others. */
		readonly linkMbps?: number;
	};
	readonly drainTimeoutMs: number;
	readonly stopping: {
		/** Time after the signal in which callers and other nodes may still come. */
		readonly lingerMs: number;
		/** Time from the signal to the process's end at the latest; absent bounds draining alone. */
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

/** JSON schema of the settings file. Absent fields take their defaults. */
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

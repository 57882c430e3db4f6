import {type OutgoingHttpHeaders} from 'node:http';
import {type NotRunReason, type Outcome, type UnknownReason} from 'redwingmill-core';
import {headerNames} from './headers.js';

/** Details of an answer that the caller receives along with the worker's response. */
export type AnswerDetails = {
	readonly outcome: Outcome;
	readonly isRetried: boolean;
	/** Time after which the caller should retry, jitter included. */
	readonly retryAfterMs?: number;
};

/** HTTP conventions between callers and the entry node: header names and refusal statuses. */
export type CallerProtocol = {
	/** Name, in lower case, of the header with the milliseconds that the caller will wait. */
	readonly deadlineHeader: string;
	/** Name, in lower case, of the header with the caller's request id. */
	readonly requestIdHeader: string;
	/** Name, in lower case, of the header with the key of the caller's workspace. */
	readonly keyHeader: string;
	/**
	 * Headers, in lower case, that are removed from callers' requests where the configuration has
	 * workspaces: the key, and headers that only a node may send to workers.
	 */
	readonly removedHeaders: readonly string[];
	/** Returns the status of an answer without a worker's response. */
	readonly statusOf: (outcome: Outcome) => number;
	/** Returns the headers that the node adds to an answer. */
	readonly headersOf: (details: AnswerDetails) => OutgoingHttpHeaders;
};

const notRunStatuses: Partial<Record<NotRunReason, number>> = {
	'no-route': 404,
	'key-unknown': 401,
	'quota-exceeded': 429,
	'body-too-large': 413,
	'ticket-invalid': 400,
	'deadline-passed': 504,
};
const defaultNotRunStatus = 503;
const unknownStatus = 502;
const gatewayTimeoutStatus = 504;
/** Reasons of unknown outcomes that are due to a time-out. */
const timeoutReasons: ReadonlySet<UnknownReason> = new Set<UnknownReason>([
	'deadline-passed',
	'worker-timeout',
]);
const msPerSecond = 1000;

/** Returns the status of an answer without a worker's response, by how the call failed. */
export function statusOf(outcome: Outcome): number {
	switch (outcome.type) {
		case 'ran': {
			return 200;
		}

		case 'not-run': {
			return notRunStatuses[outcome.reason] ?? defaultNotRunStatus;
		}

		case 'unknown': {
			return timeoutReasons.has(outcome.reason) ? gatewayTimeoutStatus : unknownStatus;
		}
	}
}

/** Default caller protocol, which uses redwingmill's own headers. */
export const defaultCallerProtocol: CallerProtocol = {
	deadlineHeader: headerNames.deadline,
	requestIdHeader: 'x-request-id',
	keyHeader: headerNames.key,
	removedHeaders: [],
	statusOf,
	headersOf({outcome, isRetried, retryAfterMs}) {
		return {
			[headerNames.outcome]: outcome.type,
			...(outcome.type === 'ran' ? {} : {[headerNames.reason]: outcome.reason}),
			...(isRetried ? {[headerNames.retried]: '1'} : {}),
			...(retryAfterMs === undefined ? {} : {'retry-after': wholeSeconds(retryAfterMs)}),
		};
	},
};

function wholeSeconds(ms: number): string {
	return String(Math.max(1, Math.ceil(ms / msPerSecond)));
}

import {type OutgoingHttpHeaders} from 'node:http';
import {type NotRunReason, type Outcome, type UnknownReason} from 'redwingmill-core';
import {headerNames} from './headers.js';

/** What an answer to a caller tells besides the worker's own answer. */
export type AnswerDetails = {
	readonly outcome: Outcome;
	readonly isRetried: boolean;
	/** Time after which the caller should come back, jitter included. */
	readonly retryAfterMs?: number;
};

/** How callers speak to the entry node: names of headers, and statuses of refusals. */
export type CallerProtocol = {
	/** Header with the milliseconds that the caller will wait, in lower case. */
	readonly deadlineHeader: string;
	/** Header with the caller's name for the request, in lower case. */
	readonly requestIdHeader: string;
	/** Status of an answer that isn't a worker's. */
	readonly statusOf: (outcome: Outcome) => number;
	/** Headers of the node's own on an answer. */
	readonly headersOf: (facts: AnswerDetails) => OutgoingHttpHeaders;
};

const notRunStatuses: Partial<Record<NotRunReason, number>> = {
	'no-route': 404,
	'body-too-large': 413,
	'ticket-invalid': 400,
	'deadline-passed': 504,
};
const defaultNotRunStatus = 503;
const unknownStatus = 502;
const gatewayTimeoutStatus = 504;
/** Unknown outcomes for lack of time. */
const timeoutReasons: ReadonlySet<UnknownReason> = new Set<UnknownReason>([
	'deadline-passed',
	'worker-timeout',
]);
const msPerSecond = 1000;

/** Status of an answer that isn't a worker's: one for each way in which a call can fail. */
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

/** The product's own protocol towards callers. */
export const defaultCallerProtocol: CallerProtocol = {
	deadlineHeader: headerNames.deadline,
	requestIdHeader: 'x-request-id',
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

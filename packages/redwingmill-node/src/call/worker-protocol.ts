import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {headerNames} from './headers.js';

/** What a worker is told with a call. */
export type WorkerCallDetails = {
	/** Milliseconds until the caller stops waiting. */
	readonly deadlineMs: number;
	/** Identity of the worker that is to run the call; absent when it tells none. */
	readonly instance?: string;
	/** Service whose host the call came from. */
	readonly caller?: string;
};

/**
 * What a worker's answer says: it ran the call; it didn't, for lack of room; it didn't, being
 * another worker than the one meant; or the answer isn't one to this call.
 */
export type WorkerResponseClass = 'ran' | 'shed' | 'misdirected' | 'foreign';

/** How the gate speaks to its worker. */
export type WorkerProtocol = {
	/** Headers set on a call in place of the caller's, in lower case. */
	readonly requestHeaders: (facts: WorkerCallDetails) => OutgoingHttpHeaders;
	/** @param request - headers of the call as it was sent. */
	readonly classify: (
		status: number,
		headers: IncomingHttpHeaders,
		request: OutgoingHttpHeaders,
	) => WorkerResponseClass;
};

/** The product's own protocol towards workers. */
export const defaultWorkerProtocol: WorkerProtocol = {
	requestHeaders({deadlineMs}) {
		return {[headerNames.deadline]: String(deadlineMs)};
	},
	classify(_status, headers) {
		// A worker that passes on a retried refusal from below has run the call itself.
		const isShed =
			headers[headerNames.outcome] === 'not-run' && headers[headerNames.retried] === undefined;
		return isShed ? 'shed' : 'ran';
	},
};

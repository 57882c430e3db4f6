import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {parseStatedLimit, parseStatedLoad, type WorkerNotice} from 'redwingmill-core';
import {headerNames} from './headers.js';

/** Details of a call that the worker receives along with the request. */
export type WorkerCallDetails = {
	/** Milliseconds until the caller stops waiting. */
	readonly deadlineMs: number;
	/** Instance of the worker that is to run the call; absent when the worker announces none. */
	readonly instance?: string;
	/** Calling service, as named in the entry node's settings; absent when they name none. */
	readonly caller?: string;
	/** Name of the caller's workspace; absent when the call needs none. */
	readonly workspace?: string;
};

/**
 * Meaning of a worker's response: it ran the call (`ran`), it refused the call for lack of capacity
 * (`shed`), it refused the call because it is not the instance addressed (`misdirected`), or the
 * response does not belong to this call (`foreign`).
 */
export type WorkerResponseClass = 'ran' | 'shed' | 'misdirected' | 'foreign';

/** HTTP conventions between the gate and its worker. */
export type WorkerProtocol = {
	/** Returns the headers, in lower case, that replace the caller's on a call. */
	readonly requestHeaders: (details: WorkerCallDetails) => OutgoingHttpHeaders;
	/**
	 * Classifies a response.
	 *
	 * @param request - headers of the call as it was sent.
	 */
	readonly classify: (
		status: number,
		headers: IncomingHttpHeaders,
		request: OutgoingHttpHeaders,
	) => WorkerResponseClass;
	/** Returns what the worker says of itself in a response, whatever its class but `foreign`. */
	readonly noticeOf: (headers: IncomingHttpHeaders) => WorkerNotice;
	/** Whether a response names the call that it answers; absent when workers never do. */
	readonly isIdentified?: (headers: IncomingHttpHeaders) => boolean;
};

/** Default worker protocol, which uses redwingmill's own headers. */
export const defaultWorkerProtocol: WorkerProtocol = {
	requestHeaders({deadlineMs, workspace}) {
		return {
			[headerNames.deadline]: String(deadlineMs),
			...(workspace === undefined ? {} : {[headerNames.workspace]: workspace}),
		};
	},
	noticeOf: (headers) => ({
		limit: parseStatedLimit(headers[headerNames.workerLimit]),
		isLeaving: headers[headerNames.workerLeaving] === '1',
		load: parseStatedLoad(headers[headerNames.workerLoad]),
	}),
	classify(_status, headers) {
		// A worker that forwards a retried refusal of another service has run this call itself.
		const isShed =
			headers[headerNames.outcome] === 'not-run' && headers[headerNames.retried] === undefined;
		return isShed ? 'shed' : 'ran';
	},
};

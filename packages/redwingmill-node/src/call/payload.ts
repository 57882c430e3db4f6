import {type Buffer} from 'node:buffer';
import {type OutgoingHttpHeaders} from 'node:http';

const firstStatus = 100;
const firstFinalStatus = 200;
const lastStatus = 599;

/** Whether a status of a response is one of HTTP (RFC 9110, section 15). */
export function isStatus(status: number): boolean {
	return status >= firstStatus && status <= lastStatus;
}

/** Whether a status is one of HTTP, and not that of an interim response. */
export function isFinalStatus(status: number): boolean {
	return status >= firstFinalStatus && isStatus(status);
}

/** A worker's complete response. */
export type Payload = {
	readonly status: number;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Buffer;
};

/** A caller's complete request. */
export type CallRequest = {
	readonly method: string;
	/** Path with its query string. */
	readonly path: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Buffer | undefined;
};

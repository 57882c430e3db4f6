import {type Buffer} from 'node:buffer';
import {type OutgoingHttpHeaders} from 'node:http';

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

import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';

/** Names of the headers that redwingmill sets or reads, in lower case. */
export const headerNames = {
	/** Remaining time of a call in milliseconds; callers and workers may set it. */
	deadline: 'redwingmill-deadline-ms',
	/** `ran`, `not-run` or `unknown`; on every answer. */
	outcome: 'redwingmill-outcome',
	/** Reason of an outcome that isn't `ran`. */
	reason: 'redwingmill-reason',
	/** Set on answers after several attempts; nodes nearer to the original caller don't retry them. */
	retried: 'redwingmill-retried',
	/** Calls a second that a worker takes from all nodes together; on responses of workers. */
	workerLimit: 'redwingmill-worker-limit',
	/** `1` on the responses of a worker that is about to stop. */
	workerLeaving: 'redwingmill-worker-leaving',
	/** Load of a worker: `running,waiting,slots[,hostPercent]`; on responses of workers. */
	workerLoad: 'redwingmill-worker-load',
	/** Key of the caller's workspace. */
	key: 'redwingmill-key',
	/** Name of the caller's workspace; on requests to workers. */
	workspace: 'redwingmill-workspace',
	/** Ticket of a call, which the caller has requested from an entry node. */
	idempotencyKey: 'idempotency-key',
} as const;

const redwingmillPrefix = 'redwingmill-';
const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'content-length',
]);

/**
 * Returns the headers to forward: all but hop-by-hop headers and redwingmill's own.
 *
 * @param removed - names, in lower case, of further headers to leave out.
 */
export function forwardedHeaders(
	headers: IncomingHttpHeaders,
	removed: readonly string[] = [],
): OutgoingHttpHeaders {
	const forwarded: OutgoingHttpHeaders = {};
	for (const name in headers) {
		if (isForwarded(name) && !removed.includes(name)) {
			forwarded[name] = headers[name];
		}
	}

	return forwarded;
}

function isForwarded(name: string): boolean {
	return !hopByHopHeaders.has(name) && !name.startsWith(redwingmillPrefix);
}

/** Returns a header as a number, or undefined when it is absent or not numeric. */
export function numberHeader(headers: IncomingHttpHeaders, name: string): number | undefined {
	const value = headers[name];
	const number = typeof value === 'string' && value !== '' ? Number(value) : Number.NaN;
	return Number.isFinite(number) ? number : undefined;
}

/** Returns a header as a string, or undefined when it is absent or repeated. */
export function textHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
}

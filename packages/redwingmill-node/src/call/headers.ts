import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';

/** Headers of redwingmill, in lower case. */
export const headerNames = {
	/** The attempt that a call is, see `AttemptHeader`; only between nodes. */
	attempt: 'redwingmill-attempt',
	/** What a gate answers, see `AnswerHeader`; only between nodes. */
	answer: 'redwingmill-answer',
	/** Age of a withdrawn attempt in milliseconds; only between nodes. */
	age: 'redwingmill-age-ms',
	/** Time left for a call in milliseconds; callers and workers may set it. */
	deadline: 'redwingmill-deadline-ms',
	/** `ran`, `not-run` or `unknown`; on every answer. */
	outcome: 'redwingmill-outcome',
	/** Reason of an outcome that isn't `ran`. */
	reason: 'redwingmill-reason',
	/** On answers that come after a further attempt; nodes above don't retry them. */
	retried: 'redwingmill-retried',
	/** A caller's ticket, see the operators' page. */
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

/** Headers that go on with a call or an answer: all but those of one connection or of a node. */
export function forwardedHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
	const forwarded: OutgoingHttpHeaders = {};
	for (const name in headers) {
		if (!hopByHopHeaders.has(name) && !name.startsWith(redwingmillPrefix)) {
			forwarded[name] = headers[name];
		}
	}

	return forwarded;
}

/** A header as a number, or undefined when it is absent or isn't one. */
export function numberHeader(headers: IncomingHttpHeaders, name: string): number | undefined {
	const value = headers[name];
	const number = typeof value === 'string' && value !== '' ? Number(value) : Number.NaN;
	return Number.isFinite(number) ? number : undefined;
}

/** A header as a text, or undefined when it is absent or repeated. */
export function textHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
}

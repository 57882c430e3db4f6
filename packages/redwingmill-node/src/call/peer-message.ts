import {type OutgoingHttpHeaders} from 'node:http';

/** Head of a request to another node's gate. The body of a call follows it. */
export type PeerRequest =
	| {
			readonly type: 'call';
			/** See `AttemptHeader`. */
			readonly attempt: string;
			readonly method: string;
			readonly path: string;
			readonly headers: OutgoingHttpHeaders;
	  }
	/** Withdraws an attempt that was sent `ageMs` ago. */
	| {readonly type: 'withdraw'; readonly attempt: string; readonly ageMs: number}
	/** The caller no longer waits for an attempt. No response follows. */
	| {readonly type: 'cancel'; readonly id: string}
	| {readonly type: 'ticket'};

/** Head of a gate's response. The worker's body follows an answer. */
export type PeerResponse =
	| {
			readonly type: 'answer';
			/** See `AnswerHeader`. */
			readonly answer: string;
			/** Status of the worker's response; 0 if there is none. */
			readonly status: number;
			readonly headers: OutgoingHttpHeaders;
	  }
	| {readonly type: 'ticket'; readonly sequence: number};

/** Formats a head: JSON, whose parser and formatter are fast also in a process that has just started. */
export function formatHead(head: PeerRequest | PeerResponse): string {
	switch (head.type) {
		case 'call': {
			return JSON.stringify([head.type, head.attempt, head.method, head.path, head.headers]);
		}

		case 'withdraw': {
			return JSON.stringify([head.type, head.attempt, head.ageMs]);
		}

		case 'cancel': {
			return JSON.stringify([head.type, head.id]);
		}

		case 'answer': {
			return JSON.stringify([head.type, head.answer, head.status, head.headers]);
		}

		case 'ticket': {
			return JSON.stringify('sequence' in head ? [head.type, head.sequence] : [head.type]);
		}
	}
}

/** Parses the head of a request. Returns undefined if it is malformed. */
export function parseRequest(text: string): PeerRequest | undefined {
	const [type, first, second, third, fourth] = parseFields(text);
	switch (type) {
		case 'call': {
			return isText(first) && isText(second) && isText(third) && isHeaders(fourth)
				? {type, attempt: first, method: second, path: third, headers: fourth}
				: undefined;
		}

		case 'withdraw': {
			return isText(first) && typeof second === 'number'
				? {type, attempt: first, ageMs: second}
				: undefined;
		}

		case 'cancel': {
			return isText(first) ? {type, id: first} : undefined;
		}

		case 'ticket': {
			return {type};
		}

		default: {
			return undefined;
		}
	}
}

/** Parses the head of a response. Returns undefined if it is malformed. */
export function parseResponse(text: string): PeerResponse | undefined {
	const [type, first, second, third] = parseFields(text);
	switch (type) {
		case 'answer': {
			return isText(first) && Number.isSafeInteger(second) && isHeaders(third)
				? {type, answer: first, status: second as number, headers: third}
				: undefined;
		}

		case 'ticket': {
			return Number.isSafeInteger(first) ? {type, sequence: first as number} : undefined;
		}

		default: {
			return undefined;
		}
	}
}

function parseFields(text: string): readonly unknown[] {
	try {
		const fields: unknown = JSON.parse(text);
		return Array.isArray(fields) ? fields : [];
	} catch {
		// Reported as malformed, like fields of another type.
		return [];
	}
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isHeaders(value: unknown): value is OutgoingHttpHeaders {
	return (
		typeof value === 'object' &&
		value !== null &&
		!Array.isArray(value) &&
		Object.values(value).every(
			(each) => isText(each) || (Array.isArray(each) && each.every((line) => isText(line))),
		)
	);
}

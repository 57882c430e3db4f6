import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {AbortedExchangeError} from '../errors.js';
import {forwardedHeaders} from './headers.js';
import {type CallRequest, type Payload} from './payload.js';

/** How an HTTP exchange ended. */
export type ExchangeResult =
	| {
			readonly type: 'complete';
			readonly payload: Payload;
			/** Headers as they came, with those of redwingmill. */
			readonly headers: IncomingHttpHeaders;
	  }
	/** No connection, so no byte was sent. */
	| {readonly type: 'refused'}
	/** The connection broke, or the exchange was aborted, before the answer was complete. */
	| {
			readonly type: 'broken';
			/** Whether the head of an answer had come. */
			readonly hasResponseHead: boolean;
	  }
	/** The answer belongs to another request; its connection was closed. */
	| {readonly type: 'foreign'}
	| {readonly type: 'too-large'};

/** Whether the head of an answer belongs to the request. */
export type ResponseCheck = (status: number, headers: IncomingHttpHeaders) => boolean;

/** An exchange under way. */
export type Exchange = {
	/** Gives it up and destroys its connection. */
	readonly abort: () => void;
};

/** What is taken for an answer. */
export type ExchangeLimits = {
	readonly answerLimitBytes: number;
	/** Absent takes every answer. */
	readonly isMatchingResponse?: ResponseCheck;
};

const acceptAll: ResponseCheck = () => true;

/** Sends a request and collects the whole answer. `onResult` is called exactly once. */
export function beginExchange(
	dispatcher: Dispatcher,
	request: CallRequest,
	limits: ExchangeLimits,
	onResult: (result: ExchangeResult) => void,
): Exchange {
	const handler = new ExchangeHandler(limits, onResult);
	const {method, path, headers, body} = request;
	const options = {
		method,
		path,
		headers: headers as Record<string, string>,
		body: body ?? null,
		// Deadlines are kept by the caller of this function.
		headersTimeout: 0,
		bodyTimeout: 0,
	};
	try {
		dispatcher.dispatch(options, handler);
	} catch {
		// The client takes no such request, or is closed: nothing was sent.
		handler.finishUnsent();
	}

	return handler;
}

class ExchangeHandler implements Dispatcher.DispatchHandler, Exchange {
	readonly #limitBytes: number;
	readonly #onResult: (result: ExchangeResult) => void;
	readonly #isMatchingResponse: ResponseCheck;
	#controller: Dispatcher.DispatchController | undefined;
	#chunks: Buffer[] = [];
	#bytes = 0;
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	#isFinished = false;

	constructor(
		{answerLimitBytes, isMatchingResponse: isOwnAnswer = acceptAll}: ExchangeLimits,
		onResult: (result: ExchangeResult) => void,
	) {
		this.#limitBytes = answerLimitBytes;
		this.#onResult = onResult;
		this.#isMatchingResponse = isOwnAnswer;
	}

	abort(): void {
		this.#finish({type: 'broken', hasResponseHead: this.#status > 0});
		this.#controller?.abort(new AbortedExchangeError('The exchange was given up'));
	}

	/** Nothing was sent. */
	finishUnsent(): void {
		this.#finish({type: 'refused'});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isFinished) {
			controller.abort(new AbortedExchangeError('The exchange was given up'));
		}
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (!this.#isMatchingResponse(status, headers)) {
			this.#finish({type: 'foreign'});
			controller.abort(new AbortedExchangeError('The answer belongs to another request'));
			return;
		}

		this.#status = status;
		this.#headers = headers;
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.#bytes += chunk.length;
		if (this.#bytes > this.#limitBytes) {
			this.#finish({type: 'too-large'});
			controller.abort(new AbortedExchangeError('The answer is too large'));
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const body = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
		const headers = forwardedHeaders(this.#headers);
		this.#finish({
			type: 'complete',
			payload: {status: this.#status, headers, body},
			headers: this.#headers,
		});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		const isRefused = isConnectFailure(error);
		this.#finish(
			isRefused ? {type: 'refused'} : {type: 'broken', hasResponseHead: this.#status > 0},
		);
	}

	#finish(result: ExchangeResult): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#chunks = [];
			this.#onResult(result);
		}
	}
}

const connectFailureCodes = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	'EHOSTUNREACH',
	'ENETUNREACH',
]);

function isConnectFailure(error: Error): boolean {
	return connectFailureCodes.has((error as NodeJS.ErrnoException).code ?? '');
}

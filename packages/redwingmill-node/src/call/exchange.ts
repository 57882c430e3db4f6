import {type Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {AbortedExchangeError} from '../errors.js';
import {BodyBuffer} from '../body-buffer.js';
import {responseBudget} from './byte-budget.js';
import {forwardedHeaders} from './headers.js';
import {isFirstOnConnection} from './http-pool.js';
import {isFinalStatus, isStatus, type CallRequest, type Payload} from './payload.js';

/** Result of an HTTP exchange. */
export type ExchangeResult =
	| {
			readonly type: 'complete';
			readonly payload: Payload;
			/** Headers as received, including redwingmill's own. */
			readonly headers: IncomingHttpHeaders;
	  }
	/** Nothing was sent: there was no connection, or the client is closed or rejected the request. */
	| {readonly type: 'refused'; readonly reason: string}
	/** The connection failed, or the exchange was aborted, before the response was complete. */
	| {readonly type: 'broken'; readonly reason: string}
	/** The response belongs to another request; its connection was closed. */
	| {readonly type: 'foreign'}
	/** The response's status is none of HTTP (RFC 9110, section 15); its connection was closed. */
	| {readonly type: 'malformed'}
	| {readonly type: 'too-large'};

/**
 * Checks whether a response belongs to the request.
 *
 * @param isFirst - whether it is the first response on its connection; false only for workers' connections.
 */
export type ResponseCheck = (
	status: number,
	headers: IncomingHttpHeaders,
	isFirst: boolean,
) => boolean;

/** An exchange in progress. */
export type Exchange = {
	/** Ends the exchange and destroys its connection. */
	readonly abort: () => void;
};

/** Limits on what is accepted as a response. */
export type ExchangeLimits = {
	readonly answerLimitBytes: number;
	/** Absent when every response is accepted. */
	readonly isMatchingResponse?: ResponseCheck;
	/**
	 * Time without any byte of the response after which the exchange breaks. Absent when the caller
	 * enforces a deadline.
	 */
	readonly silenceTimeoutMs?: number;
	/**
	 * Ends the exchange as soon as its response arrives, to free the link. An exchange without any byte of
	 * a response goes on: its time-out shows that the connection is silent.
	 */
	readonly abandoned?: AbortSignal;
};

const acceptAll: ResponseCheck = () => true;

/** Sends a request and collects the complete response. `onResult` is called exactly once. */
export function beginExchange(
	dispatcher: Dispatcher,
	request: CallRequest,
	limits: ExchangeLimits,
	onResult: (result: ExchangeResult) => void,
): Exchange {
	const {method, path, headers, body} = request;
	const options: Dispatcher.DispatchOptions = {
		method,
		path,
		headers: headers as Record<string, string>,
		body: body ?? null,
		headersTimeout: limits.silenceTimeoutMs ?? 0,
		bodyTimeout: limits.silenceTimeoutMs ?? 0,
	};
	const {isMatchingResponse = acceptAll} = limits;
	const handler = new ExchangeHandler(
		limits,
		(status, responseHeaders) =>
			isMatchingResponse(status, responseHeaders, isFirstOnConnection(options)),
		onResult,
	);
	try {
		dispatcher.dispatch(options, handler);
	} catch (error) {
		// The client rejects the request as invalid, or is closed.
		handler.finishUnsent(describeError(error));
	}

	return handler;
}

/**
 * Sends a request and resolves with the result; never rejects.
 *
 * @param signal - aborts the exchange.
 */
export async function exchange(
	dispatcher: Dispatcher,
	request: CallRequest,
	limits: ExchangeLimits,
	signal?: AbortSignal,
): Promise<ExchangeResult> {
	return new Promise((resolve) => {
		const handler = beginExchange(dispatcher, request, limits, (result) => {
			signal?.removeEventListener('abort', onAbort);
			resolve(result);
		});
		const onAbort = () => {
			handler.abort();
		};

		signal?.addEventListener('abort', onAbort);
	});
}

/** Returns the code of a system error, or the name and message of another one. */
export function describeError(error: unknown): string {
	const {code, name, message} = error as NodeJS.ErrnoException;
	return code ?? `${name}: ${message}`;
}

class ExchangeHandler implements Dispatcher.DispatchHandler, Exchange {
	readonly #limitBytes: number;
	readonly #onResult: (result: ExchangeResult) => void;
	readonly #isMatching: (status: number, headers: IncomingHttpHeaders) => boolean;
	readonly #abandoned: AbortSignal | undefined;
	#controller: Dispatcher.DispatchController | undefined;
	readonly #body = new BodyBuffer();
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	#isFinished = false;

	constructor(
		{answerLimitBytes, abandoned}: ExchangeLimits,
		isMatching: (status: number, headers: IncomingHttpHeaders) => boolean,
		onResult: (result: ExchangeResult) => void,
	) {
		this.#limitBytes = answerLimitBytes;
		this.#onResult = onResult;
		this.#isMatching = isMatching;
		this.#abandoned = abandoned;
		abandoned?.addEventListener('abort', () => {
			if (this.#status !== 0 && !this.#isFinished) {
				this.abort();
			}
		});
	}

	abort(): void {
		this.#finish({type: 'broken', reason: 'aborted'});
		this.#controller?.abort(new AbortedExchangeError('The exchange was aborted by this node'));
	}

	/** Ends an exchange of which nothing was sent. */
	finishUnsent(reason: string): void {
		this.#finish({type: 'refused', reason});
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isFinished) {
			controller.abort(new AbortedExchangeError('The exchange was aborted before it was sent'));
		}
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (!isStatus(status)) {
			this.#finish({type: 'malformed'});
			controller.abort(new AbortedExchangeError(`The response has the status ${status}`));
			return;
		}

		if (!isFinalStatus(status)) {
			return;
		}

		if (!this.#isMatching(status, headers)) {
			this.#finish({type: 'foreign'});
			controller.abort(new AbortedExchangeError('The response belongs to another request'));
			return;
		}

		this.#status = status;
		this.#headers = headers;
		if (this.#abandoned?.aborted) {
			this.abort();
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#isFinished) {
			return;
		}

		this.#body.append(chunk);
		const {bytes} = this.#body;
		if (!responseBudget.reserve(chunk.length, bytes) || bytes > this.#limitBytes) {
			this.#finish({type: 'too-large'});
			controller.abort(new AbortedExchangeError(`The response exceeds ${this.#limitBytes} bytes`));
		}
	}

	onResponseEnd(): void {
		const headers = forwardedHeaders(this.#headers);
		this.#finish({
			type: 'complete',
			payload: {status: this.#status, headers, body: this.#body.toBuffer()},
			headers: this.#headers,
		});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		// Until the exchange has started there was no connection to send it on. An error of a connection
		// says nothing about what was sent, not even an unreachable host.
		const type = this.#controller === undefined ? 'refused' : 'broken';
		this.#finish({type, reason: describeError(error)});
	}

	#finish(result: ExchangeResult): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			responseBudget.release(this.#body.bytes);
			this.#body.clear();
			this.#onResult(result);
		}
	}
}

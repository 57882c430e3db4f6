import {type Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Socket} from 'node:net';
import {buildConnector, Client, Pool, type Dispatcher} from 'undici';
import {TruncatedAnswerError} from '../errors.js';

/** State of a client's only connection. */
type ConnectionState = {
	/** Whether the connection ended with an error instead of being closed by the worker. */
	hasFailed: boolean;
	/** Whether a response has arrived on it. */
	hasResponded: boolean;
};

const connectTimeoutMs = 500;
const firstFinalStatus = 200;
/** Requests whose response follows another one on its connection. */
const followingRequests = new WeakSet<Dispatcher.DispatchOptions>();

/**
 * Whether the response to a worker's request is the first on its connection, so that it can't be an earlier
 * response that the worker sends once more.
 */
export function isFirstOnConnection(request: Dispatcher.DispatchOptions): boolean {
	return !followingRequests.has(request);
}

/** Creates a pool of connections to a worker, each of which carries one call at a time. */
export function createWorkerPool(address: string, connections: number): Pool {
	return new Pool(`http://${address}`, {
		connections,
		pipelining: 1,
		factory: (origin, options) => createClient(origin, options),
	});
}

/**
 * Creates a client that reports truncated responses as errors. A response without a declared length
 * ends with its connection, and undici treats a reset as a regular end; only the socket shows
 * whether the response was truncated.
 */
function createClient(origin: URL, options: Client.Options): Dispatcher {
	const state: ConnectionState = {hasFailed: false, hasResponded: false};
	const connect = buildConnector({timeout: connectTimeoutMs});
	const client = new Client(origin, {
		...options,
		connect(connection, callback) {
			connect(connection, (...result) => {
				state.hasFailed = false;
				state.hasResponded = false;
				watchForFailure(result[1] ?? undefined, state);
				callback(...result);
			});
		},
	});
	return client.compose(
		(dispatch) => (request, handler) =>
			dispatch(request, new CompleteResponseHandler(handler, state, request)),
	);
}

/**
 * Records the failure of a connection. A reset that arrives together with data is reported as a
 * regular end; the socket then has no remote address any more, unlike after a regular close.
 */
function watchForFailure(socket: Socket | undefined, state: ConnectionState): void {
	socket?.once('error', () => {
		state.hasFailed = true;
	});
	socket?.once('end', () => {
		state.hasFailed ||= socket.remoteAddress === undefined;
	});
}

/** Turns the end of a response into an error when the connection has failed. */
class CompleteResponseHandler implements Dispatcher.DispatchHandler {
	readonly #handler: Dispatcher.DispatchHandler;
	readonly #state: ConnectionState;
	readonly #request: Dispatcher.DispatchOptions;

	constructor(
		handler: Dispatcher.DispatchHandler,
		state: ConnectionState,
		request: Dispatcher.DispatchOptions,
	) {
		this.#handler = handler;
		this.#state = state;
		this.#request = request;
	}

	onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
		this.#handler.onRequestStart?.(controller, context);
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
		message?: string,
	): void {
		if (status >= firstFinalStatus) {
			if (this.#state.hasResponded) {
				followingRequests.add(this.#request);
			}

			this.#state.hasResponded = true;
		}

		this.#handler.onResponseStart?.(controller, status, headers, message);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		this.#handler.onResponseData?.(controller, chunk);
	}

	onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
		if (this.#state.hasFailed) {
			const error = new TruncatedAnswerError(
				'The connection failed before the response was complete',
			);
			this.#handler.onResponseError?.(controller, error);
			return;
		}

		this.#handler.onResponseEnd?.(controller, trailers);
	}

	onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
		this.#handler.onResponseError?.(controller, error);
	}
}

import {type Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Socket} from 'node:net';
import {buildConnector, Client, Pool, type Dispatcher} from 'undici';
import {ExcessFramingError, TruncatedAnswerError} from '../errors.js';
import {FramingMeter} from './framing-meter.js';

/** State of a client's only connection. */
type ConnectionState = {
	/** Whether the connection ended with an error instead of being closed by the worker. */
	hasFailed: boolean;
	/** Whether a response has arrived on it. */
	hasResponded: boolean;
	socket: Socket | undefined;
	/** Framing of the response that is awaited. */
	readonly meter: FramingMeter;
};

/** Options of the connections to one address. */
export type HttpConnectionOptions = {
	readonly connectTimeoutMs: number;
	/** Whether small writes are sent without delay; false by default. */
	readonly noDelay?: boolean;
};

const workerConnectTimeoutMs = 500;
/**
 * Above what the meter lets pass: undici handles a head over its own limit slowly, as it creates an error for
 * each further line.
 */
const maximumHeadBytes = 256 * 1024;
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
	return createHttpPool(address, connections, {connectTimeoutMs: workerConnectTimeoutMs});
}

/** Creates a pool of connections, each of which carries one request at a time; see {@link createClient}. */
export function createHttpPool(
	address: string,
	connections: number,
	connectionOptions: HttpConnectionOptions,
): Pool {
	return new Pool(`http://${address}`, {
		connections,
		pipelining: 1,
		factory: (origin, options) => createClient(origin, connectionOptions, options),
	});
}

/** Creates a client with one connection; see {@link createClient}. */
export function createHttpClient(address: string, options: HttpConnectionOptions): Dispatcher {
	return createClient(new URL(`http://${address}`), options);
}

/**
 * Creates a client that reports truncated responses as errors, and breaks a connection whose response has
 * framing without end. A response without a declared length ends with its connection, and undici treats a
 * reset as a regular end; only the socket shows whether the response was truncated.
 */
function createClient(
	origin: URL,
	{connectTimeoutMs, noDelay}: HttpConnectionOptions,
	options?: Client.Options,
): Dispatcher {
	const state: ConnectionState = {
		hasFailed: false,
		hasResponded: false,
		socket: undefined,
		meter: new FramingMeter(),
	};
	const connect = buildConnector({timeout: connectTimeoutMs, noDelay});
	const client = new Client(origin, {
		...options,
		maxHeaderSize: maximumHeadBytes,
		connect(connection, callback) {
			connect(connection, (...result) => {
				state.hasFailed = false;
				state.hasResponded = false;
				state.socket = result[1] ?? undefined;
				state.meter.begin(0);
				watchForFailure(state.socket, state);
				watchFraming(state.socket, state.meter);
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

/**
 * Breaks the connection when its response has too much framing. The listener runs before that of the
 * client, so what is still in the socket's buffer hasn't been parsed yet.
 */
function watchFraming(socket: Socket | undefined, meter: FramingMeter): void {
	socket?.on('readable', () => {
		if (meter.isExcessive(parsedBytesOf(socket))) {
			socket.destroy(new ExcessFramingError('The response has framing without end'));
		}
	});
}

function parsedBytesOf({bytesRead, readableLength}: Socket): number {
	return bytesRead - readableLength;
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
		const {socket, meter} = this.#state;
		meter.begin(socket === undefined ? 0 : parsedBytesOf(socket));
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
		this.#state.meter.addBody(chunk.length);
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

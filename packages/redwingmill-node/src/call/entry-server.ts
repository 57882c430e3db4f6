import {type Buffer} from 'node:buffer';
import {
	createServer,
	STATUS_CODES,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {parseTicket, type CallerLimits, type NotRunReason, type Outcome} from 'redwingmill-core';
import {type Route} from 'redwingmill-text';
import {listenOn} from '../listen.js';
import {type Log} from '../observe/log.js';
import {logEvents} from '../observe/log-event.js';
import {type Metrics} from '../observe/metrics.js';
import {type CallerProtocol} from './caller-protocol.js';
import {
	type CallerCall,
	type EntryAnswer,
	type EntryService,
	type RouteLookup,
} from './entry-service.js';
import {forwardedHeaders, headerNames, numberHeader, textHeader} from './headers.js';
import {type LinkSender} from './link-sender.js';
import {readConnectedRequest} from './read-request.js';
import {type OpenRequest, type PipelineLimits, type ServerConnection} from './server-connection.js';
import {ServerConnections} from './server-connections.js';

/** Path at which callers request tickets; the `path` parameter selects the route. */
export const ticketPath = '/.redwingmill/tickets';

const requestTimeoutMs = 30_000;
/** Accepted by the HTTP parser; each request is also checked against the operators' limit. */
const maximumHeaderBytes = 64 * 1024;
const defaultHeaderBytes = 16 * 1024;
/** Bytes of a header line besides its name and value: colon, space and line end. */
const headerLineBytes = 4;
const headerTooLargeStatus = 431;
const badRequestStatus = 400;
/** Statuses for errors of the HTTP parser, by their code; {@link badRequestStatus} for any other. */
const malformedStatuses: Readonly<Record<string, number>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- codes of Node.js */
	HPE_HEADER_OVERFLOW: headerTooLargeStatus,
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	/* eslint-enable @typescript-eslint/naming-convention */
};
/** Interval at which connections are checked for headers that take too long to arrive. */
const headerCheckIntervalMs = 1000;
/** Time to finish sending answers before a stop destroys the connections. */
const flushTimeoutMs = 300;
const closingCheckIntervalMs = 20;
/** Retry delay for calls refused during a stop, after which the node may have restarted. */
const restartRetryMs = 500;
/** Retry delay for calls refused for lack of room for their bodies. */
const entryFullRetryMs = 500;
const pipelineLimits: PipelineLimits = {
	handledAtOnce: 32,
	unsentBytes: 16 * 1024,
	pauseAt: 64,
	closeAt: 128,
};
/** Unsent bytes at which the HTTP server itself stops reading, beyond the limits of a connection. */
const highWaterMarkBytes = 1024 * 1024;
/** Added to the idle time-out that callers expect, for requests sent just before it passes. */
const idleGraceMs = 1000;
const defaultLimits: Omit<CallerLimits, 'bodyBytes'> = {
	headerBytes: defaultHeaderBytes,
	headerTimeoutMs: 10_000,
	idleTimeoutMs: 64_000,
};

/** Settings and dependencies that stay the same while the server runs. */
export type EntryServerOptions = {
	readonly bodyLimitBytes: number;
	readonly protocol: CallerProtocol;
	readonly metrics: Metrics;
	readonly log: Log;
	/** Sends bulk responses; absent if the bandwidth of the host's link isn't known. */
	readonly link?: LinkSender;
};

/** HTTP server through which callers use the mesh. */
export class EntryServer {
	readonly #service: EntryService;
	readonly #server: Server;
	readonly #options: EntryServerOptions;
	#bodyLimitBytes: number;
	#headerLimitBytes = defaultHeaderBytes;
	readonly #connections: ServerConnections;
	/** Calls whose body is arriving. */
	readonly #arriving = new Set<OpenRequest>();
	/** Monotonic milliseconds at which a stop no longer waits for calls; undefined while there is no stop. */
	#stopEndsAt: number | undefined;
	#isRefusing = false;

	constructor(service: EntryService, options: EntryServerOptions) {
		this.#service = service;
		this.#options = options;
		this.#bodyLimitBytes = options.bodyLimitBytes;
		this.#connections = new ServerConnections(pipelineLimits, (arrival) => {
			this.#handle(arrival);
		});
		this.#server = createServer(
			{
				connectionsCheckingInterval: headerCheckIntervalMs,
				requestTimeout: requestTimeoutMs,
				maxHeaderSize: maximumHeaderBytes,
				highWaterMark: highWaterMarkBytes,
				noDelay: true,
			},
			(request, response) => {
				this.#connections.accept(request, response);
			},
		);
		this.#server.on('connection', (socket: Socket) => {
			this.#connections.open(socket);
		});
		this.applyLimits({...defaultLimits, bodyBytes: options.bodyLimitBytes});
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this.#onClientError(error, socket);
		});
	}

	/** Applies limits on what callers may send and how long they may take. */
	applyLimits({headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#headerLimitBytes = Math.min(headerBytes, maximumHeaderBytes);
		this.#bodyLimitBytes = Math.min(bodyBytes, this.#options.bodyLimitBytes);
		this.#server.headersTimeout = headerTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs + idleGraceMs;
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openRequestCount(): number {
		return this.#connections.openRequestCount;
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, 'callers');
	}

	/**
	 * Begins a stop: closes each connection once all requests that have arrived on it are answered, and
	 * refuses calls whose work can't end before the stop does.
	 *
	 * @param endsAt - monotonic milliseconds at which the stop no longer waits for calls.
	 */
	beginStop(endsAt: number): void {
		this.#stopEndsAt = endsAt;
	}

	/** Answers all calls that are still open when a stop no longer waits for them. */
	answerOpenCalls(): void {
		for (const arrival of this.#arriving) {
			this.#refuseDuringStop(arrival, performance.now());
		}

		this.#arriving.clear();
		this.#service.stopCalls();
	}

	/** Accepts no new connections, and refuses new calls on those that are open. */
	refuseCalls(): void {
		this.#isRefusing = true;
		this.#stopListening();
		this.#connections.closeIdle();
	}

	/** Closes all connections, after a short time for answers that are still being sent. */
	async close(): Promise<void> {
		this.#stopListening();
		const giveUpAt = performance.now() + flushTimeoutMs;
		while (performance.now() < giveUpAt && this.#connections.size > 0) {
			this.#connections.closeIdle();

			await delay(closingCheckIntervalMs);
		}

		this.#server.closeAllConnections();
	}

	/** Accepts no new connections. `close` of the HTTP server would also cut responses that are being sent. */
	#stopListening(): void {
		NetServer.prototype.close.call(this.#server);
	}

	#handle(arrival: OpenRequest): void {
		const {request, response, arrivedAt: startedAt} = arrival;
		const path = request.url ?? '/';
		const isTicket = path.startsWith(`${ticketPath}?`);
		const target = isTicket ? (new URL(path, 'http://node').searchParams.get('path') ?? '') : path;
		const key = textHeader(request.headers, this.#options.protocol.keyHeader);
		const lookup = this.#service.findRoute(request.method ?? 'GET', target, hostOf(request), key);
		if (headerBytesOf(request) > this.#headerLimitBytes) {
			request.resume();
			const headers = arrival.closeConnection() ? {connection: 'close'} : {};
			response.writeHead(headerTooLargeStatus, headers).end();
		} else if (this.#isRefusing) {
			this.#refuseDuringStop(arrival, startedAt);
		} else if (lookup.type === 'refused') {
			const outcome = refusalOf(request, lookup.reason);
			request.resume();
			this.#respond(
				arrival,
				{outcome, retryAfterMs: lookup.retryAfterMs, isRetried: false},
				startedAt,
			);
		} else if (isTicket) {
			request.resume();
			this.#sendTicket(response, lookup.route);
		} else {
			this.#admit(arrival, lookup, startedAt);
		}
	}

	/** Forwards a call within its workspace's quota, and refuses any other before its body is read. */
	#admit(
		arrival: OpenRequest,
		lookup: Extract<RouteLookup, {type: 'found'}>,
		startedAt: number,
	): void {
		const decision = this.#service.admitToQuota(lookup.workspace);
		if (decision.type === 'admitted') {
			this.#forward(arrival, lookup, startedAt);
			return;
		}

		const {retryAfterMs} = decision;
		const {log, protocol} = this.#options;
		const {request} = arrival;
		const outcome = refusalOf(request, 'quota-exceeded');
		request.resume();
		log.writeCall(logEvents.callOverQuota, true, () => ({
			request: textHeader(request.headers, protocol.requestIdHeader),
			workspace: lookup.workspace?.name,
			path: lookup.route.path,
			reason: 'quota-exceeded',
			retryAfterMs: Math.round(retryAfterMs),
		}));
		this.#respond(arrival, {outcome, retryAfterMs, isRetried: false}, startedAt);
	}

	/** Whether a call that begins now usually ends before a stop no longer waits for it. */
	#canEnd(route: Route): boolean {
		return (
			this.#stopEndsAt === undefined ||
			performance.now() + this.#service.usualAnswerMs(route) < this.#stopEndsAt
		);
	}

	/** Refuses a call during a stop and asks the caller to retry after {@link restartRetryMs}. */
	#refuseDuringStop(arrival: OpenRequest, startedAt: number): void {
		const {request} = arrival;
		const outcome = refusalOf(request, 'not-serving');
		request.resume();
		this.#respond(arrival, {outcome, retryAfterMs: restartRetryMs, isRetried: false}, startedAt);
	}

	#sendTicket(response: ServerResponse, route: Route): void {
		this.#service.requestTicket(route, (ticket) => {
			if (ticket === undefined) {
				response.writeHead(503, {'retry-after': '1'}).end();
				return;
			}

			response.writeHead(201, {'content-type': 'application/json'});
			response.end(JSON.stringify({ticket}));
		});
	}

	#forward(
		arrival: OpenRequest,
		{route, workspace}: Extract<RouteLookup, {type: 'found'}>,
		startedAt: number,
	): void {
		const {request} = arrival;
		if (!this.#canEnd(route)) {
			this.#service.refundQuota(workspace);
			this.#refuseDuringStop(arrival, startedAt);
			return;
		}

		const requestedMs = numberHeader(request.headers, this.#options.protocol.deadlineHeader);
		const waitMs = Math.min(route.deadlineMs, requestedMs ?? route.deadlineMs);
		const linkWaitMs = route.isBulk ? (this.#options.link?.expectedWaitMs(startedAt) ?? 0) : 0;
		if (linkWaitMs > waitMs) {
			const outcome = refusalOf(request, 'queue-too-slow');
			request.resume();
			this.#respond(arrival, {outcome, retryAfterMs: linkWaitMs, isRetried: false}, startedAt);
			return;
		}

		const requestKey = `${request.method ?? 'GET'} ${hostOf(request) ?? ''}${request.url ?? '/'}`;
		const firstTryAt = this.#service.firstTryAt(requestKey, startedAt);
		const {targetMs} = route;
		const details = {
			requestKey,
			startedAt,
			firstTryAt,
			deadlineAt: startedAt + waitMs,
			// The target time runs from the caller's first try, also for its retries.
			targetAt: targetMs === undefined ? undefined : firstTryAt + targetMs,
		};
		this.#arriving.add(arrival);
		readConnectedRequest(request, this.#bodyLimitBytes, (result) => {
			if (!this.#arriving.delete(arrival)) {
				// It has been answered, as the node stops.
				return;
			}

			switch (result.type) {
				case 'complete': {
					if (this.#canEnd(route)) {
						this.#begin(arrival, result.body, {route, workspace, ...details});
					} else {
						this.#service.refundQuota(workspace);
						this.#refuseDuringStop(arrival, startedAt);
					}

					break;
				}

				case 'too-large': {
					this.#service.refundQuota(workspace);
					this.#refuseUnread(arrival, 'body-too-large', startedAt);
					break;
				}

				case 'no-room': {
					this.#service.refundQuota(workspace);
					this.#refuseUnread(arrival, 'entry-full', startedAt, entryFullRetryMs);
					break;
				}

				case 'broken': {
					this.#service.refundQuota(workspace);
					request.destroy();
					break;
				}
			}
		});
	}

	/** Refuses a call whose body isn't read to its end, so that nothing can follow on its connection. */
	#refuseUnread(
		arrival: OpenRequest,
		reason: NotRunReason,
		startedAt: number,
		retryAfterMs?: number,
	): void {
		const {request, response} = arrival;
		const outcome = refusalOf(request, reason);
		arrival.closeConnection();
		response.setHeader('connection', 'close');
		this.#respond(arrival, {outcome, retryAfterMs, isRetried: false}, startedAt);
	}

	#begin(
		arrival: OpenRequest,
		body: Buffer | undefined,
		call: Omit<CallerCall, 'request' | 'requestId'>,
	): void {
		const {request} = arrival;
		const {protocol} = this.#options;
		const handle = this.#service.begin(
			{
				...call,
				requestId: textHeader(request.headers, protocol.requestIdHeader),
				request: {
					method: request.method ?? 'GET',
					path: request.url ?? '/',
					headers: forwardedHeaders(
						request.headers,
						this.#service.hasWorkspaces ? protocol.removedHeaders : [],
					),
					body,
				},
			},
			(answer) => {
				this.#respond(arrival, answer, call.startedAt, call);
			},
		);
		arrival.onAbandoned(() => {
			handle.cancel();
		});
	}

	/** @param call - absent for a call that this node refuses. */
	#respond(
		arrival: OpenRequest,
		answer: EntryAnswer,
		startedAt: number,
		call?: Pick<CallerCall, 'route' | 'targetAt' | 'deadlineAt'>,
	): void {
		const {response} = arrival;
		const {metrics, link} = this.#options;
		metrics.countCall(answer.outcome, (performance.now() - startedAt) / 1000);
		if (response.destroyed) {
			return;
		}

		const bytes = answer.payload?.body.length ?? 0;
		if (link && call?.route.isBulk) {
			const {targetAt, deadlineAt} = call;
			link.send(response, bytes, {dueAt: targetAt ?? deadlineAt, deadlineAt}, () => {
				this.#write(arrival, answer);
			});
		} else {
			this.#write(arrival, answer);
		}
	}

	#write(arrival: OpenRequest, answer: EntryAnswer): void {
		const {response} = arrival;
		const {outcome, payload, isRetried} = answer;
		const {protocol} = this.#options;

		const retryAfterMs = this.#withJitter(answer.retryAfterMs);
		const bodyBytes = payload?.body.length ?? 0;
		const headers = {
			...payload?.headers,
			...protocol.headersOf({outcome, isRetried, retryAfterMs}),
			'content-length': bodyBytes,
			...(this.#stopEndsAt !== undefined && arrival.closeConnection() ? {connection: 'close'} : {}),
		};
		response.writeHead(payload?.status ?? protocol.statusOf(outcome), headers);
		response.end(payload?.body);
		arrival.onWritten(bodyBytes);
	}

	/** Adds jitter, so that callers that were refused together don't retry together. */
	#withJitter(retryAfterMs: number | undefined): number | undefined {
		return retryAfterMs === undefined ? undefined : retryAfterMs * (1 + this.#service.jitter());
	}

	#onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this.#connections.get(socket);
		const hasLeft =
			error.code === 'ECONNRESET' ||
			(error.code === 'HPE_INVALID_EOF_STATE' && (connection?.openCount ?? 0) > 0);
		if (!connection || !socket.writable || hasLeft) {
			socket.destroy();
			return;
		}

		switch (error.code) {
			case 'ERR_HTTP_REQUEST_TIMEOUT': {
				const {headersTimeout} = this.#server;
				const limitMs = connection.isReceivingBody ? requestTimeoutMs : headersTimeout;
				connection.onLateMessage(limitMs, () => {
					this.#endMalformed(connection, error);
				});
				break;
			}

			default: {
				this.#endMalformed(connection, error);
			}
		}
	}

	/**
	 * Ends a connection on which what arrives can't be read, or doesn't come to its end. The error belongs to the
	 * request whose body is arriving, otherwise to the next one.
	 */
	#endMalformed(connection: ServerConnection, error: NodeJS.ErrnoException): void {
		if (connection.isClosing) {
			return;
		}

		const {arriving, openCount} = connection;
		this.#options.log.write(logEvents.malformedRequest, {
			code: error.code,
			openRequests: openCount,
		});
		const status = malformedStatuses[error.code ?? ''] ?? badRequestStatus;
		if (arriving === undefined) {
			const reason = STATUS_CODES[status] ?? '';
			connection.end(
				`HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
			);
			return;
		}

		connection.end();
		if (this.#arriving.delete(arriving)) {
			arriving.response.writeHead(status, {connection: 'close', 'content-length': 0}).end();
		}
	}
}

/**
 * Returns the outcome of a call that this node refuses. A call with a ticket may have run when it was
 * sent before, which only its gate knows; any other call has not run.
 */
function refusalOf({headers}: IncomingMessage, reason: NotRunReason): Outcome {
	const ticket = parseTicket(textHeader(headers, headerNames.idempotencyKey) ?? '');
	return ticket ? {type: 'unknown', reason: 'gate-unreached'} : {type: 'not-run', reason};
}

/** Returns the size of a request's headers on the wire, in bytes. */
function headerBytesOf({rawHeaders}: IncomingMessage): number {
	const lines = rawHeaders.length / 2;
	return rawHeaders.reduce((sum, text) => sum + text.length, lines * headerLineBytes);
}

/** Returns the host that a request names, in lower case and without the port. */
function hostOf({headers}: IncomingMessage): string | undefined {
	return headers.host?.replace(/:\d+$/v, '').toLowerCase();
}

import {type Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Answer} from 'redwingmill-core';
import {type ConfigurationReply} from '../control/configuration-history.js';
import {encodeReply} from '../control/encoded-reply.js';
import {listenOn} from '../listen.js';
import {formatAnswer} from './answer-header.js';
import {parseAttempt, type AttemptHeader} from './attempt-header.js';
import {type GateRequest, type GateService} from './gate-service.js';
import {forwardedHeaders, headerNames, numberHeader, textHeader} from './headers.js';
import {type LinkSender, type ResponseTimes} from './link-sender.js';
import {OpenRequests} from './open-requests.js';
import {type Payload} from './payload.js';
import {readConnectedRequest} from './read-request.js';

/** Paths reserved on the gate's port; requests to any other path are calls. */
export const gatePaths = {
	withdraw: '/.redwingmill/withdraw',
	cancel: '/.redwingmill/cancel',
	ticket: '/.redwingmill/ticket',
	/** Returns the configuration that the node holds; see {@link configurationPath}. */
	configuration: '/.redwingmill/configuration',
} as const;

const sinceParameter = 'since';

/** Returns the path for requesting the configuration, or only its change since a version. */
export function configurationPath(since: number | undefined): string {
	const query = since === undefined ? '' : `?${sinceParameter}=${since}`;
	return `${gatePaths.configuration}${query}`;
}

/** Returns the version in a path built by {@link configurationPath}, if there is one. */
function parseSince(path: string): number | undefined {
	const value = new URL(path, 'http://gate').searchParams.get(sinceParameter);
	const since = Number(value);
	return value !== null && Number.isSafeInteger(since) ? since : undefined;
}

/** Status of answers that carry an outcome but no response of a worker. */
const noResponseStatus = 503;
const keepAliveMs = 65_000;
/** Room for a caller's headers, as limited by the entry node, and for the headers between nodes. */
const maximumHeaderBytes = 80 * 1024;
const badRequestStatus = 400;

/** State of the node that the gate's server checks or returns to other nodes. */
export type GateNode = {
	readonly incarnation: () => number;
	/** Returns the configuration held, or its change since a version, in the form that nodes exchange. */
	readonly configurationSince: (since: number | undefined) => ConfigurationReply;
	/** Sends bulk responses; absent if the bandwidth of the host's link isn't known. */
	readonly link?: LinkSender;
};

/** HTTP server through which other nodes use the gate. */
export class GateServer {
	readonly #service: GateService;
	readonly #server: Server;
	readonly #bodyLimitBytes: number;
	readonly #node: GateNode;
	readonly #openRequests = new OpenRequests();

	constructor(service: GateService, bodyLimitBytes: number, node: GateNode) {
		this.#service = service;
		this.#bodyLimitBytes = bodyLimitBytes;
		this.#node = node;
		this.#server = createServer(
			{keepAliveTimeout: keepAliveMs, maxHeaderSize: maximumHeaderBytes, noDelay: true},
			(request, response) => {
				this.#openRequests.add(request, response);
				this.#handle(request, response);
			},
		);
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openRequestCount(): number {
		return this.#openRequests.count;
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, 'calls');
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		switch (request.url) {
			case gatePaths.ticket: {
				sendJson(response, {sequence: this.#service.issueTicket()});
				break;
			}

			default: {
				if (request.url?.startsWith(gatePaths.configuration)) {
					const reply = this.#node.configurationSince(parseSince(request.url));
					const {headers, body} = encodeReply(reply, request.headers);
					response.writeHead(200, headers).end(body);
				} else {
					this.#handleAttempt(request, response);
				}
			}
		}
	}

	#handleAttempt(request: IncomingMessage, response: ServerResponse): void {
		const attempt = parseAttempt(textHeader(request.headers, headerNames.attempt) ?? '');
		if (attempt === undefined) {
			request.resume();
			response.writeHead(badRequestStatus).end();
			return;
		}

		switch (request.url) {
			case gatePaths.withdraw: {
				this.#withdraw(request, response, attempt);
				break;
			}

			case gatePaths.cancel: {
				this.#service.cancel(attempt.id);
				response.writeHead(204).end();
				break;
			}

			default: {
				this.#submit(request, response, attempt);
			}
		}
	}

	#submit(request: IncomingMessage, response: ServerResponse, attempt: AttemptHeader): void {
		const now = performance.now();
		if (!this.#isForThisIncarnation(attempt)) {
			request.resume();
			this.#respond(response, {outcome: {type: 'unknown', reason: 'gate-gone'}});
			return;
		}

		readConnectedRequest(request, this.#bodyLimitBytes, (result) => {
			switch (result.type) {
				case 'complete': {
					const gateRequest = toGateRequest(request, result.body, attempt, now);
					this.#service.submit(gateRequest, (answer) => {
						this.#respondInTurn(response, answer, gateRequest);
					});
					break;
				}

				case 'too-large': {
					this.#respond(response, {outcome: {type: 'not-run', reason: 'body-too-large'}});
					break;
				}

				case 'broken': {
					request.destroy();
					break;
				}
			}
		});
	}

	/** Tickets and withdrawals are bound to one incarnation; a restarted node can't serve them. */
	#isForThisIncarnation({incarnation}: AttemptHeader): boolean {
		return incarnation === undefined || incarnation === this.#node.incarnation();
	}

	#withdraw(request: IncomingMessage, response: ServerResponse, attempt: AttemptHeader): void {
		const {headers} = request;
		request.resume();
		if (!this.#isForThisIncarnation(attempt)) {
			this.#respond(response, {outcome: {type: 'unknown', reason: 'gate-gone'}});
			return;
		}

		const ageMs = numberHeader(headers, headerNames.age) ?? Number.POSITIVE_INFINITY;
		const result = this.#service.withdraw(attempt, ageMs, (answer) => {
			this.#respond(response, answer);
		});
		switch (result) {
			case 'never-admitted': {
				this.#respond(response, {outcome: {type: 'not-run', reason: 'withdrawn'}});
				break;
			}

			case 'forgotten': {
				this.#respond(response, {outcome: {type: 'unknown', reason: 'evicted'}});
				break;
			}

			case 'open': {
				// The answer may take as long as the worker runs the call.
				response.writeProcessing();
				break;
			}

			case 'done': {
				break;
			}
		}
	}

	/** Sends an answer; large ones of bulk calls wait for their turn on the link. */
	#respondInTurn(
		response: ServerResponse,
		answer: Answer<Payload>,
		{isBulk = false, targetAt, deadlineAt}: GateRequest,
	): void {
		const {link} = this.#node;
		const write = () => {
			this.#respond(response, answer);
		};

		if (link === undefined || !isBulk || response.destroyed) {
			write();
			return;
		}

		const times: ResponseTimes = {dueAt: targetAt ?? deadlineAt, deadlineAt};
		link.send(response, answer.payload?.body.length ?? 0, times, write);
	}

	#respond(response: ServerResponse, answer: Answer<Payload>): void {
		if (response.destroyed || response.headersSent) {
			return;
		}

		const {payload} = answer;
		const {load, notice} = this.#service;
		const headers = {
			...payload?.headers,
			[headerNames.answer]: formatAnswer({...answer, load, notice}),
			'content-length': payload?.body.length ?? 0,
		};
		// Nodes use fixed keep-alive times, and these headers would make every answer longer.
		for (const name of ['connection', 'keep-alive', 'date']) {
			response.removeHeader(name);
		}

		response.writeHead(payload?.status ?? noResponseStatus, headers);
		response.end(payload?.body);
	}
}

function toGateRequest(
	{headers, method, url}: IncomingMessage,
	body: Buffer | undefined,
	{deadlineMs, targetMs, ...attempt}: AttemptHeader,
	now: number,
): GateRequest {
	return {
		...attempt,
		deadlineAt: now + deadlineMs,
		targetAt: targetMs === undefined ? undefined : now + targetMs,
		request: {
			method: method ?? 'GET',
			path: url ?? '/',
			headers: forwardedHeaders(headers),
			body,
		},
	};
}

function sendJson(response: ServerResponse, value: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Answer} from 'redwingmill-core';
import {FrameConnection, frameTypes, type FrameReceiver} from '../frames/index.js';
import {formatAnswer} from './answer-header.js';
import {parseAttempt, type AttemptHeader} from './attempt-header.js';
import {type GateRequest, type GateService} from './gate-service.js';
import {type LinkSender, type OutgoingResponse} from './link-sender.js';
import {type Payload} from './payload.js';
import {formatHead, parseRequest, type PeerRequest} from './peer-message.js';
import {afterNextPoll} from './read-request.js';

/** Limits and state of the node that a {@link GateConnection} needs. */
export type GateConnectionOptions = {
	readonly bodyLimitBytes: number;
	readonly incarnation: () => number;
	/** Sends bulk responses; absent if the bandwidth of the host's link isn't known. */
	readonly link?: LinkSender;
};

type ResponseEvent = 'finish' | 'close';

type CallHead = Extract<PeerRequest, {type: 'call'}>;

/** A call whose body is arriving. */
type ArrivingCall = {
	readonly head: CallHead;
	readonly attempt: AttemptHeader;
	readonly response: FrameResponse;
	readonly arrivedAt: number;
};

/** Response to a request, sent once; nothing is sent after the other side has left. */
class FrameResponse implements OutgoingResponse {
	/** When its request began to arrive, in monotonic milliseconds. */
	readonly openedAt = performance.now();
	destroyed = false;
	writableFinished = false;
	isSent = false;
	readonly #listeners: Readonly<Record<ResponseEvent, Array<() => void>>> = {finish: [], close: []};

	once(event: ResponseEvent, listener: () => void): void {
		this.#listeners[event].push(listener);
	}

	finish(): void {
		this.writableFinished = true;
		this.#emit('finish');
		this.close();
	}

	close(): void {
		if (!this.destroyed) {
			this.destroyed = true;
			this.#emit('close');
		}
	}

	#emit(event: ResponseEvent): void {
		for (const listener of this.#listeners[event].splice(0)) {
			listener();
		}
	}
}

/** Serves the requests of another node that arrive on one connection. */
export class GateConnection {
	readonly #socket: Socket;
	readonly #connection: FrameConnection;
	readonly #service: GateService;
	readonly #options: GateConnectionOptions;
	readonly #arriving = new Map<number, ArrivingCall>();
	readonly #responses = new Map<number, FrameResponse>();

	constructor(socket: Socket, service: GateService, options: GateConnectionOptions) {
		this.#socket = socket;
		this.#service = service;
		this.#options = options;
		const receiver: FrameReceiver = {
			onHead: (exchange, head, bodyBytes) => this.#onHead(exchange, head, bodyBytes),
			onMessage: (exchange, _head, body) => {
				this.#onCall(exchange, body);
			},
			onReset: (exchange) => {
				this.#close(exchange);
			},
		};
		this.#connection = new FrameConnection(socket, receiver, options.link?.pacer);
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openRequestCount(): number {
		return this.#responses.size;
	}

	/** Reads bytes that have arrived on the connection. */
	receive(bytes: Buffer): void {
		this.#connection.receive(bytes);
	}

	onClosed(): void {
		for (const exchange of this.#responses.keys()) {
			this.#close(exchange);
		}
	}

	/** Handles a request, of a call only the head. Returns whether its body is to be read. */
	#onHead(exchange: number, text: string, bodyBytes: number): boolean {
		const head = parseRequest(text);
		if (head === undefined) {
			this.#connection.reset(exchange);
			return false;
		}

		switch (head.type) {
			case 'call': {
				return this.#beginCall(exchange, head, bodyBytes);
			}

			case 'withdraw': {
				this.#withdraw(exchange, head);
				return false;
			}

			case 'cancel': {
				this.#service.cancel(head.id);
				return false;
			}

			case 'ticket': {
				const sequence = this.#service.issueTicket();
				this.#connection.send(exchange, {head: formatHead({type: 'ticket', sequence})});
				return false;
			}
		}
	}

	#beginCall(exchange: number, head: CallHead, bodyBytes: number): boolean {
		const attempt = parseAttempt(head.attempt);
		if (attempt === undefined) {
			this.#connection.reset(exchange);
			return false;
		}

		const response = this.#open(exchange);
		if (!this.#isForThisIncarnation(attempt)) {
			this.#respond(exchange, response, {outcome: {type: 'unknown', reason: 'gate-gone'}});
			return false;
		}

		if (bodyBytes > this.#options.bodyLimitBytes) {
			this.#respond(exchange, response, {outcome: {type: 'not-run', reason: 'body-too-large'}});
			return false;
		}

		this.#arriving.set(exchange, {head, attempt, response, arrivedAt: performance.now()});
		return true;
	}

	/** Submits a call whose body has arrived, unless its sender turns out to have left. */
	#onCall(exchange: number, body: Buffer): void {
		const call = this.#arriving.get(exchange);
		this.#arriving.delete(exchange);
		if (call === undefined) {
			return;
		}

		const {response} = call;
		afterNextPoll(() => {
			if (response.destroyed || this.#socket.destroyed || this.#socket.readableEnded) {
				return;
			}

			const request = toGateRequest(call, body);
			this.#service.submit(request, (answer) => {
				this.#respondInTurn(exchange, response, answer, request);
			});
		});
	}

	/** Tickets and withdrawals are bound to one incarnation; a restarted node can't serve them. */
	#isForThisIncarnation({incarnation}: AttemptHeader): boolean {
		return incarnation === undefined || incarnation === this.#options.incarnation();
	}

	#withdraw(exchange: number, {attempt: text, ageMs}: Extract<PeerRequest, {type: 'withdraw'}>) {
		const attempt = parseAttempt(text);
		if (attempt === undefined) {
			this.#connection.reset(exchange);
			return;
		}

		const response = this.#open(exchange);
		if (!this.#isForThisIncarnation(attempt)) {
			this.#respond(exchange, response, {outcome: {type: 'unknown', reason: 'gate-gone'}});
			return;
		}

		const result = this.#service.withdraw(attempt, ageMs, (answer) => {
			this.#respond(exchange, response, answer);
		});
		switch (result) {
			case 'never-admitted': {
				this.#respond(exchange, response, {outcome: {type: 'not-run', reason: 'withdrawn'}});
				break;
			}

			case 'forgotten': {
				this.#respond(exchange, response, {outcome: {type: 'unknown', reason: 'evicted'}});
				break;
			}

			case 'open': {
				// The answer may take as long as the worker runs the call.
				this.#connection.sendSignal(frameTypes.accepted, exchange);
				break;
			}

			case 'done': {
				break;
			}
		}
	}

	/** Sends an answer; large ones of bulk calls wait for their turn on the link. */
	#respondInTurn(
		exchange: number,
		response: FrameResponse,
		answer: Answer<Payload>,
		{isBulk = false, targetAt, deadlineAt}: GateRequest,
	): void {
		const {link} = this.#options;
		const write = () => {
			this.#respond(exchange, response, answer);
		};

		if (link === undefined || !isBulk || response.destroyed) {
			write();
			return;
		}

		const times = {dueAt: targetAt ?? deadlineAt, deadlineAt};
		link.send(response, answer.payload?.body.length ?? 0, times, write);
	}

	#respond(exchange: number, response: FrameResponse, answer: Answer<Payload>): void {
		if (response.isSent || response.destroyed) {
			return;
		}

		response.isSent = true;
		const {payload} = answer;
		const {load, notice} = this.#service;
		const head = formatHead({
			type: 'answer',
			answer: formatAnswer({
				...answer,
				load,
				notice,
				heldMs: performance.now() - response.openedAt,
			}),
			status: payload?.status ?? 0,
			headers: payload?.headers ?? {},
		});
		this.#connection.send(exchange, {
			head,
			body: payload?.body,
			onTaken: () => {
				this.#responses.delete(exchange);
				response.finish();
			},
		});
	}

	#open(exchange: number): FrameResponse {
		const response = new FrameResponse();
		this.#responses.set(exchange, response);
		return response;
	}

	#close(exchange: number): void {
		const response = this.#responses.get(exchange);
		this.#responses.delete(exchange);
		this.#arriving.delete(exchange);
		response?.close();
	}
}

function toGateRequest(
	{head, attempt: {deadlineMs, targetMs, ...attempt}, arrivedAt}: ArrivingCall,
	body: Buffer,
): GateRequest {
	return {
		...attempt,
		deadlineAt: arrivedAt + deadlineMs,
		targetAt: targetMs === undefined ? undefined : arrivedAt + targetMs,
		request: {
			method: head.method,
			path: head.path,
			headers: head.headers,
			body: body.length === 0 ? undefined : body,
		},
	};
}

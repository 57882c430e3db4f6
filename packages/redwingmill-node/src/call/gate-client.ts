import {
	type AttemptResult,
	type CallWorkspace,
	type Endpoint,
	type GateAnswer,
	type KnownLimit,
	type WithdrawResult,
} from 'redwingmill-core';
import {type OutgoingMessage} from '../frames/index.js';
import {parseAnswer} from './answer-header.js';
import {formatAttempt, relativeTimes} from './attempt-header.js';
import {type Exchange} from './exchange.js';
import {isFinalStatus, type CallRequest, type Payload} from './payload.js';
import {PeerConnection, type PeerListener, type PeerResult} from './peer-connection.js';
import {formatHead, parseResponse} from './peer-message.js';

/** An attempt to run a call at a gate. Times are monotonic milliseconds. */
export type Attempt = {
	readonly id: string;
	readonly endpoint: Endpoint;
	readonly ticket?: number;
	readonly group: string;
	readonly rank: number;
	readonly workspace?: CallWorkspace;
	readonly isBulk?: boolean;
	readonly caller?: string;
	/** Control addresses of the nodes whose workers crashed while they ran this call. */
	readonly crashedNodes: readonly string[];
	/** Limit that the worker has stated last; absent when none is known. */
	readonly knownLimit?: KnownLimit;
	readonly targetAt?: number;
	readonly deadlineAt: number;
	readonly startedAt: number;
	readonly request: CallRequest;
};

/** Interval at which connections on which a response is awaited are checked for silence. */
const silenceCheckIntervalMs = 100;

/** Sends attempts to the gates of other nodes, on one connection to each. */
export class GateClient {
	readonly #answerLimitBytes: number;
	readonly #connections = new Map<string, PeerConnection>();
	/** Control address of each gate's node, by gate address. */
	readonly #nodes = new Map<string, string>();
	#silenceTimer: NodeJS.Timeout | undefined;

	constructor(answerLimitBytes: number) {
		this.#answerLimitBytes = answerLimitBytes;
	}

	/** Closes the connections to gates whose addresses are not in `addresses`. */
	retain(addresses: ReadonlySet<string>): void {
		for (const [address, connection] of this.#connections) {
			if (!addresses.has(address)) {
				this.#connections.delete(address);
				this.#nodes.delete(address);
				connection.close();
			}
		}
	}

	/** Destroys the connection to an unresponsive node, as it will not recover. */
	destroyConnections(node: string): void {
		for (const [address, connection] of this.#connections) {
			if (this.#nodes.get(address) === node) {
				this.#connections.delete(address);
				connection.destroy();
			}
		}
	}

	close(): void {
		clearInterval(this.#silenceTimer);
		for (const connection of this.#connections.values()) {
			connection.destroy();
		}
	}

	send(attempt: Attempt, onResult: (result: AttemptResult<Payload>) => void): Exchange {
		const {endpoint, request} = attempt;
		const {method, path, headers, body} = request;
		const head = formatHead({type: 'call', attempt: headerOf(attempt), method, path, headers});
		return this.#exchange(
			endpoint,
			{head, body},
			{
				onResult(result) {
					onResult(toAttemptResult(result));
				},
			},
		);
	}

	/**
	 * Asks a gate to withdraw an attempt, or for its answer.
	 *
	 * @param timeoutMs - time in which the gate has to be reached. The answer of an attempt that its
	 *   worker is running may take longer.
	 */
	withdraw(
		attempt: Attempt,
		timeoutMs: number,
		onResult: (result: WithdrawResult<Payload>) => void,
	): Exchange {
		const {endpoint, startedAt} = attempt;
		const ageMs = Math.ceil(performance.now() - startedAt);
		const header = headerOf(attempt, endpoint.incarnation);
		const timer = setTimeout(() => {
			withdrawal.abort();
		}, timeoutMs);
		const withdrawal = this.#exchange(
			endpoint,
			{head: formatHead({type: 'withdraw', attempt: header, ageMs})},
			{
				onAccepted() {
					clearTimeout(timer);
				},
				onResult(result) {
					clearTimeout(timer);
					onResult(toWithdrawResult(result));
				},
			},
		);
		return withdrawal;
	}

	/** Notifies the gate that the caller no longer waits for the attempt. */
	cancel({endpoint, id}: Attempt): void {
		this.#connectionOf(endpoint).notify({head: formatHead({type: 'cancel', id})});
	}

	/** Requests a ticket number from a gate. `onResult` gets undefined on failure. */
	requestTicket(endpoint: Endpoint, onResult: (sequence: number | undefined) => void): void {
		this.#exchange(
			endpoint,
			{head: formatHead({type: 'ticket'})},
			{
				onResult(result) {
					const response = result.type === 'complete' ? parseResponse(result.head) : undefined;
					onResult(response?.type === 'ticket' ? response.sequence : undefined);
				},
			},
		);
	}

	#exchange(endpoint: Endpoint, message: OutgoingMessage, listener: PeerListener): Exchange {
		this.#startSilenceTimer();
		return this.#connectionOf(endpoint).send(message, listener);
	}

	#connectionOf({gateAddress, node}: Endpoint): PeerConnection {
		const existing = this.#connections.get(gateAddress);
		if (existing && !existing.isClosed) {
			return existing;
		}

		const connection = new PeerConnection(gateAddress, this.#answerLimitBytes);
		this.#connections.set(gateAddress, connection);
		this.#nodes.set(gateAddress, node);
		return connection;
	}

	/** Starts the timer that looks for silent connections; it runs only while responses are awaited. */
	#startSilenceTimer(): void {
		this.#silenceTimer ??= setInterval(() => {
			let isAwaiting = false;
			for (const connection of this.#connections.values()) {
				connection.checkSilence();
				isAwaiting ||= connection.isAwaiting;
			}

			if (!isAwaiting) {
				clearInterval(this.#silenceTimer);
				this.#silenceTimer = undefined;
			}
		}, silenceCheckIntervalMs);
	}
}

/**
 * @param incarnation - the only incarnation of the gate's node that may accept the request. By default
 * that of the gate that issued the ticket, or any when there is no ticket.
 */
function headerOf(
	attempt: Attempt,
	incarnation = attempt.ticket === undefined ? undefined : attempt.endpoint.incarnation,
): string {
	const {endpoint} = attempt;
	const times = relativeTimes(attempt, performance.now());
	return formatAttempt({...attempt, ...times, service: endpoint.service, incarnation});
}

function toAttemptResult(result: PeerResult): AttemptResult<Payload> {
	switch (result.type) {
		case 'complete': {
			const answer = toAnswer(result);
			return answer ? {type: 'answered', answer} : {type: 'broken'};
		}

		case 'refused': {
			return {type: 'refused'};
		}

		case 'broken': {
			return {type: 'broken'};
		}

		case 'too-large': {
			const outcome = {type: 'unknown', reason: 'answer-too-large'} as const;
			return {type: 'answered', answer: {outcome, isRetried: false}};
		}
	}
}

function toWithdrawResult(result: PeerResult): WithdrawResult<Payload> {
	const answer = result.type === 'complete' ? toAnswer(result) : undefined;
	if (answer === undefined) {
		const isGone = result.type === 'refused' && result.reason === 'ECONNREFUSED';
		return {type: isGone ? 'gone' : 'unreachable'};
	}

	const {outcome} = answer;
	const isNeverAdmitted = outcome.type === 'not-run' && outcome.reason === 'withdrawn';
	return isNeverAdmitted ? {type: 'never-admitted'} : {type: 'answered', answer};
}

/** Returns undefined for a response that can't be read. */
function toAnswer({
	head,
	body,
}: Extract<PeerResult, {type: 'complete'}>): GateAnswer<Payload> | undefined {
	const response = parseResponse(head);
	if (response?.type !== 'answer') {
		return undefined;
	}

	const {status, headers} = response;
	const answer = parseAnswer(response.answer);
	if (answer.outcome.type !== 'ran') {
		return {...answer, payload: undefined, isRetried: false};
	}

	return isFinalStatus(status)
		? {...answer, payload: {status, headers, body}, isRetried: false}
		: undefined;
}

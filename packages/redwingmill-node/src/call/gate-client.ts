import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	type AttemptResult,
	type CallWorkspace,
	type Endpoint,
	type KnownLimit,
	type WithdrawResult,
} from 'redwingmill-core';
import {parseAnswer} from './answer-header.js';
import {formatAttempt, relativeTimes} from './attempt-header.js';
import {beginExchange, type Exchange, type ExchangeResult} from './exchange.js';
import {gatePaths} from './gate-server.js';
import {headerNames, textHeader} from './headers.js';
import {type CallRequest, type Payload} from './payload.js';

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

const keepAliveMs = 30_000;
const connectTimeoutMs = 1000;
const emptyBody = Buffer.alloc(0);

/** Sends attempts to the gates of other nodes. */
export class GateClient {
	readonly #connectionsPerGate: number;
	readonly #answerLimitBytes: number;
	readonly #pools = new Map<string, Pool>();
	/** Control address of each gate's node, by gate address. */
	readonly #nodes = new Map<string, string>();

	constructor(connectionsPerGate: number, answerLimitBytes: number) {
		this.#connectionsPerGate = connectionsPerGate;
		this.#answerLimitBytes = answerLimitBytes;
	}

	/** Closes the connections to gates whose addresses are not in `addresses`. */
	retain(addresses: ReadonlySet<string>): void {
		for (const [address, pool] of this.#pools) {
			if (!addresses.has(address)) {
				this.#pools.delete(address);
				this.#nodes.delete(address);
				void pool.close();
			}
		}
	}

	/** Destroys the connections to an unresponsive node, as they will not recover. */
	destroyConnections(node: string): void {
		for (const [address, pool] of this.#pools) {
			if (this.#nodes.get(address) === node) {
				this.#pools.delete(address);
				void pool.destroy();
			}
		}
	}

	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async (pool) => pool.destroy()));
	}

	send(attempt: Attempt, onResult: (result: AttemptResult<Payload>) => void): Exchange {
		const {endpoint, request} = attempt;
		const headers = {...request.headers, ...attemptHeaders(attempt)};
		return beginExchange(
			this.#poolOf(endpoint.gateAddress, endpoint.node),
			{...request, headers},
			{answerLimitBytes: this.#answerLimitBytes},
			(result) => {
				onResult(toAttemptResult(result));
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
		const {endpoint} = attempt;
		const headers = {
			...attemptHeaders(attempt, endpoint.incarnation),
			[headerNames.age]: String(Math.ceil(performance.now() - attempt.startedAt)),
		};
		const withdrawal = beginExchange(
			this.#poolOf(endpoint.gateAddress, endpoint.node),
			{method: 'POST', path: gatePaths.withdraw, headers, body: emptyBody},
			{
				answerLimitBytes: this.#answerLimitBytes,
				onInterimResponse() {
					clearTimeout(timer);
				},
			},
			(result) => {
				clearTimeout(timer);
				onResult(toWithdrawResult(result));
			},
		);
		const timer = setTimeout(() => {
			withdrawal.abort();
		}, timeoutMs);
		return withdrawal;
	}

	/** Notifies the gate that the caller no longer waits for the attempt. */
	cancel(attempt: Attempt): void {
		const {endpoint} = attempt;
		const headers = attemptHeaders(attempt);
		beginExchange(
			this.#poolOf(endpoint.gateAddress, endpoint.node),
			{method: 'POST', path: gatePaths.cancel, headers, body: emptyBody},
			{answerLimitBytes: this.#answerLimitBytes},
			() => undefined,
		);
	}

	/** Requests a ticket number from a gate. `onResult` gets undefined on failure. */
	requestTicket(
		{gateAddress, node}: Endpoint,
		onResult: (sequence: number | undefined) => void,
	): void {
		beginExchange(
			this.#poolOf(gateAddress, node),
			{method: 'POST', path: gatePaths.ticket, headers: {}, body: emptyBody},
			{answerLimitBytes: this.#answerLimitBytes},
			(result) => {
				const isIssued = result.type === 'complete' && result.payload.status === 200;
				onResult(isIssued ? parseSequence(result.payload.body) : undefined);
			},
		);
	}

	#poolOf(address: string, node: string): Pool {
		const existing = this.#pools.get(address);
		if (existing) {
			return existing;
		}

		const pool = new Pool(`http://${address}`, {
			connections: this.#connectionsPerGate,
			pipelining: 1,
			keepAliveTimeout: keepAliveMs,
			connect: {timeout: connectTimeoutMs, noDelay: true},
		});
		this.#pools.set(address, pool);
		this.#nodes.set(address, node);
		return pool;
	}
}

/**
 * @param incarnation - the only incarnation of the gate's node that may accept the request. By default
 * that of the gate that issued the ticket, or any when there is no ticket.
 */
function attemptHeaders(
	attempt: Attempt,
	incarnation = attempt.ticket === undefined ? undefined : attempt.endpoint.incarnation,
): Record<string, string> {
	const {endpoint} = attempt;
	const times = relativeTimes(attempt, performance.now());
	const header = {...attempt, ...times, service: endpoint.service, incarnation};
	return {[headerNames.attempt]: formatAttempt(header)};
}

/** Returns the ticket number of a gate's answer; undefined if it is malformed. */
function parseSequence(body: Buffer): number | undefined {
	try {
		const {sequence} = JSON.parse(body.toString()) as {sequence?: unknown};
		return Number.isSafeInteger(sequence) ? (sequence as number) : undefined;
	} catch {
		return undefined;
	}
}

function toAttemptResult(result: ExchangeResult): AttemptResult<Payload> {
	switch (result.type) {
		case 'complete': {
			return {type: 'answered', answer: toAnswer(result)};
		}

		case 'refused': {
			return {type: 'refused'};
		}

		case 'foreign':
		case 'broken': {
			return {type: 'broken'};
		}

		case 'too-large': {
			const outcome = {type: 'unknown', reason: 'answer-too-large'} as const;
			return {type: 'answered', answer: {outcome, isRetried: false}};
		}
	}
}

function toWithdrawResult(result: ExchangeResult): WithdrawResult<Payload> {
	if (result.type !== 'complete') {
		const isGone = result.type === 'refused' && result.reason === 'ECONNREFUSED';
		return {type: isGone ? 'gone' : 'unreachable'};
	}

	const answer = toAnswer(result);
	const {outcome} = answer;
	const isNeverAdmitted = outcome.type === 'not-run' && outcome.reason === 'withdrawn';
	return isNeverAdmitted ? {type: 'never-admitted'} : {type: 'answered', answer};
}

function toAnswer({payload, headers}: Extract<ExchangeResult, {type: 'complete'}>) {
	const answer = parseAnswer(textHeader(headers, headerNames.answer) ?? '');
	return {
		...answer,
		payload: answer.outcome.type === 'ran' ? payload : undefined,
		isRetried: headers[headerNames.retried] !== undefined,
	};
}

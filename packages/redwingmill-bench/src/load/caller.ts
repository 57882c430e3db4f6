import {setTimeout as delay} from 'node:timers/promises';
import {Pool, type Dispatcher} from 'undici';
import {callIdHeader} from '../worker/worker-plan.js';
import {type CallRecord} from './call-record.js';

/** A kind of request that the load consists of. */
export type CallKind = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly isIdempotent: boolean;
	/** Whether the caller requests a ticket first and resends while the outcome is unknown. */
	readonly hasTicket: boolean;
};

/** Open-loop load: calls start at a fixed rate, whether or not earlier ones have been answered. */
export type CallerPlan = {
	/** Proxy addresses of the entry nodes, to which calls are sent in turn. */
	readonly entries: readonly string[];
	readonly kinds: readonly CallKind[];
	readonly callsPerSecond: number;
	/** Prefix of the calls' ids. */
	readonly prefix: string;
};

type RequestOptions = Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'headers' | 'body'>;
type CallResult = Omit<CallRecord, 'latencyMs'>;

const maximumSends = 3;
const maximumSkippedEntries = 3;
const connectionsPerEntry = 128;
const bodyBytes = 200;
const answerTimeoutMs = 10_000;

/** Generates load on the mesh and records the result of each call. */
export class Caller {
	readonly records: CallRecord[] = [];
	readonly #plan: CallerPlan;
	readonly #pools: readonly Pool[];
	readonly #pendingCalls = new Set<Promise<void>>();
	#sent = 0;
	#isStopped = false;

	constructor(plan: CallerPlan) {
		this.#plan = plan;
		this.#pools = plan.entries.map(
			(entry) => new Pool(`http://${entry}`, {connections: connectionsPerEntry}),
		);
	}

	get sent(): number {
		return this.#sent;
	}

	/** Starts calls until `durationMs` is over or `stop` is called, then waits for all answers. */
	async run(durationMs = Number.POSITIVE_INFINITY): Promise<void> {
		const startedAt = performance.now();
		const intervalMs = 1000 / this.#plan.callsPerSecond;
		for (let number = 0; !this.#isStopped; number++) {
			const dueAt = startedAt + number * intervalMs;
			if (dueAt - startedAt >= durationMs) {
				break;
			}

			const waitMs = dueAt - performance.now();
			if (waitMs > 1) {
				await delay(waitMs);
			}

			this.#startCall(number, dueAt);
		}

		await Promise.all(this.#pendingCalls);
		await Promise.all(this.#pools.map(async (pool) => pool.destroy()));
	}

	stop(): void {
		this.#isStopped = true;
	}

	#startCall(number: number, dueAt: number): void {
		const kind = this.#plan.kinds[number % this.#plan.kinds.length];
		const id = `${this.#plan.prefix}-${number}`;
		this.#sent += 1;
		// A timer may fire slightly early; latency then counts from the actual start of the call.
		const startedAt = Math.min(dueAt, performance.now());
		const call = this.#call(kind, id, number).then((result) => {
			this.records.push({...result, latencyMs: performance.now() - startedAt});
			this.#pendingCalls.delete(call);
		});
		this.#pendingCalls.add(call);
	}

	async #call(kind: CallKind, id: string, number: number): Promise<CallResult> {
		if (!kind.hasTicket) {
			return this.#send(kind, id, number);
		}

		const ticket = await this.#requestTicket(kind, number);
		if (ticket === undefined) {
			return newResult(kind, id, 'not-run', 'no-ticket');
		}

		let result = await this.#send(kind, id, number, ticket);
		for (let sends = 1; sends < maximumSends && result.outcome === 'unknown'; sends++) {
			result = await this.#send(kind, id, number + sends, ticket);
		}

		return result;
	}

	async #requestTicket({path}: CallKind, number: number): Promise<string | undefined> {
		try {
			const {statusCode, body} = await this.#request(number, {
				method: 'POST',
				path: `/.redwingmill/tickets?path=${encodeURIComponent(path)}`,
			});
			const text = await body.text();
			return statusCode === 201 ? (JSON.parse(text) as {ticket: string}).ticket : undefined;
		} catch {
			return undefined;
		}
	}

	async #send(kind: CallKind, id: string, number: number, ticket?: string): Promise<CallResult> {
		const headers: Record<string, string> = {[callIdHeader]: id};
		if (ticket !== undefined) {
			headers['idempotency-key'] = ticket;
		}

		try {
			const response = await this.#request(number, {
				method: kind.method,
				path: kind.path,
				headers,
				body: kind.method === 'POST' ? 'x'.repeat(bodyBytes) : undefined,
			});
			const text = await response.body.text();
			const outcome = response.headers['redwingmill-outcome'] as CallRecord['outcome'] | undefined;
			const reason = String(response.headers['redwingmill-reason'] ?? '');
			const result = newResult(kind, id, outcome ?? 'unknown', reason);
			return {...result, isMatchingAnswer: outcome === 'ran' && isAnswerTo(id, text)};
		} catch (error) {
			const isRefused = isConnectionRefused(error);
			return newResult(
				kind,
				id,
				isRefused ? 'not-run' : 'unknown',
				isRefused ? 'no-entry' : 'connection-broken',
			);
		}
	}

	/** Tries the next entry node if a connection is refused, as nothing has been sent then. */
	async #request(number: number, options: RequestOptions): Promise<Dispatcher.ResponseData> {
		for (let skipped = 0; ; skipped++) {
			try {
				return await this.#poolFor(number + skipped).request({
					...options,
					signal: AbortSignal.timeout(answerTimeoutMs),
				});
			} catch (error) {
				if (!isConnectionRefused(error) || skipped >= maximumSkippedEntries) {
					throw error;
				}
			}
		}
	}

	#poolFor(number: number): Pool {
		return this.#pools[number % this.#pools.length];
	}
}

function newResult(
	{isIdempotent}: CallKind,
	id: string,
	outcome: CallRecord['outcome'],
	reason: string,
): CallResult {
	return {id, isIdempotent, outcome, reason, isMatchingAnswer: false};
}

function isAnswerTo(id: string, text: string): boolean {
	try {
		return (JSON.parse(text) as {id?: string}).id === id;
	} catch {
		return false;
	}
}

function isConnectionRefused(error: unknown): boolean {
	return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

import {Buffer} from 'node:buffer';
import {Agent, request as httpRequest} from 'node:http';
import {randomBytes} from 'node:crypto';

const maximumSockets = 1000;

/** Clients of one machine, on kept connections. */
export class Client {
	#agent = new Agent({keepAlive: true, maxSockets: maximumSockets});
	#options;

	/** @param options - host, port, record(event, fields). */
	constructor(options) {
		this.#options = options;
	}

	/**
	 * Sends one request and resolves with its result: `status` 0 if the connection ended without an answer.
	 * `abort(destroy)` gets a function that closes the connection.
	 */
	async send({method = 'GET', path, headers = {}, body, deadlineMs, abort, name}) {
		const id = randomBytes(8).toString('hex');
		const {host, port, record} = this.#options;
		record('sent', {id, request: `${method} ${path}`, bytes: body?.length ?? 0, name});
		const startedAt = performance.now();
		return new Promise((resolve) => {
			const request = httpRequest({
				host,
				port,
				method,
				path,
				agent: this.#agent,
				headers: {
					host: 'review.example',
					'x-request-id': id,
					'x-deadline-ms': String(deadlineMs),
					...(body && {'content-length': body.length}),
					...headers,
				},
			});
			let isDone = false;
			const finish = (result) => {
				if (isDone) {
					return;
				}

				isDone = true;
				clearTimeout(timer);
				const ms = Math.round(performance.now() - startedAt);
				record('answered', {
					id,
					ms,
					...result,
					isKept: request.reusedSocket,
					body: undefined,
				});
				resolve({id, ms, isKept: request.reusedSocket, ...result});
			};

			const timer = setTimeout(() => {
				finish({status: 0, reason: 'deadline'});
				request.destroy();
			}, deadlineMs + 1000);
			request.once('response', (response) => {
				const chunks = [];
				response.on('data', (chunk) => chunks.push(chunk));
				response.once('end', () => {
					finish({
						status: response.statusCode,
						stamp: response.headers['x-server-stamp'],
						retryAfter: response.headers['retry-after'],
						body: Buffer.concat(chunks),
					});
				});
				response.once('error', () => {
					finish({status: 0, reason: 'answer broken off'});
				});
			});
			request.once('error', (error) => {
				finish({status: 0, reason: error.code ?? error.message});
			});
			abort?.(() => {
				finish({status: 0, reason: 'left'});
				request.destroy();
			});
			request.end(body);
		});
	}

	close() {
		this.#agent.destroy();
	}
}

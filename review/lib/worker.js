import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest} from 'node:http';
import {toWire} from './wire.js';

const heartbeatMs = 870;

/**
 * Stand-in of an application worker: runs some requests at once, queues a few more, sends heartbeats to the
 * node of its machine. `record` gets a line for each request that it began, ended or turned away.
 */
export class Worker {
	#options;
	#running = 0;
	#queue = [];
	#sequence = 0;
	#starts = 0;
	#isStopped = false;
	#timer;
	#server;
	/** How many times as long work takes now. */
	slowness = 1;

	/** @param options - id, service, host, port, control, slots, queue, workMs(path), record(event, fields). */
	constructor(options) {
		this.#options = options;
		this.born = Date.now();
		this.state = 'ready';
		this.#server = createServer({requestTimeout: 0}, (request, response) => {
			this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 10_000;
	}

	get id() {
		return this.#starts === 0 ? this.#options.id : `${this.#options.id}-${this.#starts}`;
	}

	async start() {
		const {host, port} = this.#options;
		await new Promise((resolve) => {
			this.#server.listen(port, host, resolve);
		});
		this.#timer = setInterval(async () => {
			await this.beat();
		}, heartbeatMs);
		await this.beat();
	}

	stop() {
		this.#isStopped = true;
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Ends at once, and starts again some seconds later under a new identity. */
	#crash() {
		this.#options.record('crashed', {worker: this.id});
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
		this.#queue = [];
		this.#running -= 1;
		this.#starts += 1;
		setTimeout(async () => {
			if (this.#isStopped) {
				return;
			}

			this.born = Date.now();
			this.#sequence = 0;
			await this.start();
			this.#options.record('restarted', {worker: this.id});
		}, this.#options.downMs);
	}

	/** Sends a heartbeat, which arrives after a delay. */
	async beat(delayMs = 0) {
		const {id} = this;
		const {service, host, port, zone, slots} = this.#options;
		this.#sequence += 1;
		const heartbeat = toWire({
			service,
			address: `${host}:${port}`,
			zone,
			version: 'v1',
			slots,
			state: this.state,
			coldLeftMs: 0,
			sequence: this.#sequence,
			born: this.born,
		});
		const body = JSON.stringify(heartbeat);
		const path = `/redwingmill/Instances.Heartbeat/${id}`;
		if (delayMs > 0) {
			setTimeout(async () => {
				const status = await this.#tell(path, body);
				this.#options.record('late-heartbeat', {worker: id, delayMs, body, status});
			}, delayMs);
		} else {
			await this.#tell(path, body);
		}
	}

	/** Announces the departure, after which no heartbeats follow. Returns the status of the acknowledgement. */
	async leave() {
		clearInterval(this.#timer);
		const status = await this.#tell(
			`/redwingmill/Instances.Leave/${this.id}`,
			JSON.stringify({born: this.born}),
		);
		this.#options.record('left', {worker: this.id, status});
		return status;
	}

	/** Calls the node of the worker's machine. Returns the status of the response; 0 if there is none. */
	async #tell(path, body) {
		const [host, port] = this.#options.control.split(':');
		return new Promise((resolve) => {
			const request = httpRequest({
				host,
				port,
				method: 'POST',
				path,
				headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
				agent: false,
			});
			request.on('response', (response) => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end(body);
		});
	}

	#handle(request, response) {
		const {id} = this;
		const {slots, queue} = this.#options;
		if (request.url === '/health') {
			request.resume();
			response.writeHead(200, {'x-instance-id': id}).end();
			return;
		}

		const call = {request, response, bytes: 0, isGone: false};
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			this.#reject(call, 421);
			return;
		}

		request.on('data', (chunk) => {
			call.bytes += chunk.length;
		});
		response.once('close', () => {
			call.isGone = !response.writableFinished;
			call.onGone?.();
		});
		request.once('end', () => {
			if (this.#running < slots) {
				this.#run(call);
			} else if (this.#queue.length < queue) {
				this.#queue.push(call);
			} else {
				this.#reject(call, 503);
			}
		});
	}

	#reject({request, response}, status) {
		this.#note('rejected', request, {status});
		response.writeHead(status, {
			'x-request-id': request.headers['x-request-id'] ?? '',
			'x-not-run': '1',
			'x-instance-id': this.id,
		});
		response.end();
	}

	#run(call) {
		const {request, response, bytes} = call;
		if (call.isGone) {
			this.#next();
			return;
		}

		this.#running += 1;
		this.#note('run', request, {bytes});
		if (this.#options.crashes?.(request)) {
			this.#crash();
			return;
		}

		let isEnded = false;
		const end = (isDropped) => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			clearTimeout(timer);
			this.#running -= 1;
			this.#note(isDropped ? 'dropped' : 'ran', request, {});
			if (!isDropped) {
				const {status = 200, headers = {}, body} = this.#options.answer(request);
				response.writeHead(status, {
					'x-request-id': request.headers['x-request-id'] ?? '',
					'x-server-stamp': `${this.id}.${request.headers['x-request-id']}`,
					'x-server-load': `${this.#running},${this.#queue.length},${this.#options.slots}`,
					'keep-alive': 'timeout=10',
					'content-length': body.length,
					...headers,
				});
				response.end(body);
			}

			this.#next();
		};

		// A worker drops a request when its connection closes, and at its deadline.
		call.onGone = () => {
			end(true);
		};

		const timer = setTimeout(
			() => {
				end(false);
			},
			this.#options.workMs(request.url) * this.slowness,
		);
	}

	#next() {
		const next = this.#queue.shift();
		if (next) {
			this.#run(next);
		}
	}

	#note(event, {headers, method, url}, fields) {
		this.#options.record(event, {
			worker: this.id,
			caller: headers['x-caller-service'],
			id: headers['x-request-id'],
			deadlineMs: headers['x-deadline-ms'],
			request: `${method} ${url}`,
			...fields,
		});
	}
}

/* A worker as PROTOCOL.md describes it: slots, a queue, an identity, heartbeats. */
/* eslint-disable camelcase -- the platform spells its fields so */
/* eslint-disable no-void -- requests go on beside the script */
/* eslint-disable unicorn/no-process-exit -- its result is the exit code */
import {createServer, request as send} from 'node:http';
import process from 'node:process';

let births = 0;
/** Time from the begin of a run that crashes the process to its end. */
const crashAfterMs = 30;

export class Worker {
	runs = [];
	acknowledged = [];
	state = 'ready';
	sequence = 0;
	#running = 0;
	#queue = [];
	#server;
	#beatTimer;

	/**
	 * @param workMs - run time of a request, a number or a function of it.
	 * @param answer - writes the answer of a run; by default a signed 200.
	 */
	constructor(
		machine,
		{id, slots = 12, queue = 48, workMs = 20, beatMs = 870, answer, crashPath, onRun} = {},
	) {
		births += 1;
		this.machine = machine;
		this.id = id ?? `i-${births}-${machine.name}`;
		this.born = Date.now();
		this.slots = slots;
		this.queue = queue;
		this.workMs = workMs;
		this.beatMs = beatMs;
		this.answer = answer;
		this.crashPath = crashPath;
		this.onRun = onRun;
		this.#server = createServer(
			{keepAliveTimeout: 10_000, maxHeaderSize: 128 * 1024},
			(request, response) => {
				this.#receive(request, response);
			},
		);
		this.#server.requestTimeout = 0;
	}

	async listen() {
		const [host, port] = (this.machine.listen ?? this.machine.app).split(':');
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
	}

	startBeats() {
		this.#beatTimer = setInterval(() => {
			void this.beat();
		}, this.beatMs);
		return this.beat();
	}

	stopBeats() {
		clearInterval(this.#beatTimer);
	}

	/** Body of the next heartbeat. */
	nextBeat() {
		this.sequence += 1;
		return {
			service: this.machine.service,
			address: this.machine.app,
			zone: this.machine.zone,
			version: 'v1',
			slots: this.slots,
			state: this.state,
			cold_left_ms: 0,
			sequence: this.sequence,
			born: this.born,
		};
	}

	/** Sends a heartbeat; resolves with the status, or 0 without an answer within a second. */
	async beat(body = this.nextBeat()) {
		const status = await this.#post(`/redwingmill/Instances.Heartbeat/${this.id}`, body);
		this.acknowledged.push({at: Date.now(), state: body.state, status});
		return status;
	}

	async leave() {
		return this.#post(`/redwingmill/Instances.Leave/${this.id}`, {born: this.born});
	}

	async #post(path, body) {
		try {
			const response = await fetch(`http://${this.machine.control}${path}`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(1000),
			});
			await response.text();
			return response.status;
		} catch {
			return 0;
		}
	}

	async close() {
		this.stopBeats();
		this.#server.closeAllConnections();
		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
	}

	#receive(request, response) {
		const {headers} = request;
		const id = headers['x-request-id'];
		const bytes = {count: 0};
		request.on('data', (chunk) => {
			bytes.count += chunk.length;
		});
		const echo = id === undefined ? {} : {'x-request-id': id};
		if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== this.id) {
			request.once('end', () => {
				response.writeHead(421, {...echo, 'x-instance-id': this.id}).end();
			});
			return;
		}

		request.once('end', () => {
			if (id === undefined) {
				response.writeHead(400, {'x-not-run': '1'}).end();
				return;
			}

			const job = {request, response, id, bytes: bytes.count, echo, arrivedAt: performance.now()};
			if (this.#running < this.slots) {
				this.#run(job);
			} else if (this.#queue.length < this.queue) {
				this.#queue.push(job);
			} else {
				response.writeHead(503, {...echo, 'x-not-run': '1'}).end();
			}
		});
	}

	#run(job) {
		const {request, response, echo} = job;
		const deadlineMs = Number(request.headers['x-deadline-ms'] ?? 60_000);
		if (response.destroyed) {
			this.#next();
			return;
		}

		if (performance.now() - job.arrivedAt >= deadlineMs) {
			response.writeHead(503, {...echo, 'x-not-run': '1'}).end();
			this.#next();
			return;
		}

		this.#running += 1;
		const run = {
			id: job.id,
			at: Date.now(),
			method: request.method,
			path: request.url,
			bytes: job.bytes,
			caller: request.headers['x-caller-service'],
		};
		this.runs.push(run);
		this.onRun?.(run);
		if (this.crashPath !== undefined && run.path === this.crashPath) {
			setTimeout(() => process.exit(1), crashAfterMs);
		}

		const workMs = typeof this.workMs === 'function' ? this.workMs(run) : this.workMs;
		const leftMs = deadlineMs - (performance.now() - job.arrivedAt);
		let isOver = false;
		const finish = (write) => {
			if (!isOver) {
				isOver = true;
				clearTimeout(timer);
				this.#running -= 1;
				write?.();
				this.#next();
			}
		};

		const timer = setTimeout(
			() => {
				finish(() => {
					if (response.destroyed) {
						return;
					}

					const headers = {...echo, 'x-server-stamp': `${this.id}.${job.id}`};
					if (workMs > leftMs) {
						response.writeHead(504, headers).end();
					} else if (this.answer) {
						this.answer({run, request, response, headers});
					} else {
						response.writeHead(200, headers).end(`answer to ${job.id}`);
					}
				});
			},
			Math.min(workMs, leftMs),
		);
		response.once('close', () => finish());
	}

	#next() {
		while (this.#running < this.slots && this.#queue.length > 0) {
			this.#run(this.#queue.shift());
		}
	}
}

/** A client's connection that is kept open: sends one request at a time. */
export function sendRequest({address, agent, method = 'GET', host, path, id, deadlineMs, body}) {
	const [hostname, port] = address.split(':');
	const startedAt = performance.now();
	return new Promise((resolve) => {
		const done = (result) => {
			clearTimeout(timer);
			resolve({id, ms: Math.round(performance.now() - startedAt), ...result});
		};

		const outgoing = send(
			{
				hostname,
				port,
				agent,
				method,
				path,
				headers: {
					host,
					'x-request-id': id,
					'x-deadline-ms': String(deadlineMs),
					...(body && {'content-length': String(body.length)}),
				},
			},
			(response) => {
				let text = '';
				response.on('data', (chunk) => {
					text += String(chunk);
				});
				response.once('end', () => {
					const {statusCode: status, headers} = response;
					done({
						status,
						stamp: headers['x-server-stamp'],
						retryAfter: headers['retry-after'],
						text,
					});
				});
				response.once('error', () => done({status: 'cut', wasCut: true}));
			},
		);
		const timer = setTimeout(() => {
			outgoing.destroy();
			done({status: 'none'});
		}, deadlineMs + 300);
		outgoing.once('error', (error) => {
			const isUnconnected = error.code === 'ECONNREFUSED';
			done({
				status: isUnconnected ? 'no connection' : 'cut',
				code: error.code,
				reused: outgoing.reusedSocket,
			});
		});
		outgoing.end(body);
	});
}

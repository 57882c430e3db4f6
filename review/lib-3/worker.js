/* eslint camelcase: "off", no-await-in-loop: "off", no-void: "off" -- the platform's field names; steps of a case come one after the other */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {newId, send} from './client.js';

const beatMs = 1000;
const queueCapacity = 12;

/** Stand-in for a worker: runs as many requests at once as it has slots, queues a few more, and sends heartbeats. */
export class Worker {
	/** Requests that it began to work on. */
	runs = [];
	/** Requests that reached it, whatever became of them. */
	arrivals = [];
	id = `i-${newId()}`;
	born = Date.now();
	state = 'ready';
	/** Milliseconds that a request takes. */
	workMs = 20;
	/** Returns the response to a request that ran. */
	answer = (run) => ({status: 200, body: Buffer.from(`answer to ${run.path}`)});
	#mesh;
	#node;
	#server;
	#slots;
	#sequence = 0;
	#running = 0;
	#waiting = [];
	#timer;

	constructor(mesh, node, {slots = 6} = {}) {
		this.#mesh = mesh;
		this.#node = node;
		this.#slots = slots;
	}

	get address() {
		return this.#node.listen.app;
	}

	get service() {
		return this.#node.service;
	}

	async start() {
		const [host, port] = this.address.split(':');
		this.#server = createServer((request, response) => {
			this.#onRequest(request, response);
		});
		this.#server.keepAliveTimeout = 30_000;
		this.#server.listen(Number(port), host);
		await once(this.#server, 'listening');
		this.#timer = setInterval(() => {
			void this.beat();
		}, beatMs);
		await this.beat();
	}

	/** Stops the heartbeats. */
	silence() {
		clearInterval(this.#timer);
	}

	/** Ends the worker's process. */
	end() {
		this.silence();
		this.#mesh.record(`worker ${this.id} ends`);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	nextSequence() {
		this.#sequence += 1;
		return this.#sequence;
	}

	/** Returns the body of a heartbeat. */
	beatBody(changes = {}) {
		return {
			service: this.service,
			address: this.address,
			zone: 'zone-a',
			version: 'v1',
			slots: this.#slots,
			state: this.state,
			cold_left_ms: 0,
			sequence: this.nextSequence(),
			born: this.born,
			...changes,
		};
	}

	/** Sends a heartbeat and returns the status of its answer; 0 without one. */
	async beat(body = this.beatBody(), id = this.id) {
		const {status} = await send(this.#node.listen.control, {
			method: 'POST',
			path: `/redwingmill/Instances.Heartbeat/${id}`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			timeoutMs: 1000,
		});
		return status;
	}

	async leave() {
		const {status} = await send(this.#node.listen.control, {
			method: 'POST',
			path: `/redwingmill/Instances.Leave/${this.id}`,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({born: this.born}),
			timeoutMs: 1000,
		});
		this.#mesh.record(`worker ${this.id} leaves: ${status}`);
		return status;
	}

	#onRequest(request, response) {
		const parts = [];
		const {headers, method, url} = request;
		const id = headers['x-request-id'];
		const arrival = {id, method, path: url, headers, at: this.#mesh.now};
		this.arrivals.push(arrival);
		request.on('data', (part) => {
			parts.push(part);
		});
		request.on('end', () => {
			const expected = headers['x-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				this.#mesh.record(`worker ${this.id} of ${this.service}: ${id} misdirected`);
				response.writeHead(421, {'x-request-id': id, 'x-instance-id': this.id}).end();
				return;
			}

			arrival.body = Buffer.concat(parts);
			if (this.#running < this.#slots) {
				this.#run(arrival, response);
			} else if (this.#waiting.length < queueCapacity) {
				this.#waiting.push({arrival, response});
			} else {
				response.writeHead(503, {'x-request-id': id, 'x-not-run': '1'}).end();
			}
		});
	}

	#run(arrival, response) {
		this.#running += 1;
		this.runs.push(arrival);
		this.#mesh.record(`worker ${this.id} of ${this.service}: runs ${arrival.id} ${arrival.path}`);
		let isDone = false;
		const finish = () => {
			if (isDone) {
				return;
			}

			isDone = true;
			clearTimeout(timer);
			this.#running -= 1;
			const next = this.#waiting.shift();
			if (next) {
				this.#run(next.arrival, next.response);
			}
		};

		const timer = setTimeout(() => {
			const {status, body, headers = {}} = this.answer(arrival);
			response.writeHead(status, {
				'x-request-id': arrival.id,
				'x-server-stamp': `${this.id}.${arrival.id}`,
				'x-server-load': `${this.#running},${this.#waiting.length},${this.#slots}`,
				'content-length': body.length,
				...headers,
			});
			response.end(body);
			finish();
		}, this.workMs);
		response.on('close', finish);
	}
}

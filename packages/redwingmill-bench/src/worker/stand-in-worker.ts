import process from 'node:process';
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {Pool} from 'undici';
import {
	behaviourPath,
	callIdHeader,
	crashParameter,
	type WorkerBehaviour,
	type WorkerPlan,
} from './worker-plan.js';

const announceIntervalMs = 500;
/** Path of a call in a chain: the number of further calls, then the length of the chain. */
const chainPattern = /^\/chain\/(\d+)\/(\d+)/v;
const paddingBytes = 400;

/** Receives the id of each call before the call is run. */
export type RunObserver = (callId: string) => void;

/**
 * Simulates a worker for tests and measurements: occupies a slot for the service time of a call and
 * then answers. Its behaviour can be set to drain, shed calls or break connections, and a request
 * can crash it.
 */
export class StandInWorker {
	readonly #plan: WorkerPlan;
	readonly #observer: RunObserver;
	readonly #server: Server;
	readonly #node: Pool;
	readonly #mesh: Pool;
	#behaviour: WorkerBehaviour;
	#isReady = false;
	#running = 0;

	constructor(plan: WorkerPlan, observer: RunObserver) {
		this.#plan = plan;
		this.#observer = observer;
		this.#behaviour = {
			isDraining: false,
			serviceMs: plan.serviceMs,
			shedShare: 0,
			breakShare: 0,
			lies: false,
		};
		this.#node = new Pool(`http://${plan.operators}`, {connections: 1});
		this.#mesh = new Pool(`http://${plan.proxy}`, {connections: 64});
		this.#server = createServer({keepAliveTimeout: 65_000}, (request, response) => {
			this.#handle(request, response);
		});
	}

	start(): void {
		const [host, port] = this.#plan.address.split(':');
		this.#server.listen(Number(port), host);
		setTimeout(() => {
			this.#isReady = true;
			this.#announce();
		}, this.#plan.coldStartMs);
		setInterval(() => {
			this.#announce();
		}, announceIntervalMs);
		this.#announce();
	}

	#announce(): void {
		const {service, address, slots} = this.#plan;
		const body = JSON.stringify({service, address, slots, state: this.#state()});
		this.#node
			.request({method: 'PUT', path: '/worker', body})
			.then(async (response) => response.body.dump())
			// The node may not be running; the next announcement retries.
			.catch(() => undefined);
	}

	#state(): 'starting' | 'ready' | 'draining' {
		if (this.#behaviour.lies) {
			return 'ready';
		}

		if (this.#behaviour.isDraining) {
			return 'draining';
		}

		return this.#isReady ? 'ready' : 'starting';
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		const chunks: Buffer[] = [];
		request.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		request.once('end', () => {
			const body = Buffer.concat(chunks).toString();
			if (request.url === behaviourPath) {
				this.#behaviour = {...this.#behaviour, ...(JSON.parse(body) as Partial<WorkerBehaviour>)};
				this.#announce();
				response.end('{}');
			} else {
				this.#run(request, response);
			}
		});
	}

	#run(request: IncomingMessage, response: ServerResponse): void {
		if (this.#running >= this.#plan.slots || Math.random() < this.#behaviour.shedShare) {
			response.writeHead(503, {'redwingmill-outcome': 'not-run', 'content-length': 0}).end();
			return;
		}

		const callId = String(request.headers[callIdHeader] ?? '');
		this.#observer(callId);
		if (request.url?.includes(crashParameter)) {
			process.exit(1);
		}

		if (Math.random() < this.#behaviour.breakShare) {
			request.socket.destroy();
			return;
		}

		if (this.#behaviour.serviceMs === 0) {
			this.#finish(request, response, callId);
			return;
		}

		this.#running += 1;
		setTimeout(() => {
			this.#running -= 1;
			this.#finish(request, response, callId);
		}, this.#behaviour.serviceMs);
	}

	#finish(request: IncomingMessage, response: ServerResponse, callId: string): void {
		const chain = chainPattern.exec(request.url ?? '');
		if (chain && Number(chain[1]) > 0) {
			void this.#callNextService(Number(chain[1]) - 1, Number(chain[2]), callId, response);
			return;
		}

		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({id: callId, padding: 'x'.repeat(paddingBytes)}));
	}

	/** Calls the next service of a chain through the mesh and forwards its answer. */
	async #callNextService(
		remainingCalls: number,
		chainLength: number,
		callId: string,
		response: ServerResponse,
	): Promise<void> {
		try {
			const {statusCode, headers, body} = await this.#mesh.request({
				method: 'GET',
				path: `/chain/${remainingCalls}/${chainLength}`,
				headers: {[callIdHeader]: `${callId}.${remainingCalls}`},
			});
			const text = await body.text();
			const isRetried = headers['redwingmill-retried'] !== undefined;
			response.writeHead(statusCode === 200 ? 200 : 502, {
				'content-type': 'application/json',
				...(isRetried ? {'redwingmill-retried': '1'} : {}),
			});
			response.end(statusCode === 200 ? text.replace(`${callId}.${remainingCalls}`, callId) : '{}');
		} catch {
			response.writeHead(502).end('{}');
		}
	}
}

import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, createServer as createSocketServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {request} from 'undici';
import {PlatformClient, PlatformServer} from 'redwingmill-platform';
import {digestOf} from 'redwingmill-shared';
import {RelayControlPlane} from '../../control/relay-control-plane.js';
import {Daemon, parseSettings, ticketPath, type Settings} from '../../index.js';

/**
 * Loopback address used by this process only. Outgoing connections on this machine use 127.0.0.1, so
 * none of them can occupy a port of this address between its selection and its use.
 */
const host = `127.${1 + Math.floor((process.pid / 250) % 250)}.${1 + (process.pid % 250)}.3`;
const activationTimeoutMs = 20_000;
const text = JSON.stringify({
	services: {coding: {}},
	routes: [{path: '/coding', service: 'coding', deadlineMs: 3000}],
});

function createDaemon(settings: Settings): Daemon {
	return new Daemon(settings, {
		createControlPlane: (options) => new RelayControlPlane(options),
	});
}

type Handler = (path: string, response: ServerResponse) => void;

/** A stand-in platform, an entry node without a worker, and a gate's node with a worker. */
class TwoNodes {
	readonly platform = new PlatformServer();
	readonly runs: string[] = [];
	entry!: Daemon;
	gate!: Daemon;
	proxy = '';
	gateProxy = '';
	handler: Handler = answerImmediately;

	#worker!: Server;
	#announcing: NodeJS.Timeout | undefined;

	async start(): Promise<void> {
		const platform = await this.platform.listen(host, 0);
		const [proxy, gateProxy, operators, ...others] = await freeAddresses(8);
		this.proxy = proxy;
		this.gateProxy = gateProxy;
		this.entry = createDaemon(settingsOf(platform, [proxy, others[0], others[1], others[2]]));
		this.gate = createDaemon(settingsOf(platform, [gateProxy, others[3], others[4], operators]));
		await this.entry.start();
		await this.gate.start();
		const worker = await this.#startWorker();
		this.#announcing = setInterval(() => {
			void announce(operators, worker);
		}, 100);
		const client = new PlatformClient(platform);
		await client.write({
			kind: 'ConfigurationText',
			name: 'main',
			resourceVersion: 0,
			spec: {version: {number: 1, digest: digestOf(text)}, text, author: 'test', applyId: '1'},
		});
		await client.close();
		await this.#untilActive(this.proxy);
		await this.#untilActive(this.gateProxy);
		this.runs.length = 0;
	}

	async stop(): Promise<void> {
		clearInterval(this.#announcing);
		await Promise.all([this.entry.stop(), this.gate.stop()]);
		this.#worker.closeAllConnections();
		this.#worker.close();
		await this.platform.close();
	}

	async #startWorker(): Promise<string> {
		this.#worker = createServer((incoming, response) => {
			incoming.resume();
			this.runs.push(incoming.url ?? '');
			this.handler(incoming.url ?? '', response);
		});
		this.#worker.listen(0, host);
		await once(this.#worker, 'listening');
		return `${host}:${(this.#worker.address() as AddressInfo).port}`;
	}

	async #untilActive(proxy: string): Promise<void> {
		const giveUpAt = performance.now() + activationTimeoutMs;
		while (performance.now() < giveUpAt) {
			const {statusCode, body} = await request(`http://${proxy}/coding/ready`);
			await body.dump();
			if (statusCode === 200) {
				return;
			}

			await delay(50);
		}
	}
}

function answerImmediately(path: string, response: ServerResponse): void {
	response.end(`answer to ${path}`);
}

function settingsOf(platform: string, addresses: readonly string[]): Settings {
	const [proxy, gate, control, operators] = addresses;
	const parsed = parseSettings(
		JSON.stringify({
			dataCentre: 'dc-a',
			addresses: {proxy, gate, control, operators},
			platform,
			calls: {bodyLimitBytes: 2048, answerLimitBytes: 4096},
			log: {level: 'error'},
		}),
	);
	if (parsed.type === 'invalid') {
		throw new TypeError(JSON.stringify(parsed.faults));
	}

	return parsed.settings;
}

async function freeAddresses(count: number): Promise<string[]> {
	const servers = Array.from({length: count}, () => createSocketServer().listen(0, host));
	await Promise.all(servers.map(async (server) => once(server, 'listening')));
	const addresses = servers.map((server) => `${host}:${(server.address() as AddressInfo).port}`);
	for (const server of servers) {
		server.close();
	}

	return addresses;
}

async function announce(operators: string, address: string): Promise<void> {
	try {
		const body = JSON.stringify({service: 'coding', address, slots: 4, state: 'ready'});
		const response = await request(`http://${operators}/worker`, {method: 'PUT', body});
		await response.body.dump();
	} catch {
		// The node may be stopping.
	}
}

/** Sends raw bytes and returns everything received until the connection closes. */
async function sendRaw(address: string, bytes: string): Promise<string> {
	const [, port] = address.split(':');
	const socket = connect(Number(port), host);
	let received = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		received += chunk;
	});
	socket.on('error', () => undefined);
	socket.write(bytes);
	await once(socket, 'close');
	return received;
}

describe('two daemons, a worker and the stand-in platform', () => {
	const mesh = new TwoNodes();

	before(async () => {
		await mesh.start();
	});

	after(async () => {
		await mesh.stop();
	});

	beforeEach(() => {
		mesh.runs.length = 0;
		mesh.handler = answerImmediately;
	});

	it('forwards a call through two nodes and returns its complete answer', async () => {
		const {statusCode, headers, body} = await request(`http://${mesh.proxy}/coding/a?b=1`);
		expect(statusCode).to.equal(200);
		expect(headers['redwingmill-outcome']).to.equal('ran');
		expect(await body.text()).to.equal('answer to /coding/a?b=1');
		expect(mesh.runs).to.deep.equal(['/coding/a?b=1']);
	});

	it('reports a call without a route as not run', async () => {
		const {statusCode, headers, body} = await request(`http://${mesh.proxy}/codingx`);
		await body.dump();
		expect(statusCode).to.equal(404);
		expect(headers['redwingmill-reason']).to.equal('no-route');
		expect(mesh.runs).to.deep.equal([]);
	});

	it('runs a ticket once, whichever node it is sent through', async () => {
		const taken = await request(`http://${mesh.proxy}${ticketPath}?path=/coding/x`, {
			method: 'POST',
		});
		const {ticket} = (await taken.body.json()) as {ticket: string};
		const answers: string[] = [];
		for (const proxy of [mesh.proxy, mesh.gateProxy, mesh.proxy]) {
			const {body} = await request(`http://${proxy}/coding/x`, {
				method: 'POST',
				headers: {'idempotency-key': ticket},
				body: 'day',
			});
			answers.push(await body.text());
		}

		expect(new Set(answers)).to.deep.equal(new Set(['answer to /coding/x']));
		expect(mesh.runs).to.deep.equal(['/coding/x']);
	});

	it('reports the outcome of a ticket as unknown when its gate no longer exists', async () => {
		const {headers, body} = await request(`http://${mesh.proxy}/coding/x`, {
			method: 'POST',
			headers: {'idempotency-key': 'rwm1~dc-a~10.0.0.9:1~1~1'},
		});
		await body.dump();
		expect(headers['redwingmill-outcome']).to.equal('unknown');
		expect(mesh.runs).to.deep.equal([]);
	});

	it('refuses a body over the limit without running it', async () => {
		const {statusCode, headers, body} = await request(`http://${mesh.proxy}/coding/x`, {
			method: 'POST',
			body: 'x'.repeat(5000),
		});
		await body.dump();
		expect(statusCode).to.equal(413);
		expect(headers['redwingmill-outcome']).to.equal('not-run');
		expect(mesh.runs).to.deep.equal([]);
	});

	it('refuses headers over the size limit', async () => {
		const answer = await sendRaw(
			mesh.proxy,
			`GET /coding HTTP/1.1\r\nhost: x\r\nlong: ${'x'.repeat(20_000)}\r\n\r\n`,
		);
		expect(answer).to.match(/^HTTP\/1\.1 431 /v);
		expect(mesh.runs).to.deep.equal([]);
	});

	it('refuses a malformed chunked body', async () => {
		const answer = await sendRaw(
			mesh.proxy,
			'POST /coding HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n',
		);
		expect(answer).to.match(/^HTTP\/1\.1 400 /v);
		expect(mesh.runs).to.deep.equal([]);
	});

	it('reports a truncated answer as unknown instead of forwarding a part of it', async () => {
		mesh.handler = (_path, response) => {
			response.writeHead(200, {'content-length': 1000});
			response.write('a part');
			setTimeout(() => {
				response.destroy();
			}, 20);
		};

		const {statusCode, headers, body} = await request(`http://${mesh.proxy}/coding/short`, {
			method: 'POST',
		});
		expect(statusCode).to.equal(502);
		expect(headers['redwingmill-outcome']).to.equal('unknown');
		expect(await body.text()).to.equal('');
		expect(mesh.runs).to.deep.equal(['/coding/short']);
	});

	it('reports an answer over the size limit as unknown', async () => {
		mesh.handler = (_path, response) => {
			response.end('x'.repeat(10_000));
		};

		const {headers, body} = await request(`http://${mesh.proxy}/coding/large`, {method: 'POST'});
		await body.dump();
		expect(headers['redwingmill-reason']).to.equal('answer-too-large');
	});

	it('ends a call at its deadline with an unknown outcome', async () => {
		mesh.handler = () => undefined;
		const {statusCode, headers, body} = await request(`http://${mesh.proxy}/coding/slow`, {
			method: 'POST',
			headers: {'redwingmill-deadline-ms': '100'},
		});
		await body.dump();
		expect(statusCode).to.be.oneOf([502, 504]);
		expect(headers['redwingmill-outcome']).to.equal('unknown');
	});

	it('completes calls in progress during a planned stop', async () => {
		mesh.handler = (path, response) => {
			setTimeout(() => {
				response.end(`answer to ${path}`);
			}, 500);
		};

		const call = request(`http://${mesh.proxy}/coding/last`);
		while (mesh.runs.length === 0) {
			await delay(5);
		}

		const [{statusCode, body}, stopped] = await Promise.all([call, mesh.gate.stop()]);
		expect(statusCode).to.equal(200);
		expect(await body.text()).to.equal('answer to /coding/last');
		expect(stopped.isDrained).to.equal(true);
	});
});

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, createServer as createSocketServer, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {
	defaultGateLimits,
	type AttemptResult,
	type Endpoint,
	type WithdrawResult,
} from 'redwingmill-core';
import {GateClient, type Attempt} from '../../call/gate-client.js';
import {GateServer} from '../../call/gate-server.js';
import {GateService, type AnswerHandler} from '../../call/gate-service.js';
import {type Payload} from '../../call/payload.js';
import {defaultWorkerProtocol} from '../../call/worker-protocol.js';

const host = '127.0.0.1';
const limitBytes = 100_000;
const incarnation = 7;
const runMs = 400;
/** Shorter than the run: the gate has to show at once that the attempt is running. */
const reachTimeoutMs = 150;

/** A gate with a worker that takes {@link runMs}, and a client of it. */
class RemoteGate {
	readonly client = new GateClient(limitBytes);
	address = '';
	runCount = 0;
	readonly #worker = createServer(({url}, response) => {
		this.runCount += 1;
		const answerBytes = Number(/\d+$/v.exec(url ?? '')?.[0] ?? 0);
		if (answerBytes > 0) {
			response.end(Buffer.alloc(answerBytes, 'x'));
			return;
		}

		setTimeout(() => {
			response.end('done');
		}, runMs);
	});

	#service!: GateService;
	#server!: GateServer;

	async start(): Promise<void> {
		this.#worker.listen(0, host);
		await once(this.#worker, 'listening');
		this.#service = new GateService({
			limits: defaultGateLimits,
			identity: {node: 'gate', incarnation},
			protocol: defaultWorkerProtocol,
			workerConnections: 4,
			answerLimitBytes: limitBytes,
			onCrashReport: () => undefined,
			onWorkerGone: () => undefined,
		});
		const address = `${host}:${(this.#worker.address() as AddressInfo).port}`;
		this.#service.setWorker({service: 'coding', address, slots: 4, state: 'ready'});
		this.#server = new GateServer(this.#service, limitBytes, {
			incarnation: () => incarnation,
			configurationSince: () => ({type: 'none'}),
		});
		this.address = await freeAddress();
		await this.#server.listen(this.address);
	}

	async stop(): Promise<void> {
		this.#server.close();
		this.client.close();
		await this.#service.close();
		this.#worker.closeAllConnections();
		this.#worker.close();
	}

	attempt(id: string, path = '/'): Attempt {
		const endpoint: Endpoint = {
			node: 'gate',
			gateAddress: this.address,
			dataCentre: 'dc-a',
			incarnation,
			service: 'coding',
			slots: 4,
		};
		const startedAt = performance.now();
		return {
			id,
			endpoint,
			group: '/',
			rank: 1,
			crashedNodes: [],
			startedAt,
			deadlineAt: startedAt + 5000,
			request: {method: 'POST', path, headers: {}, body: Buffer.from('x')},
		};
	}

	async send(attempt: Attempt): Promise<AttemptResult<Payload>> {
		return new Promise((resolve) => {
			this.client.send(attempt, resolve);
		});
	}

	async withdraw(attempt: Attempt): Promise<WithdrawResult<Payload>> {
		return new Promise((resolve) => {
			this.client.withdraw(attempt, reachTimeoutMs, resolve);
		});
	}
}

async function freeAddress(): Promise<string> {
	const server = createSocketServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `${host}:${port}`;
}

describe('the client of a gate', () => {
	const gate = new RemoteGate();

	before(async () => {
		await gate.start();
	});

	after(async () => {
		await gate.stop();
	});

	it('gets the answer of a running attempt whose connection it has closed, without a second run', async () => {
		const attempt = gate.attempt('running');
		const sent = gate.send(attempt);
		await delay(100);
		gate.client.destroyConnections('gate');
		expect((await sent).type).to.equal('broken');
		const result = await gate.withdraw(attempt);
		expect(result.type === 'answered' && result.answer.outcome.type).to.equal('ran');
		expect(gate.runCount).to.equal(1);
	});

	it('takes an answer of a gate whose status is none of HTTP for none', async () => {
		for (const status of [0, 102, 600, 200]) {
			const service = {
				submit(_request: unknown, respond: AnswerHandler) {
					respond({
						outcome: {type: 'ran'},
						payload: {status, headers: {}, body: Buffer.from('body')},
					});
				},
			} as unknown as GateService;
			const server = new GateServer(service, limitBytes, {
				incarnation: () => incarnation,
				configurationSince: () => ({type: 'none'}),
			});
			const address = await freeAddress();
			await server.listen(address);
			const attempt = gate.attempt(`status ${status}`);
			const endpoint = {...attempt.endpoint, node: address, gateAddress: address};
			const {type} = await gate.send({...attempt, endpoint});
			expect(type, String(status)).to.equal(status === 200 ? 'answered' : 'broken');
			server.close();
		}
	});

	it('learns that a gate never admitted an attempt', async () => {
		expect((await gate.withdraw(gate.attempt('unsent'))).type).to.equal('never-admitted');
	});

	it('counts a gate that accepts the connection and says nothing as unreachable', async () => {
		const silent = createSocketServer().listen(0, host);
		await once(silent, 'listening');
		const {port} = silent.address() as AddressInfo;
		const attempt = gate.attempt('silent');
		const endpoint = {...attempt.endpoint, gateAddress: `${host}:${port}`, node: 'silent'};
		expect((await gate.withdraw({...attempt, endpoint})).type).to.equal('unreachable');
		silent.close();
	});

	it('breaks an attempt on a connection that goes silent, and gets its answer on a new one', async () => {
		const [, gatePort] = gate.address.split(':');
		let isSilent = true;
		const proxy = createSocketServer((socket) => {
			const onward = connect(Number(gatePort), host);
			socket.pipe(onward);
			if (isSilent) {
				// Lets the upgrade through, but nothing after it.
				onward.once('data', (bytes) => {
					socket.write(bytes);
				});
			} else {
				onward.pipe(socket);
			}

			for (const each of [socket, onward]) {
				each.on('error', () => undefined);
			}

			socket.on('close', () => {
				onward.destroy();
			});
		}).listen(0, host);
		await once(proxy, 'listening');
		const {port} = proxy.address() as AddressInfo;
		const attempt = gate.attempt('on-silent');
		const endpoint = {...attempt.endpoint, gateAddress: `${host}:${port}`, node: 'proxied'};
		const before = gate.runCount;
		expect((await gate.send({...attempt, endpoint})).type).to.equal('broken');
		isSilent = false;
		const result = await gate.withdraw({...attempt, endpoint});
		expect(result.type === 'answered' && result.answer.outcome.type).to.equal('ran');
		expect(gate.runCount - before).to.equal(1);
		gate.client.destroyConnections('proxied');
		proxy.close();
	});

	it('counts a process that speaks HTTP but not the protocol between nodes as refusing', async () => {
		const other = createServer((_request, response) => {
			response.writeHead(404).end();
		}).listen(0, host);
		await once(other, 'listening');
		const {port} = other.address() as AddressInfo;
		const attempt = gate.attempt('other');
		const endpoint = {...attempt.endpoint, gateAddress: `${host}:${port}`, node: 'other'};
		expect((await gate.send({...attempt, endpoint})).type).to.equal('refused');
		other.close();
	});

	it('gets large answers whole, and an unknown outcome for one over the limit', async () => {
		const results = await Promise.all(
			['/90000', '/70000', '/10'].map(async (path) => gate.send(gate.attempt(path, path))),
		);
		expect(
			results.map((result) => result.type === 'answered' && result.answer.payload?.body.length),
		).to.deep.equal([90_000, 70_000, 10]);
		const tooLarge = await gate.send(gate.attempt('too-large', `/${limitBytes + 1}`));
		expect(tooLarge.type === 'answered' && tooLarge.answer.outcome).to.deep.equal({
			type: 'unknown',
			reason: 'answer-too-large',
		});
	});

	it('counts a gate that refuses the connection as gone', async () => {
		const attempt = gate.attempt('gone');
		const endpoint = {...attempt.endpoint, gateAddress: await freeAddress(), node: 'gone'};
		expect((await gate.withdraw({...attempt, endpoint})).type).to.equal('gone');
	});
});

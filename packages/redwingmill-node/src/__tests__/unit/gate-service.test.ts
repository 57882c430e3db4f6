import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {defaultGateLimits, type Answer, type CrashNotice} from 'redwingmill-core';
import {GateService} from '../../call/gate-service.js';
import {type Payload} from '../../call/payload.js';
import {defaultWorkerProtocol} from '../../call/worker-protocol.js';

const host = '127.0.0.1';
const longMs = 10_000;

/** A worker that ends in a given way when it gets a request for `/crash`. */
class CrashingWorker {
	readonly server: Server;

	constructor(crash: (server: Server, response: ServerResponse) => void) {
		this.server = createServer((request, response) => {
			if (request.url === '/crash') {
				crash(this.server, response);
			} else {
				response.end('done');
			}
		});
	}

	async listen(): Promise<string> {
		this.server.listen(0, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Closes the port and all connections, as the end of the process does. */
	end(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}

/** A gate in front of a worker, and what became of crashes there. */
class GateWithWorker {
	readonly notices: CrashNotice[] = [];
	/** Number of times that the worker counted as gone. */
	goneCount = 0;
	readonly service: GateService;
	#calls = 0;

	constructor(address: string) {
		this.service = new GateService({
			limits: defaultGateLimits,
			identity: {node: 'own', incarnation: 1},
			protocol: defaultWorkerProtocol,
			workerConnections: 4,
			answerLimitBytes: 1000,
			onCrashReport: () => undefined,
			onCrashNotice: (notice) => {
				this.notices.push(notice);
			},
			onWorkerGone: () => {
				this.goneCount += 1;
			},
		});
		this.service.setWorker({service: 'coding', address, slots: 4, state: 'ready'});
	}

	async call(path: string, deadlineMs: number): Promise<Answer<Payload>> {
		this.#calls += 1;
		return new Promise((resolve) => {
			this.service.submit(
				{
					id: `call ${this.#calls}`,
					service: 'coding',
					group: '/',
					rank: 0,
					deadlineAt: performance.now() + deadlineMs,
					crashedNodes: [],
					request: {method: 'GET', path, headers: {}, body: undefined},
				},
				resolve,
			);
		});
	}

	async noticeOf(type: CrashNotice['type']): Promise<CrashNotice> {
		for (;;) {
			const notice = this.notices.find((each) => each.type === type);
			if (notice) {
				return notice;
			}

			await new Promise<void>((resolve) => {
				setImmediate(resolve);
			});
		}
	}
}

async function attributedCrash(
	crash: (server: CrashingWorker, response: ServerResponse) => void,
	deadlineMs: number,
): Promise<CrashNotice> {
	const worker = new CrashingWorker((_server, response) => {
		crash(worker, response);
	});
	const gate = new GateWithWorker(await worker.listen());
	await gate.call('/sound', longMs);
	await gate.call('/crash', deadlineMs);
	const notice = await gate.noticeOf('crash-attributed');
	worker.end();
	await gate.service.close();
	return notice;
}

describe('GateService', () => {
	const expected = {type: 'crash-attributed', fingerprint: 'GET /crash', crashes: 1} as const;

	it('attributes the crash of a worker that had not begun to answer', async () => {
		const notice = await attributedCrash((worker) => {
			worker.end();
		}, longMs);
		expect(notice).to.deep.equal(expected);
	});

	it('attributes the crash of a worker that had begun to answer', async () => {
		const notice = await attributedCrash((worker, response) => {
			response.writeHead(200, {'content-length': '100'});
			response.write('part', () => {
				worker.end();
			});
		}, longMs);
		expect(notice).to.deep.equal(expected);
	});

	it('attributes a crash after which the connection of the call stays silent', async () => {
		const notice = await attributedCrash((worker) => {
			worker.server.close();
		}, 300);
		expect(notice).to.deep.equal(expected);
	});
});

describe('a worker that resets new connections', () => {
	it('stays in use, and is asked again by the next call', async () => {
		let isResetting = true;
		const worker = createServer((_request, response) => {
			response.end('done');
		});
		worker.on('connection', (socket: Socket) => {
			if (isResetting) {
				socket.resetAndDestroy();
			}
		});
		worker.listen(0, host);
		await once(worker, 'listening');
		const gate = new GateWithWorker(`${host}:${(worker.address() as AddressInfo).port}`);
		for (let count = 0; count < 8; count++) {
			const {outcome} = await gate.call('/one', longMs);
			expect(outcome.type).to.not.equal('ran');
		}

		isResetting = false;
		const answer = await gate.call('/two', longMs);
		expect(gate.goneCount).to.equal(0);
		expect(answer.outcome.type).to.equal('ran');
		await gate.service.close();
		worker.closeAllConnections();
		worker.close();
	});
});

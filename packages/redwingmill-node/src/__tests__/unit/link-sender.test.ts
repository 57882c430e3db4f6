import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, get, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {LinkSender} from '../../call/link-sender.js';

/** A response of 90 kB takes 24 ms on it. */
const linkMbps = 30;
const narrowMbps = 5;
const largeBody = Buffer.alloc(90_000);
const smallBody = Buffer.alloc(1000);

describe('LinkSender', () => {
	let server: Server;
	let sender: LinkSender;
	let held: Array<{readonly path: string; readonly response: ServerResponse}>;
	let written: string[];

	beforeEach(async () => {
		sender = new LinkSender(linkMbps);
		held = [];
		written = [];
		server = createServer((request, response) => {
			held.push({path: request.url ?? '', response});
			server.emit('held');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		sender.close();
		server.close();
		server.closeAllConnections();
	});

	function request(path: string) {
		const {port} = server.address() as AddressInfo;
		return get({port, host: '127.0.0.1', path, agent: false});
	}

	async function bodyLength(sent: ReturnType<typeof get>): Promise<number> {
		const [response] = (await once(sent, 'response')) as [IncomingMessage];
		let bytes = 0;
		for await (const chunk of response as AsyncIterable<Buffer>) {
			bytes += chunk.length;
		}

		return bytes;
	}

	async function untilHeld(count: number): Promise<void> {
		while (held.length < count) {
			await once(server, 'held');
		}
	}

	function respond(path: string, body: Buffer, dueAt: number): void {
		const {response} = held.find((each) => each.path === path)!;
		const deadlineAt = performance.now() + 60_000;
		sender.send(response, body.length, {dueAt, deadlineAt}, () => {
			written.push(path);
			response.end(body);
		});
	}

	it('sends large responses in the order of their due times, and small ones at once', async () => {
		const paths = ['/a', '/b', '/c', '/small'];
		const replies = paths.map(async (path) => bodyLength(request(path)));
		await untilHeld(4);
		respond('/a', largeBody, 10);
		respond('/b', largeBody, 30);
		respond('/c', largeBody, 20);
		respond('/small', smallBody, 40);
		expect(written).to.deep.equal(['/a', '/small']);
		expect(await Promise.all(replies)).to.deep.equal([90_000, 90_000, 90_000, 1000]);
		expect(written).to.deep.equal(['/a', '/small', '/c', '/b']);
	});

	it('skips a response whose receiver has left', async () => {
		// The first response takes 144 ms, so that the second one's receiver leaves before its turn.
		sender = new LinkSender(narrowMbps);
		const staying = bodyLength(request('/a'));
		const leaving = request('/b');
		leaving.on('error', () => undefined);
		const last = bodyLength(request('/c'));
		await untilHeld(3);
		respond('/a', largeBody, 10);
		respond('/b', largeBody, 20);
		respond('/c', largeBody, 30);
		const {response} = held.find(({path}) => path === '/b')!;
		const closed = once(response, 'close');
		leaving.destroy();
		await closed;
		expect(await Promise.all([staying, last])).to.deep.equal([90_000, 90_000]);
		expect(written).to.deep.equal(['/a', '/c']);
		expect(sender.expectedWaitMs(performance.now() + 1000)).to.equal(0);
	});
});

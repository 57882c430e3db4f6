import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {StreamFaultProxy} from '../../stream-fault-proxy.js';

/** Long enough for bytes to pass on loopback if nothing holds them back. */
const quietMs = 100;

function connectTo(address: string): Socket {
	const port = Number(address.slice(address.lastIndexOf(':') + 1));
	const socket = connect({host: '127.0.0.1', port});
	// Resets are what some links are there for; the tests look at the socket's end.
	socket.on('error', () => undefined);
	return socket;
}

/** Waits for the end, whether an error came before it or not. */
async function closeOf(socket: Socket): Promise<void> {
	return new Promise((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
}

/** Returns what comes in, once it is so long. */
async function receive(socket: Socket, length: number): Promise<string> {
	let received = '';
	return new Promise((resolve) => {
		socket.on('data', (bytes) => {
			received += String(bytes);
			if (received.length >= length) {
				resolve(received);
			}
		});
	});
}

async function echo(socket: Socket, text: string): Promise<string> {
	const received = receive(socket, text.length);
	socket.write(text);
	return received;
}

describe('StreamLink', () => {
	let server: Server;
	let link: StreamFaultProxy;

	beforeEach(async () => {
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.pipe(socket);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		link = new StreamFaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		await link.listen();
	});

	afterEach(() => {
		link.close();
		server.close();
	});

	it('keeps the order of bytes while its delay changes', async () => {
		const socket = connectTo(link.address);
		link.setBehaviour({type: 'delay', delayMs: 60});
		const received = receive(socket, 'onetwo'.length);
		socket.write('one');
		await delay(10);
		link.setBehaviour({type: 'pass'});
		socket.write('two');
		expect(await received).to.equal('onetwo');
		socket.destroy();
	});

	it('holds bytes back in the directions told, and lets them go later', async () => {
		for (const type of ['silence', 'deaf', 'mute'] as const) {
			const socket = connectTo(link.address);
			link.setBehaviour({type});
			const result = echo(socket, 'held');
			expect(await Promise.race([result, delay(quietMs, 'nothing')])).to.equal('nothing');
			link.setBehaviour({type: 'pass'});
			expect(await result).to.equal('held');
			socket.destroy();
		}
	});

	it('resets open connections and new ones', async () => {
		const socket = connectTo(link.address);
		const reset = closeOf(socket);
		await echo(socket, 'open');
		link.setBehaviour({type: 'reset'});
		await reset;
		const other = connectTo(link.address);
		await closeOf(other);
		expect(other.bytesRead).to.equal(0);
	});
});

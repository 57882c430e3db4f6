import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Server, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {StreamFaultProxy} from '../../stream-fault-proxy.js';

/** Long enough for bytes to arrive over loopback unless they are held back. */
const silenceMs = 100;

function connectTo(address: string): Socket {
	const port = Number(address.slice(address.lastIndexOf(':') + 1));
	const socket = connect({host: '127.0.0.1', port});
	// Some tests provoke resets on purpose and check that the socket closes.
	socket.on('error', () => undefined);
	return socket;
}

/** Waits until the socket closes, with or without an error. */
async function closeOf(socket: Socket): Promise<void> {
	return new Promise((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
}

/** Waits until `length` characters have been received, and returns them. */
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

describe('StreamFaultProxy', () => {
	let server: Server;
	let proxy: StreamFaultProxy;

	beforeEach(async () => {
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.pipe(socket);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		proxy = new StreamFaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		await proxy.listen();
	});

	afterEach(() => {
		proxy.close();
		server.close();
	});

	it('keeps bytes in order when the delay changes', async () => {
		const socket = connectTo(proxy.address);
		proxy.setBehaviour({type: 'delay', delayMs: 60});
		const received = receive(socket, 'onetwo'.length);
		socket.write('one');
		await delay(10);
		proxy.setBehaviour({type: 'pass'});
		socket.write('two');
		expect(await received).to.equal('onetwo');
		socket.destroy();
	});

	it('holds bytes back in the blocked directions and forwards them later', async () => {
		for (const type of ['silence', 'deaf', 'mute'] as const) {
			const socket = connectTo(proxy.address);
			proxy.setBehaviour({type});
			const result = echo(socket, 'held');
			expect(await Promise.race([result, delay(silenceMs, 'nothing')])).to.equal('nothing');
			proxy.setBehaviour({type: 'pass'});
			expect(await result).to.equal('held');
			socket.destroy();
		}
	});

	it('resets open connections and new ones', async () => {
		const socket = connectTo(proxy.address);
		const reset = closeOf(socket);
		await echo(socket, 'open');
		proxy.setBehaviour({type: 'reset'});
		await reset;
		const other = connectTo(proxy.address);
		await closeOf(other);
		expect(other.bytesRead).to.equal(0);
	});

	it('silences the connections that are open for good, and passes new ones', async () => {
		const before = connectTo(proxy.address);
		await echo(before, 'before');
		proxy.silenceOpenConnections();
		let received = '';
		before.on('data', (bytes) => {
			received += String(bytes);
		});
		before.write('lost');
		proxy.setBehaviour({type: 'pass'});
		const after = connectTo(proxy.address);
		await echo(after, 'after');
		await delay(silenceMs);
		expect(received).to.equal('');
		before.destroy();
		after.destroy();
	});
});

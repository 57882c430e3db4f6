import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/** Several chunks of one byte, in the transfer coding of HTTP/1.1. */
const smallChunks = '1\r\nx\r\n'.repeat(2000);

/** Sends chunks of one byte until the connection is closed. */
export async function sendChunksWithoutEnd(socket: Socket): Promise<void> {
	socket.on('error', () => undefined);
	while (!socket.destroyed) {
		socket.write(smallChunks, 'latin1');
		// The other side may not read for a while; what the socket has not sent yet stays bounded.
		while (socket.writableNeedDrain && !socket.destroyed) {
			await delay(1);
		}

		await delay(1);
	}
}

/** Sends a request whose body never ends, until the connection is closed or the time is over. */
export async function sendRequestWithoutEnd(
	address: string,
	{path, host}: {readonly path: string; readonly host: string},
	forMs: number,
): Promise<void> {
	const [hostname, port] = address.split(':');
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, forMs);
	const lines = [`POST ${path}endless HTTP/1.1`, `Host: ${host}`, 'Transfer-Encoding: chunked'];
	socket.write(`${lines.join('\r\n')}\r\n\r\n`);
	await Promise.race([once(socket, 'connect'), once(socket, 'close')]).catch(() => undefined);
	await sendChunksWithoutEnd(socket);
	clearTimeout(timer);
}

import {type Socket} from 'node:net';

/** Counts the bytes sent and received on tracked connections, including closed ones. */
export class TrafficMeter {
	readonly #open = new Set<Socket>();
	#closedBytes = 0;

	get bytes(): number {
		return [...this.#open].reduce((sum, socket) => sum + bytesOf(socket), this.#closedBytes);
	}

	track(socket: Socket): void {
		this.#open.add(socket);
		socket.once('close', () => {
			this.#open.delete(socket);
			this.#closedBytes += bytesOf(socket);
		});
	}
}

function bytesOf(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten;
}

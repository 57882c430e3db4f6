import {createSocket, type Socket} from 'node:dgram';
import {type Datagram} from 'redwingmill-core';
import {decodeDatagram, encodeDatagram} from 'redwingmill-protocol';
import {splitAddress} from '../address.js';
import {ListenError} from '../errors.js';

/** Size of the IPv4 and UDP headers, which the traffic count includes for each datagram. */
const ipUdpHeaderBytes = 28;

/** Callbacks for received datagrams. `from` is the sender's `ip:port`. */
export type DatagramHandlers = {
	readonly onDatagram: (from: string, datagram: Datagram) => void;
	readonly onMalformed: (from: string) => void;
};

/** UDP socket for datagrams between nodes. */
export class DatagramSocket {
	readonly #socket: Socket;
	readonly #handlers: DatagramHandlers;
	#bytes = 0;
	#lastSent: {readonly datagram: Datagram; readonly bytes: Uint8Array} | undefined;
	#isClosed = false;

	constructor(handlers: DatagramHandlers) {
		this.#handlers = handlers;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (bytes, {address, port}) => {
			this.#receive(bytes, `${address}:${port}`);
		});
	}

	/** Bytes sent and received, including IP and UDP headers. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Binds the socket. Throws {@link ListenError} if the address can't be bound. */
	async bind(address: string): Promise<void> {
		const {host, port} = splitAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', (error) => {
				reject(new ListenError(`Cannot listen for datagrams on ${address}`, {cause: error}));
			});
			this.#socket.bind(port, host, resolve);
		});
		// A send error, such as an unreachable host, is treated as a lost datagram.
		this.#socket.on('error', () => undefined);
	}

	send(to: string, datagram: Datagram): void {
		if (this.#isClosed) {
			return;
		}

		const {host, port} = splitAddress(to);
		const bytes = this.#encode(datagram);
		this.#bytes += bytes.length + ipUdpHeaderBytes;
		this.#socket.send(bytes, port, host, () => undefined);
	}

	close(): void {
		this.#isClosed = true;
		this.#socket.close();
	}

	/** Encodes a datagram once that is sent to many nodes one after the other. */
	#encode(datagram: Datagram): Uint8Array {
		if (this.#lastSent?.datagram !== datagram) {
			this.#lastSent = {datagram, bytes: encodeDatagram(datagram)};
		}

		return this.#lastSent.bytes;
	}

	#receive(bytes: Uint8Array, from: string): void {
		this.#bytes += bytes.length + ipUdpHeaderBytes;
		let datagram: Datagram;
		try {
			datagram = decodeDatagram(bytes);
		} catch {
			this.#handlers.onMalformed(from);
			return;
		}

		this.#handlers.onDatagram(from, datagram);
	}
}

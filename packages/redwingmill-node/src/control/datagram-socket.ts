import {createSocket, type Socket} from 'node:dgram';
import {type Datagram} from 'redwingmill-core';
import {decodeDatagram, encodeDatagram} from 'redwingmill-protocol';
import {splitAddress} from '../address.js';
import {ListenError} from '../errors.js';

/** IP and UDP headers, counted with each datagram. */
const ipUdpHeaderBytes = 28;

/** What comes in. */
export type DatagramHandlers = {
	readonly onDatagram: (from: string, datagram: Datagram) => void;
	readonly onMalformed: (from: string) => void;
};

/** Sends and takes datagrams of other nodes. */
export class DatagramSocket {
	readonly #socket: Socket;
	readonly #handlers: DatagramHandlers;
	#bytes = 0;
	#isClosed = false;

	constructor(handlers: DatagramHandlers) {
		this.#handlers = handlers;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (bytes, {address, port}) => {
			this.#receive(bytes, `${address}:${port}`);
		});
	}

	/** Bytes so far, both ways. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Throws {@link ListenError} when the address can't be bound. */
	async bind(address: string): Promise<void> {
		const {host, port} = splitAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', (error) => {
				reject(new ListenError(`Can't listen for datagrams on ${address}`, {cause: error}));
			});
			this.#socket.bind(port, host, resolve);
		});
		// An error of one datagram, such as an unreachable host, is a datagram lost.
		this.#socket.on('error', () => undefined);
	}

	send(to: string, datagram: Datagram): void {
		if (this.#isClosed) {
			return;
		}

		const {host, port} = splitAddress(to);
		const bytes = encodeDatagram(datagram);
		this.#bytes += bytes.length + ipUdpHeaderBytes;
		this.#socket.send(bytes, port, host, () => undefined);
	}

	close(): void {
		this.#isClosed = true;
		this.#socket.close();
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

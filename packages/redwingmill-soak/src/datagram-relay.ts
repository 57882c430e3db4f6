import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type LinkBehaviour} from './soak-fault.js';

const host = '127.0.0.1';

/** Address of a host's datagram socket, the socket that stands for it, and what befalls it. */
type Station = {
	readonly address: string;
	readonly socket: Socket;
	behaviour: LinkBehaviour;
};

/**
 * Carries datagrams between hosts. Each host has an address here; what it sends to another's is
 * sent on from its own, so that the receiver sees the sender that it knows.
 */
export class DatagramRelay {
	readonly #stations: Station[] = [];

	/** Returns the address that others use for the host's socket. */
	async add(address: string): Promise<string> {
		const socket = createSocket('udp4');
		const station: Station = {address, socket, behaviour: {type: 'pass'}};
		socket.on('message', (bytes, {address: ip, port}) => {
			const sender = this.#stations.find((each) => each.address === `${ip}:${port}`);
			if (sender) {
				carry(sender, station, bytes);
			}
		});
		// An error of one datagram, such as a closed port, is a datagram lost.
		socket.on('error', () => undefined);
		socket.bind(0, host);
		await once(socket, 'listening');
		this.#stations.push(station);
		return `${host}:${socket.address().port}`;
	}

	/** Harms the datagrams of one host, by the order of {@link add}. */
	behave(index: number, behaviour: LinkBehaviour): void {
		this.#stations[index].behaviour = behaviour;
	}

	close(): void {
		for (const {socket} of this.#stations) {
			socket.close();
		}
	}
}

function carry(sender: Station, receiver: Station, bytes: Uint8Array): void {
	if (isOneOf(sender, 'silence', 'mute') || isOneOf(receiver, 'silence', 'deaf')) {
		return;
	}

	const separator = receiver.address.lastIndexOf(':');
	const port = Number(receiver.address.slice(separator + 1));
	const ip = receiver.address.slice(0, separator);
	setTimeout(
		() => {
			try {
				sender.socket.send(bytes, port, ip, () => undefined);
			} catch {
				// The soak is over and the socket closed.
			}
		},
		delayOf(sender) + delayOf(receiver),
	);
}

function isOneOf({behaviour}: Station, ...types: ReadonlyArray<LinkBehaviour['type']>): boolean {
	return types.includes(behaviour.type);
}

function delayOf({behaviour}: Station): number {
	return behaviour.type === 'delay' ? behaviour.delayMs : 0;
}

import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type LinkBehaviour} from './soak-fault.js';

const loopbackAddress = '127.0.0.1';

/** Address of a host's datagram socket, the socket that stands for it, and what befalls it. */
type ProxiedHost = {
	readonly address: string;
	readonly socket: Socket;
	behaviour: LinkBehaviour;
};

/**
 * Carries datagrams between hosts. Each host has an address here; what it sends to another's is
 * sent on from its own, so that the receiver sees the sender that it knows.
 */
export class DatagramFaultProxy {
	readonly #hosts: ProxiedHost[] = [];

	/** Returns the address that others use for the host's socket. */
	async add(address: string): Promise<string> {
		const socket = createSocket('udp4');
		const station: ProxiedHost = {address, socket, behaviour: {type: 'pass'}};
		socket.on('message', (bytes, {address: ip, port}) => {
			const sender = this.#hosts.find((each) => each.address === `${ip}:${port}`);
			if (sender) {
				forward(sender, station, bytes);
			}
		});
		// An error of one datagram, such as a closed port, is a datagram lost.
		socket.on('error', () => undefined);
		socket.bind(0, loopbackAddress);
		await once(socket, 'listening');
		this.#hosts.push(station);
		return `${loopbackAddress}:${socket.address().port}`;
	}

	/** Harms the datagrams of one host, by the order of {@link add}. */
	setBehaviour(index: number, behaviour: LinkBehaviour): void {
		this.#hosts[index].behaviour = behaviour;
	}

	close(): void {
		for (const {socket} of this.#hosts) {
			socket.close();
		}
	}
}

function forward(sender: ProxiedHost, receiver: ProxiedHost, bytes: Uint8Array): void {
	if (hasBehaviour(sender, 'silence', 'mute') || hasBehaviour(receiver, 'silence', 'deaf')) {
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
		delayMsOf(sender) + delayMsOf(receiver),
	);
}

function hasBehaviour(
	{behaviour}: ProxiedHost,
	...types: ReadonlyArray<LinkBehaviour['type']>
): boolean {
	return types.includes(behaviour.type);
}

function delayMsOf({behaviour}: ProxiedHost): number {
	return behaviour.type === 'delay' ? behaviour.delayMs : 0;
}

import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {type LinkBehaviour} from './soak-fault.js';

const loopbackAddress = '127.0.0.1';

/** A host's datagram address, the proxy socket that represents the host, and its link's behaviour. */
type ProxiedHost = {
	readonly address: string;
	readonly socket: Socket;
	behaviour: LinkBehaviour;
};

/**
 * Forwards datagrams between hosts and injects faults. Each host is represented by a proxy socket.
 * A datagram is forwarded from the socket that represents its sender, so that the receiver sees the
 * address under which it knows the sender.
 */
export class DatagramFaultProxy {
	readonly #hosts: ProxiedHost[] = [];

	/**
	 * Adds a host by the `ip:port` of its datagram socket. Returns the proxy address at which other
	 * hosts reach it.
	 */
	async add(address: string): Promise<string> {
		const socket = createSocket('udp4');
		const host: ProxiedHost = {address, socket, behaviour: {type: 'pass'}};
		socket.on('message', (bytes, {address: ip, port}) => {
			const sender = this.#hosts.find((each) => each.address === `${ip}:${port}`);
			if (sender) {
				forward(sender, host, bytes);
			}
		});
		// A socket error, such as an ICMP response for a closed port, counts as a lost datagram.
		socket.on('error', () => undefined);
		socket.bind(0, loopbackAddress);
		await once(socket, 'listening');
		this.#hosts.push(host);
		return `${loopbackAddress}:${socket.address().port}`;
	}

	/** Sets the faults of one host's datagrams; `index` counts the hosts in the order of {@link add}. */
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
				// The soak has ended and closed the socket.
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

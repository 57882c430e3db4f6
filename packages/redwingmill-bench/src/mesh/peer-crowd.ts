import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {
	defaultDirectoryLimits,
	heartbeatIntervals,
	type Datagram,
	type NodeRecord,
} from 'redwingmill-core';
import {decodeDatagram, encodeDatagram} from 'redwingmill-protocol';

/** Options of a {@link PeerCrowd}. */
export type CrowdOptions = {
	/** Number of nodes that the crowd stands for. */
	readonly nodes: number;
	readonly dataCentres: readonly string[];
	readonly services: readonly string[];
	/** Version of the configuration that all of them hold. */
	readonly version: number;
	/** Control address of the node that they send to. */
	readonly target: string;
};

type Peer = {
	readonly socket: Socket;
	readonly record: NodeRecord;
	readonly timer: NodeJS.Timeout;
};

const host = '127.0.0.1';
const slots = 6;

/**
 * The other nodes of a mesh, as one of its nodes sees them: each has an address of its own, announces a
 * worker, and sends heartbeats at the interval that a mesh of this size uses.
 */
export class PeerCrowd {
	readonly #options: CrowdOptions;
	readonly #peers: Peer[] = [];

	constructor(options: CrowdOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		for (let index = 0; index < this.#options.nodes; index++) {
			this.#peers.push(await this.#createPeer(index));
		}
	}

	close(): void {
		for (const {socket, timer} of this.#peers) {
			clearInterval(timer);
			socket.close();
		}
	}

	async #createPeer(index: number): Promise<Peer> {
		const {dataCentres, services, nodes} = this.#options;
		const socket = createSocket('udp4');
		socket.bind(0, host);
		await once(socket, 'listening');
		const {port} = socket.address();
		const record: NodeRecord = {
			address: `${host}:${port}`,
			dataCentre: dataCentres[index % dataCentres.length],
			incarnation: Date.now(),
			revision: 1,
			status: 'live',
			gateAddress: `${host}:${port}`,
			worker: {
				service: services[index % services.length],
				address: `${host}:${port}`,
				slots,
				state: 'ready',
				instance: `i-${index}`,
				startedAt: Date.now(),
			},
		};
		socket.on('message', (bytes) => {
			this.#answer(socket, record, decodeDatagram(bytes));
		});
		this.#announce(socket, record, true);
		const isLocal = record.dataCentre === dataCentres[0];
		const local = Math.ceil(nodes / dataCentres.length);
		const {localMs, remoteMs} = heartbeatIntervals({local, total: nodes}, defaultDirectoryLimits);
		const timer = setInterval(
			() => {
				this.#sendHeartbeat(socket, record);
			},
			isLocal ? localMs : remoteMs,
		);
		return {socket, record, timer};
	}

	#answer(socket: Socket, record: NodeRecord, datagram: Datagram): void {
		const isAsked =
			datagram.type === 'inquiry' || (datagram.type === 'announcement' && datagram.wantsReply);
		if (isAsked) {
			this.#announce(socket, record, false);
		}
	}

	#announce(socket: Socket, record: NodeRecord, wantsReply: boolean): void {
		const {version} = this.#options;
		this.#send(socket, {type: 'announcement', record, version, wantsReply});
	}

	#sendHeartbeat(socket: Socket, {incarnation, revision}: NodeRecord): void {
		const {version} = this.#options;
		const load = {callsPerSlot: Math.random(), waitMs: 0, runMs: 60, failureShare: 0};
		this.#send(socket, {
			type: 'pulse',
			incarnation,
			revision,
			version,
			load,
			isWatching: false,
			crashDigest: 0,
		});
	}

	#send(socket: Socket, datagram: Datagram): void {
		const {target} = this.#options;
		const colon = target.lastIndexOf(':');
		const port = Number(target.slice(colon + 1));
		socket.send(encodeDatagram(datagram), port, target.slice(0, colon));
	}
}

import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {
	createDirectory,
	defaultDirectoryLimits,
	initialDirectoryState,
	type ConfigurationDocument,
	type Directory,
	type DirectoryEffect,
	type DirectoryEvent,
	type NodeRecord,
} from 'redwingmill-core';
import {decodeDatagram, encodeDatagram} from 'redwingmill-protocol';
import {Random} from 'redwingmill-shared';

/** Options of a {@link PeerCrowd}. */
export type CrowdOptions = {
	/** Number of nodes that the crowd stands for. */
	readonly nodes: number;
	readonly dataCentres: readonly string[];
	readonly services: readonly string[];
	/** Version of the configuration that all of them hold. */
	readonly version: number;
	/** Control address of the node that the crowd surrounds. */
	readonly target: string;
	/** Capacity of the crowd's links in Mbit/s, which decides who the watchers are. */
	readonly linkMbps: number;
};

type Peer = {
	readonly directory: Directory;
	readonly socket: Socket;
	readonly timer: NodeJS.Timeout;
};

const host = '127.0.0.1';
const slots = 6;
const tickIntervalMs = 100;
/** Interval at which the load of each peer's worker changes. */
const loadIntervalMs = 1000;

/**
 * The other nodes of a mesh, in one process: production directories, each with an address of its own and
 * a worker, but without calls, a store or a configuration to fetch.
 */
export class PeerCrowd {
	readonly #options: CrowdOptions;
	readonly #document: ConfigurationDocument;
	#peers: readonly Peer[] = [];

	constructor(options: CrowdOptions) {
		this.#options = options;
		const configuration = {services: [], routes: []};
		this.#document = {version: options.version, configuration, source: undefined};
	}

	async start(): Promise<void> {
		const sockets: Socket[] = [];
		for (let index = 0; index < this.#options.nodes; index++) {
			const socket = createSocket('udp4').bind(0, host);
			await once(socket, 'listening');
			sockets.push(socket);
		}

		const records = sockets.map((socket, index) => this.#recordOf(socket, index));
		this.#peers = sockets.map((socket, index) => this.#createPeer(socket, records, index));
	}

	close(): void {
		for (const {socket, timer} of this.#peers) {
			clearInterval(timer);
			socket.close();
		}
	}

	#recordOf(socket: Socket, index: number): NodeRecord {
		const {dataCentres, services, linkMbps} = this.#options;
		const address = `${host}:${socket.address().port}`;
		const worker = {
			service: services[index % services.length],
			address,
			slots,
			state: 'ready',
			instance: `i-${index}`,
		} as const;
		return {
			address,
			dataCentre: dataCentres[index % dataCentres.length],
			incarnation: Date.now(),
			revision: 1,
			status: 'live',
			gateAddress: address,
			worker,
			linkMbps,
		};
	}

	#createPeer(socket: Socket, records: readonly NodeRecord[], index: number): Peer {
		const directory = createDirectory(initialDirectoryState(records[index], performance.now()), {
			limits: defaultDirectoryLimits,
			seeds: [],
			random: new Random(index + 1),
		});
		const dispatch = (event: DirectoryEvent) => {
			for (const effect of directory.dispatch(event, performance.now())) {
				const answer = perform(socket, effect);
				if (answer) {
					dispatch(answer);
				}
			}
		};

		socket.on('message', (bytes, {address, port}) => {
			dispatch({type: 'datagram', from: `${address}:${port}`, datagram: decodeDatagram(bytes)});
		});
		dispatch({type: 'configuration-read', document: this.#document, origin: 'store'});
		dispatch({type: 'store-contact', isStoreReachable: true});
		dispatch({type: 'registry-listed', records});
		dispatch({type: 'seeds-known', addresses: [this.#options.target]});
		let ticks = 0;
		const timer = setInterval(() => {
			ticks += 1;
			if (ticks % (loadIntervalMs / tickIntervalMs) === 0) {
				const load = {callsPerSlot: Math.random(), waitMs: 0, runMs: 60, failureShare: 0};
				dispatch({type: 'load-changed', load});
			}

			dispatch({type: 'tick'});
		}, tickIntervalMs);
		return {directory, socket, timer};
	}
}

/** Performs an effect. Returns the event with which a store that does nothing would answer. */
function perform(socket: Socket, effect: DirectoryEffect): DirectoryEvent | undefined {
	switch (effect.type) {
		case 'send': {
			const colon = effect.to.lastIndexOf(':');
			const port = Number(effect.to.slice(colon + 1));
			socket.send(encodeDatagram(effect.datagram), port, effect.to.slice(0, colon));
			return undefined;
		}

		case 'read-own-record': {
			return {type: 'own-record-read', hasSucceeded: true, record: undefined};
		}

		case 'write-record': {
			return {type: 'record-written', hasSucceeded: true, era: 0};
		}

		case 'list-registry': {
			return {type: 'registry-listed', records: []};
		}

		case 'read-crashes': {
			return {type: 'crashes-read', reports: []};
		}

		case 'set-watch': {
			return effect.isOn ? {type: 'store-contact', isStoreReachable: true} : undefined;
		}

		default: {
			return undefined;
		}
	}
}

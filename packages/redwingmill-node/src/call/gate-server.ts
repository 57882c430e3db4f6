import {type Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket} from 'node:net';
import {type ConfigurationReply} from '../control/configuration-history.js';
import {encodeReply} from '../control/encoded-reply.js';
import {listenOn} from '../listen.js';
import {GateConnection} from './gate-connection.js';
import {type GateService} from './gate-service.js';
import {type LinkSender} from './link-sender.js';
import {noPipelineLimits} from './server-connection.js';
import {ServerConnections} from './server-connections.js';
import {frameUpgrade} from './peer-connection.js';

/** Returns the configuration that the node holds; see {@link configurationPath}. */
const configurationBasePath = '/.redwingmill/configuration';
const sinceParameter = 'since';

/** Returns the path for requesting the configuration, or only its change since a version. */
export function configurationPath(since: number | undefined): string {
	const query = since === undefined ? '' : `?${sinceParameter}=${since}`;
	return `${configurationBasePath}${query}`;
}

/** Returns the version in a path built by {@link configurationPath}, if there is one. */
function parseSince(path: string): number | undefined {
	const value = new URL(path, 'http://gate').searchParams.get(sinceParameter);
	const since = Number(value);
	return value !== null && Number.isSafeInteger(since) ? since : undefined;
}

const notFoundStatus = 404;
/** Longer than the time after which the other side closes an idle connection. */
const idleTimeoutMs = 65_000;
const upgradeResponse = [
	'HTTP/1.1 101 Switching Protocols',
	'connection: upgrade',
	`upgrade: ${frameUpgrade.protocol}`,
	'\r\n',
].join('\r\n');

/** State of the node that the gate's server checks or returns to other nodes. */
export type GateNode = {
	readonly incarnation: () => number;
	/** Returns the configuration held, or its change since a version, in the form that nodes exchange. */
	readonly configurationSince: (since: number | undefined) => ConfigurationReply;
	/** Sends bulk responses; absent if the bandwidth of the host's link isn't known. */
	readonly link?: LinkSender;
};

/** Server through which other nodes use the gate, by frames, and fetch the configuration, by HTTP. */
export class GateServer {
	readonly #service: GateService;
	readonly #server: Server;
	readonly #bodyLimitBytes: number;
	readonly #node: GateNode;
	readonly #httpConnections: ServerConnections;
	readonly #connections = new Map<Socket, GateConnection>();

	constructor(service: GateService, bodyLimitBytes: number, node: GateNode) {
		this.#service = service;
		this.#bodyLimitBytes = bodyLimitBytes;
		this.#node = node;
		this.#httpConnections = new ServerConnections(noPipelineLimits, ({request, response}) => {
			request.resume();
			if (request.url?.startsWith(configurationBasePath)) {
				const reply = this.#node.configurationSince(parseSince(request.url));
				const {headers, body} = encodeReply(reply, request.headers);
				response.writeHead(200, headers).end(body);
			} else {
				response.writeHead(notFoundStatus).end();
			}
		});
		this.#server = createServer({noDelay: true}, (request, response) => {
			this.#httpConnections.accept(request, response);
		});
		this.#server.on('connection', (socket: Socket) => {
			this.#httpConnections.open(socket);
		});
		this.#server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
			this.#upgrade(request, socket, head);
		});
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openRequestCount(): number {
		return [...this.#connections.values()].reduce(
			(sum, {openRequestCount}) => sum + openRequestCount,
			this.#httpConnections.openRequestCount,
		);
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, 'calls');
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
		for (const socket of this.#connections.keys()) {
			socket.destroy();
		}
	}

	#upgrade({url, headers}: IncomingMessage, socket: Socket, head: Buffer): void {
		// What fails on a connection shows when it closes.
		socket.on('error', () => undefined);
		if (url !== frameUpgrade.path || headers.upgrade !== frameUpgrade.protocol) {
			socket.end(`HTTP/1.1 ${notFoundStatus} Not Found\r\nconnection: close\r\n\r\n`);
			return;
		}

		socket.write(upgradeResponse);
		const connection = new GateConnection(socket, this.#service, {
			...this.#node,
			bodyLimitBytes: this.#bodyLimitBytes,
		});
		this.#connections.set(socket, connection);
		socket.setTimeout(idleTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('end', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.#connections.delete(socket);
			connection.onClosed();
		});
		socket.on('data', (bytes: Buffer) => {
			connection.receive(bytes);
		});
		connection.receive(head);
	}
}

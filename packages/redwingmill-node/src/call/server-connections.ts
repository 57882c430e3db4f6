import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {ServerConnection, type OpenRequest, type PipelineLimits} from './server-connection.js';

/** The open connections of an HTTP server, by their socket. */
export class ServerConnections {
	readonly #connections = new Map<Socket, ServerConnection>();
	readonly #limits: PipelineLimits;
	readonly #handle: (open: OpenRequest) => void;

	/** @param handle - called for each accepted request when it is its turn. */
	constructor(limits: PipelineLimits, handle: (open: OpenRequest) => void) {
		this.#limits = limits;
		this.#handle = handle;
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openRequestCount(): number {
		return [...this.#connections.values()].reduce((sum, {openCount}) => sum + openCount, 0);
	}

	/** Number of connections, also of those that are being closed. */
	get size(): number {
		return this.#connections.size;
	}

	open(socket: Socket): void {
		this.#connections.set(socket, new ServerConnection(socket, this.#limits, this.#handle));
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
	}

	/** Returns undefined once the connection is closed. */
	get(socket: Socket): ServerConnection | undefined {
		return this.#connections.get(socket);
	}

	accept(request: IncomingMessage, response: ServerResponse): void {
		this.#connections.get(request.socket)?.accept(request, response);
	}

	closeIdle(): void {
		for (const connection of this.#connections.values()) {
			connection.closeIfIdle();
		}
	}
}

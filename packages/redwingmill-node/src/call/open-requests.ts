import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** A request whose response hasn't been sent yet. */
export type OpenRequest = {
	/** Calls back once if the connection closes before the response has been sent. */
	readonly onAbandoned: (listener: () => void) => void;
	/**
	 * Has the connection closed after this response, unless responses to later requests follow on it.
	 * Requests that arrive behind it from then on are not accepted.
	 */
	readonly closeConnection: () => boolean;
};

/** Limits on the open requests of one connection, whose responses have to wait for each other. */
export type PipelineLimits = {
	/** Number from which on no more of the connection is read. What has been read by then is still parsed. */
	readonly pauseAt: number;
	/** Number at which the connection is closed. */
	readonly closeAt: number;
};

const noLimits: PipelineLimits = {
	pauseAt: Number.POSITIVE_INFINITY,
	closeAt: Number.POSITIVE_INFINITY,
};

type Entry = {
	readonly response: ServerResponse;
	onAbandoned: (() => void) | undefined;
};

/** Requests of one connection, in their order. */
type Connection = {
	readonly entries: Set<Entry>;
	/** Whether a response to one of them closes the connection. */
	isClosing: boolean;
	/** Whether it isn't read until fewer requests are open. */
	isPaused: boolean;
};

/**
 * Keeps the requests of a server from the arrival of their headers until their response has been sent or
 * their connection is closed. A response that waits behind another one reports neither when that one
 * closes the connection, so the connections are watched as well.
 */
export class OpenRequests {
	readonly #connections = new WeakMap<Socket, Connection>();
	readonly #limits: PipelineLimits;
	#count = 0;

	/** @param limits - without them, connections may have any number of open requests. */
	constructor(limits: PipelineLimits = noLimits) {
		this.#limits = limits;
	}

	get count(): number {
		return this.#count;
	}

	/** Returns undefined for a request that must not be handled: its response could not be sent any more. */
	add({socket}: IncomingMessage, response: ServerResponse): OpenRequest | undefined {
		const connection = this.#connectionOf(socket);
		if (connection.isClosing) {
			return undefined;
		}

		if (connection.entries.size >= this.#limits.closeAt) {
			connection.isClosing = true;
			socket.destroy();
			return undefined;
		}

		const entry: Entry = {response, onAbandoned: undefined};
		connection.entries.add(entry);
		this.#count += 1;
		this.#pauseOrResume(connection, socket);
		response.once('close', () => {
			this.#remove(connection, entry);
			this.#pauseOrResume(connection, socket);
		});
		return {
			onAbandoned(listener) {
				entry.onAbandoned = listener;
			},
			closeConnection() {
				const isLast = [...connection.entries].at(-1) === entry;
				connection.isClosing ||= isLast;
				return isLast;
			},
		};
	}

	#connectionOf(socket: Socket): Connection {
		const known = this.#connections.get(socket);
		if (known) {
			return known;
		}

		const connection: Connection = {entries: new Set(), isClosing: false, isPaused: false};
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			for (const entry of connection.entries) {
				this.#remove(connection, entry);
			}
		});
		return connection;
	}

	#pauseOrResume(connection: Connection, socket: Socket): void {
		const isFull = connection.entries.size >= this.#limits.pauseAt;
		if (isFull && !connection.isPaused) {
			connection.isPaused = true;
			socket.pause();
		} else if (!isFull && connection.isPaused) {
			connection.isPaused = false;
			socket.resume();
		}
	}

	#remove(connection: Connection, entry: Entry): void {
		if (!connection.entries.delete(entry)) {
			return;
		}

		this.#count -= 1;
		if (!entry.response.writableFinished) {
			entry.onAbandoned?.();
		}
	}
}

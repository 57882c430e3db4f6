import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '../address.js';
import {
	FrameConnection,
	frameTypes,
	maximumExchange,
	SilenceDetector,
	type OutgoingMessage,
} from '../frames/index.js';
import {peerResponseBudget} from './byte-budget.js';
import {describeError, type Exchange} from './exchange.js';

/** Result of an exchange with another node. */
export type PeerResult =
	| {readonly type: 'complete'; readonly head: string; readonly body: Buffer}
	/** There was no connection, or the other side speaks another protocol: nothing was taken. */
	| {readonly type: 'refused'; readonly reason: string}
	/** The connection failed, or the exchange was aborted, before the response was complete. */
	| {readonly type: 'broken'; readonly reason: string}
	| {readonly type: 'too-large'};

/** Callbacks of an exchange. */
export type PeerListener = {
	/** Called exactly once. */
	readonly onResult: (result: PeerResult) => void;
	/** Called when the other side reports that it is processing the request. */
	readonly onAccepted?: () => void;
};

/** Path and protocol with which a connection is turned from HTTP to frames (RFC 9110, section 7.8). */
export const frameUpgrade = {path: '/.redwingmill/frames', protocol: 'redwingmill-frames'} as const;

const connectTimeoutMs = 1000;
/** Shorter than the time after which the other side closes an idle connection. */
const idleTimeoutMs = 30_000;
const headEnd = '\r\n\r\n';
const maximumUpgradeBytes = 4096;

type PeerExchange = PeerListener & {
	/** Bytes reserved for the response's body. */
	reservedBytes: number;
};

/** Connection to the gate of another node, for all exchanges with it. */
export class PeerConnection {
	readonly #socket: Socket;
	readonly #connection: FrameConnection;
	readonly #exchanges = new Map<number, PeerExchange>();
	readonly #answerLimitBytes: number;
	readonly #silence = new SilenceDetector();
	readonly #connectTimer: NodeJS.Timeout;
	#state: 'connecting' | 'upgrading' | 'open' | 'refused' = 'connecting';
	#upgradeBytes = Buffer.alloc(0);
	#lastExchange = 0;
	#isClosing = false;
	#failure = 'closed';

	/** @param address - `ip:port` of the gate. */
	constructor(address: string, answerLimitBytes: number) {
		const {host, port} = splitAddress(address);
		this.#answerLimitBytes = answerLimitBytes;
		this.#socket = connect({host, port, noDelay: true});
		this.#connection = new FrameConnection(this.#socket, {
			onHead: (exchange, _head, bodyBytes) => this.#onHead(exchange, bodyBytes),
			onMessage: (exchange, head, body) => {
				this.#finish(exchange, {type: 'complete', head, body});
			},
			onAccepted: (exchange) => {
				this.#exchanges.get(exchange)?.onAccepted?.();
			},
			onReset: (exchange) => {
				this.#finish(exchange, {type: 'broken', reason: 'reset'});
			},
			onBytes: () => {
				this.#silence.onReceived();
			},
		});
		this.#connectTimer = setTimeout(() => {
			this.#failure = 'connect-timeout';
			this.#socket.destroy();
		}, connectTimeoutMs);
		this.#listen();
		// Frames follow the request without waiting for the response, as it would delay the first call by
		// a round trip. A server that declines the upgrade reads none of them.
		const {path, protocol} = frameUpgrade;
		const lines = [`GET ${path} HTTP/1.1`, `host: ${address}`, 'connection: upgrade'];
		this.#socket.write([...lines, `upgrade: ${protocol}`].join('\r\n') + headEnd);
	}

	get isClosed(): boolean {
		return this.#socket.destroyed || this.#isClosing;
	}

	/** Whether a response is awaited. */
	get isAwaiting(): boolean {
		return this.#exchanges.size > 0;
	}

	/** Sends a request; its response is passed to `listener`. */
	send(message: OutgoingMessage, listener: PeerListener): Exchange {
		const exchange = this.#nextExchange();
		this.#exchanges.set(exchange, {...listener, reservedBytes: 0});
		this.#connection.send(exchange, message);
		return {
			abort: () => {
				if (this.#exchanges.has(exchange)) {
					this.#connection.reset(exchange);
					this.#finish(exchange, {type: 'broken', reason: 'aborted'});
				}
			},
		};
	}

	/** Sends a message that has no response. */
	notify(message: OutgoingMessage): void {
		this.#connection.send(this.#nextExchange(), message);
	}

	/** Checks at an interval whether a connection on which a response is awaited still works. */
	checkSilence(): void {
		switch (this.#silence.check(this.#state === 'open' && this.isAwaiting)) {
			case 'none': {
				break;
			}

			case 'ping': {
				this.#connection.sendSignal(frameTypes.ping);
				break;
			}

			case 'close': {
				this.#failure = 'silent';
				this.destroy();
				break;
			}
		}
	}

	/** Closes the connection once the exchanges on it have ended. */
	close(): void {
		this.#isClosing = true;
		if (!this.isAwaiting) {
			this.#socket.end();
		}
	}

	/** Breaks all exchanges on the connection. */
	destroy(): void {
		this.#socket.destroy();
	}

	#nextExchange(): number {
		this.#lastExchange = (this.#lastExchange % maximumExchange) + 1;
		return this.#lastExchange;
	}

	#listen(): void {
		this.#socket.on('connect', () => {
			this.#state = 'upgrading';
			clearTimeout(this.#connectTimer);
		});
		this.#socket.on('data', (bytes: Buffer) => {
			if (this.#state === 'open') {
				this.#connection.receive(bytes);
			} else {
				this.#readUpgrade(bytes);
			}
		});
		this.#socket.on('error', (error) => {
			this.#failure = describeError(error);
		});
		this.#socket.on('end', () => {
			this.#socket.destroy();
		});
		this.#socket.on('close', () => {
			this.#onClosed();
		});
		this.#socket.setTimeout(idleTimeoutMs, () => {
			if (!this.isAwaiting) {
				this.close();
			}
		});
	}

	#readUpgrade(bytes: Buffer): void {
		this.#upgradeBytes = Buffer.concat([this.#upgradeBytes, bytes]);
		const end = this.#upgradeBytes.indexOf(headEnd);
		if (end === -1 && this.#upgradeBytes.length <= maximumUpgradeBytes) {
			return;
		}

		if (end === -1 || !this.#upgradeBytes.toString('latin1', 0, end).startsWith('HTTP/1.1 101 ')) {
			this.#state = 'refused';
			this.#failure = 'upgrade-declined';
			this.#socket.destroy();
			return;
		}

		this.#state = 'open';
		const rest = this.#upgradeBytes.subarray(end + headEnd.length);
		this.#upgradeBytes = Buffer.alloc(0);
		this.#connection.receive(rest);
	}

	/** Returns whether a response's body is to be read. */
	#onHead(exchange: number, bodyBytes: number): boolean {
		const pending = this.#exchanges.get(exchange);
		if (pending === undefined) {
			return false;
		}

		pending.reservedBytes = bodyBytes;
		if (peerResponseBudget.reserve(bodyBytes, bodyBytes) && bodyBytes <= this.#answerLimitBytes) {
			return true;
		}

		this.#connection.reset(exchange);
		this.#finish(exchange, {type: 'too-large'});
		return false;
	}

	#finish(exchange: number, result: PeerResult): void {
		const pending = this.#exchanges.get(exchange);
		if (pending === undefined) {
			return;
		}

		this.#exchanges.delete(exchange);
		peerResponseBudget.release(pending.reservedBytes);
		pending.onResult(result);
		if (this.#isClosing) {
			this.close();
		}
	}

	#onClosed(): void {
		clearTimeout(this.#connectTimer);
		const isUnsent = this.#state === 'connecting' || this.#state === 'refused';
		for (const exchange of this.#exchanges.keys()) {
			this.#finish(exchange, {type: isUnsent ? 'refused' : 'broken', reason: this.#failure});
		}
	}
}

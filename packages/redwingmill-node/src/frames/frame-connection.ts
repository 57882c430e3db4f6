import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import process from 'node:process';
import {BodyBuffer} from '../body-buffer.js';
import {FrameError} from '../errors.js';
import {
	decodeMessage,
	encodeSignal,
	FrameReader,
	frameTypes,
	type Frame,
	type FrameType,
} from './frame.js';
import {FrameQueue, type OutgoingMessage} from './frame-queue.js';

/** Receives what arrives on a {@link FrameConnection}. */
export type FrameReceiver = {
	/** A message begins. Its body is read and passed to `onMessage` only if this returns true. */
	readonly onHead: (exchange: number, head: string, bodyBytes: number) => boolean;
	/** A message is complete. */
	readonly onMessage: (exchange: number, head: string, body: Buffer) => void;
	readonly onAccepted?: (exchange: number) => void;
	/** The other side takes no further part in an exchange. */
	readonly onReset: (exchange: number) => void;
	/** Bytes of any kind have arrived. */
	readonly onBytes?: () => void;
};

/** Decides when the next part of a large body may be written. Times are monotonic milliseconds. */
export type Pacer = {
	readonly delayMs: (now: number) => number;
	readonly onWritten: (bytes: number, now: number) => void;
};

/** A message of which a part has arrived. */
type Incoming = {
	readonly head: string;
	readonly bodyBytes: number;
	readonly body: BodyBuffer;
};

const noBytes = Buffer.alloc(0);

/**
 * Exchanges messages with another node on one connection. Many exchanges are open at once, and their
 * messages end in any order. A connection with bytes that are no frames is destroyed.
 */
export class FrameConnection {
	readonly #socket: Socket;
	readonly #receiver: FrameReceiver;
	readonly #reader = new FrameReader();
	readonly #queue = new FrameQueue();
	readonly #incoming = new Map<number, Incoming>();
	/** Callbacks of the messages whose last frame is about to be written. */
	readonly #taken: Array<() => void> = [];
	readonly #pacer: Pacer | undefined;
	#isFlushing = false;
	#isPartDelayed = false;

	/**
	 * @param socket - sends what is written before it is connected once it is.
	 * @param pacer - spaces the parts of large bodies; absent if they are written as fast as the socket takes them.
	 */
	constructor(socket: Socket, receiver: FrameReceiver, pacer?: Pacer) {
		this.#socket = socket;
		this.#receiver = receiver;
		this.#pacer = pacer;
		socket.on('drain', () => {
			this.#flush();
		});
	}

	/** Reads bytes that have arrived on the connection. */
	receive(bytes: Buffer): void {
		this.#receiver.onBytes?.();
		try {
			for (const frame of this.#reader.read(bytes)) {
				this.#onFrame(frame);
			}
		} catch (error) {
			if (!(error instanceof FrameError)) {
				throw error;
			}

			this.#socket.destroy(error);
		}
	}

	/** Sends a message. Its `onTaken` is called when the operating system has taken all of it. */
	send(exchange: number, {onTaken, ...message}: OutgoingMessage): void {
		this.#queue.addMessage(exchange, {
			...message,
			...(onTaken && {
				onTaken: () => {
					this.#taken.push(onTaken);
				},
			}),
		});
		this.#scheduleFlush();
	}

	sendSignal(type: FrameType, exchange = 0): void {
		this.#queue.addSignal(encodeSignal(type, exchange));
		this.#scheduleFlush();
	}

	/** Ends this side's part in an exchange: neither sends nor reads more of it. */
	reset(exchange: number): void {
		this.#queue.remove(exchange);
		this.#incoming.delete(exchange);
		this.sendSignal(frameTypes.reset, exchange);
	}

	#onFrame({type, exchange, payload}: Frame): void {
		switch (type) {
			case frameTypes.message: {
				this.#onMessageStart(exchange, payload);
				break;
			}

			case frameTypes.body: {
				this.#onBody(exchange, payload);
				break;
			}

			case frameTypes.accepted: {
				this.#receiver.onAccepted?.(exchange);
				break;
			}

			case frameTypes.reset: {
				this.#queue.remove(exchange);
				this.#incoming.delete(exchange);
				this.#receiver.onReset(exchange);
				break;
			}

			case frameTypes.ping: {
				this.sendSignal(frameTypes.pong);
				break;
			}

			case frameTypes.pong: {
				break;
			}
		}
	}

	#onMessageStart(exchange: number, payload: Buffer): void {
		const {head, bodyBytes, part} = decodeMessage(payload);
		if (!this.#receiver.onHead(exchange, head, bodyBytes)) {
			return;
		}

		if (part.length === bodyBytes) {
			this.#receiver.onMessage(exchange, head, part);
		} else {
			const body = new BodyBuffer();
			body.append(part);
			this.#incoming.set(exchange, {head, bodyBytes, body});
		}
	}

	#onBody(exchange: number, part: Buffer): void {
		const incoming = this.#incoming.get(exchange);
		if (incoming === undefined) {
			// The rest of a message that isn't read.
			return;
		}

		const {head, bodyBytes, body} = incoming;
		body.append(part);
		if (body.bytes > bodyBytes) {
			throw new FrameError(`The body of exchange ${exchange} is longer than announced`);
		}

		if (body.bytes === bodyBytes) {
			this.#incoming.delete(exchange);
			this.#receiver.onMessage(exchange, head, body.toBuffer());
		}
	}

	/** Sends together what is added in the same turn of the event loop. */
	#scheduleFlush(): void {
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			process.nextTick(() => {
				this.#isFlushing = false;
				this.#flush();
			});
		}
	}

	/** Whether the next part of a body is to be written later; if so, arranges for it. */
	#delaysPart(): boolean {
		const delayMs = this.#pacer?.delayMs(performance.now()) ?? 0;
		if (delayMs > 0 && !this.#isPartDelayed) {
			this.#isPartDelayed = true;
			setTimeout(() => {
				this.#isPartDelayed = false;
				this.#flush();
			}, Math.ceil(delayMs));
		}

		return delayMs > 0;
	}

	#flush(): void {
		while (!this.#queue.isEmpty && !this.#socket.writableNeedDrain && !this.#socket.destroyed) {
			if (this.#queue.hasOnlyParts && this.#delaysPart()) {
				return;
			}

			const bytes = this.#queue.take() ?? noBytes;
			this.#pacer?.onWritten(bytes.length, performance.now());
			const taken = this.#taken.splice(0);
			this.#socket.write(bytes, (error) => {
				for (const onTaken of error ? [] : taken) {
					onTaken();
				}
			});
		}
	}
}

import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** A request whose response hasn't been sent yet. */
export type OpenRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Monotonic milliseconds at which its headers had arrived. */
	readonly arrivedAt: number;
	/** Calls back once if the connection closes before the response has been sent. */
	readonly onAbandoned: (listener: () => void) => void;
	/** Tells that the response has been written, with a body of this size, and may wait behind others. */
	readonly onWritten: (bodyBytes: number) => void;
	/**
	 * Has the connection closed after this response, unless responses to later requests follow on it.
	 * Requests that arrive behind it from then on are not accepted.
	 */
	readonly closeConnection: () => boolean;
};

/** Limits on the requests of one connection, whose responses have to wait for each other. */
export type PipelineLimits = {
	/** Number of requests that are handled at the same time. Further ones wait, as the connection is read on. */
	readonly handledAtOnce: number;
	/** Bytes of written responses that aren't sent yet, from which on further requests wait. */
	readonly unsentBytes: number;
	/** Number of requests from which on no more of the connection is read. What has been read is still parsed. */
	readonly pauseAt: number;
	/** Number from which on no request is accepted: the connection ends behind the responses to the others. */
	readonly closeAt: number;
};

/** Time for a caller to read the last response before the connection is destroyed. */
const closingLingerMs = 500;

export const noPipelineLimits: PipelineLimits = {
	handledAtOnce: Number.POSITIVE_INFINITY,
	unsentBytes: Number.POSITIVE_INFINITY,
	pauseAt: Number.POSITIVE_INFINITY,
	closeAt: Number.POSITIVE_INFINITY,
};

type Entry = {
	readonly open: OpenRequest;
	isHandled: boolean;
	unsentBytes: number;
	onAbandoned: (() => void) | undefined;
};

/**
 * A connection of an HTTP server. Decides when it is read, when its requests are handled and how it ends: what
 * ends it waits until the responses to all requests that were accepted have been sent, in their order.
 */
export class ServerConnection {
	readonly #socket: Socket;
	readonly #limits: PipelineLimits;
	readonly #handle: (open: OpenRequest) => void;
	/** Accepted requests in their order. */
	readonly #entries = new Set<Entry>();
	#last: Entry | undefined;
	#acceptedCount = 0;
	/** Bytes that had been read when the last request was accepted or answered. */
	#settledBytes = 0;
	#isClosing = false;
	/** Whether requests have arrived that aren't accepted. */
	#isDropping = false;
	/** What is sent behind all responses before the connection ends; undefined while it needn't end. */
	#finalText: string | undefined;
	#isBodyWaiting = false;
	/** Whether it isn't read until fewer requests are open. */
	#isPaused = false;
	/** Monotonic milliseconds since which it has been read without a pause; undefined during one. */
	#readSince: number | undefined = performance.now();
	#lateMessageTimer: NodeJS.Timeout | undefined;

	/** @param handle - called for each accepted request when it is its turn. */
	constructor(socket: Socket, limits: PipelineLimits, handle: (open: OpenRequest) => void) {
		this.#socket = socket;
		this.#limits = limits;
		this.#handle = handle;
		socket.on('pause', () => {
			this.#readSince = undefined;
		});
		socket.on('resume', () => {
			// The HTTP server resumes a connection with each request that it reads to its end.
			if (this.#isPaused) {
				socket.pause();
			} else {
				this.#readSince ??= performance.now();
			}
		});
		socket.once('end', () => {
			this.#abandonAll();
		});
		socket.once('close', () => {
			clearTimeout(this.#lateMessageTimer);
			this.#abandonAll();
		});
	}

	/** Number of requests that have arrived, at least in part, and whose response isn't sent yet. */
	get openCount(): number {
		return this.#entries.size;
	}

	/** Whether no further request is accepted. */
	get isClosing(): boolean {
		return this.#isClosing;
	}

	/** Whether the body of the last request hasn't arrived whole. */
	get isReceivingBody(): boolean {
		return this.#last?.open.request.complete === false;
	}

	/** The last request, if it is handled already while its body is arriving. */
	get arriving(): OpenRequest | undefined {
		return this.#last?.isHandled && this.isReceivingBody ? this.#last.open : undefined;
	}

	/** Handles a request when it is its turn, unless its response could not be sent any more. */
	accept(request: IncomingMessage, response: ServerResponse): void {
		if (!this.#isClosing && this.#entries.size >= this.#limits.closeAt) {
			this.end();
		}

		if (this.#isClosing) {
			// The caller counts a request behind the last response of a connection as not read. Each that is
			// parsed nevertheless takes memory until the connection is closed.
			this.#isDropping = true;
			this.#pauseOrResume();
			return;
		}

		const entry = this.#createEntry(request, response);
		this.#last = entry;
		this.#acceptedCount += 1;
		this.#entries.add(entry);
		this.#settledBytes = this.#socket.bytesRead;
		response.once('close', () => {
			this.#remove(entry);
			this.#advance();
		});
		this.#advance();
	}

	/**
	 * Ends the connection behind the responses to the accepted requests, and accepts no others. A last request
	 * that hasn't arrived whole counts as accepted only if it is handled already.
	 *
	 * @param finalText - sent behind these responses.
	 */
	end(finalText = ''): void {
		this.#isClosing = true;
		this.#finalText ??= finalText;
		if (this.#last && !this.#last.isHandled && this.isReceivingBody) {
			this.#entries.delete(this.#last);
		}

		this.#endIfAnswered();
	}

	/** Closes the connection unless a request is open or has begun to arrive. */
	closeIfIdle(): void {
		const isArriving = this.#acceptedCount === 0 || this.#socket.bytesRead > this.#settledBytes;
		if (this.#entries.size === 0 && !isArriving) {
			this.#socket.destroySoon();
		}
	}

	/**
	 * Calls `onLate` once the connection has been read for `limitMs` without the end of the message that
	 * is arriving. Time in which this node itself doesn't read the connection doesn't count.
	 */
	onLateMessage(limitMs: number, onLate: () => void): void {
		const accepted = this.#acceptedCount;
		const wasReceivingBody = this.isReceivingBody;
		const check = () => {
			const hasEnded = this.#acceptedCount > accepted || this.isReceivingBody !== wasReceivingBody;
			if (hasEnded || this.#socket.destroyed) {
				return;
			}

			const readMs = this.#readSince === undefined ? 0 : performance.now() - this.#readSince;
			if (readMs >= limitMs) {
				onLate();
			} else {
				clearTimeout(this.#lateMessageTimer);
				this.#lateMessageTimer = setTimeout(check, Math.ceil(limitMs - readMs));
			}
		};

		check();
	}

	#createEntry(request: IncomingMessage, response: ServerResponse): Entry {
		const entry: Entry = {
			open: {
				request,
				response,
				arrivedAt: performance.now(),
				onAbandoned(listener) {
					entry.onAbandoned = listener;
				},
				onWritten(bodyBytes) {
					entry.unsentBytes = bodyBytes;
				},
				closeConnection: () => {
					const isLast = this.#last === entry && (this.#finalText ?? '') === '';
					this.#isClosing ||= isLast;
					return isLast;
				},
			},
			isHandled: false,
			unsentBytes: 0,
			onAbandoned: undefined,
		};
		return entry;
	}

	/** Handles the requests whose turn it is, and decides whether to read on. */
	#advance(): void {
		const waiting: Entry[] = [];
		let handled = 0;
		let unsentBytes = 0;
		for (const entry of this.#entries) {
			if (entry.isHandled) {
				handled += 1;
				unsentBytes += entry.unsentBytes;
			} else {
				waiting.push(entry);
			}
		}

		const room = unsentBytes < this.#limits.unsentBytes ? this.#limits.handledAtOnce - handled : 0;
		const due = waiting.splice(0, Math.max(0, room));
		// Nothing receives the body of a waiting request.
		this.#isBodyWaiting = waiting.some(({open}) => hasBody(open.request));
		this.#pauseOrResume();
		for (const entry of due) {
			entry.isHandled = true;
			this.#handle(entry.open);
		}

		this.#endIfAnswered();
	}

	#pauseOrResume(): void {
		const isFull =
			this.#isDropping || this.#isBodyWaiting || this.#entries.size >= this.#limits.pauseAt;
		if (isFull && !this.#isPaused) {
			this.#isPaused = true;
			this.#socket.pause();
		} else if (!isFull && this.#isPaused) {
			this.#isPaused = false;
			this.#socket.resume();
		}
	}

	#endIfAnswered(): void {
		if (this.#finalText === undefined || this.#entries.size > 0 || !this.#socket.writable) {
			return;
		}

		this.#socket.end(this.#finalText);
		// A caller that goes on sending would otherwise keep the connection open for good. The delay lets it
		// read the response, which a connection that is reset with unread bytes loses.
		setTimeout(() => {
			this.#socket.destroy();
		}, closingLingerMs);
	}

	#remove(entry: Entry): void {
		if (!this.#entries.delete(entry)) {
			return;
		}

		this.#settledBytes = this.#socket.bytesRead;
		if (!entry.open.response.writableFinished) {
			entry.onAbandoned?.();
		}
	}

	/** A caller that ends its side of the connection has left. */
	#abandonAll(): void {
		this.#isClosing = true;
		for (const entry of this.#entries) {
			this.#remove(entry);
		}
	}
}

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

import {createServer, type Http2Server} from 'node:http2';
import {connect as connectSocket, type Socket} from 'node:net';
import {Code, ConnectError, createClient, type ConnectRouter} from '@connectrpc/connect';
import {
	connectNodeAdapter,
	createConnectTransport,
	Http2SessionManager,
} from '@connectrpc/connect-node';
import {type Message} from 'redwingmill-core';
import {decodeMessage, encodeMessage, LinkService, type LinkRequest} from 'redwingmill-protocol';
import {splitAddress} from '../address.js';
import {listenOn} from '../listen.js';
import {type TrafficMeter} from '../observe/traffic-meter.js';
import {MessageQueue} from './message-queue.js';

/** Callbacks for events on links. */
export type LinkHandlers = {
	/** Called when another node opens a link; returns the number for the link. */
	readonly onAccepted: () => number;
	readonly onOpened: (link: number) => void;
	readonly onMessage: (link: number, message: Message) => void;
	readonly onClosed: (link: number) => void;
	/** Called when the send queue of a link is full; the link is then closed. */
	readonly onOverflow: () => void;
};

type WireMessage = ReturnType<typeof encodeMessage>;
type Outbox = MessageQueue<{readonly message: WireMessage}>;

const maximumQueuedMessages = 2000;
const maximumMessageBytes = 1024 * 1024;
/** Time for sending the queued messages of a link that is being closed. */
const closeGraceMs = 200;

type OpenLink = {
	readonly outbox: Outbox;
	readonly abort: AbortController;
};

/** Links between nodes. Each link is a bidirectional Connect stream over HTTP/2. */
export class LinkTransport {
	readonly #handlers: LinkHandlers;
	readonly #meter: TrafficMeter;
	readonly #links = new Map<number, OpenLink>();
	readonly #server: Http2Server;

	constructor(handlers: LinkHandlers, meter: TrafficMeter) {
		this.#handlers = handlers;
		this.#meter = meter;
		const routes = (router: ConnectRouter) => {
			router.service(LinkService, {
				link: (requests, {signal}) => this.#serve(requests, signal),
			});
		};

		this.#server = createServer(connectNodeAdapter({routes, readMaxBytes: maximumMessageBytes}));
		this.#server.on('connection', (socket: Socket) => {
			this.#meter.track(socket);
		});
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, 'links');
	}

	close(): void {
		for (const link of this.#links.keys()) {
			this.closeLink(link);
		}

		this.#server.close();
	}

	/** Opens a link to a node. The caller assigns the link's number. */
	openLink(link: number, address: string): void {
		const {host, port} = splitAddress(address);
		const baseUrl = `http://${address}`;
		const sessionManager = new Http2SessionManager(baseUrl, undefined, {
			createConnection: () => {
				const socket = connectSocket({host, port, noDelay: true});
				this.#meter.track(socket);
				return socket;
			},
		});
		const transport = createConnectTransport({
			httpVersion: '2',
			baseUrl,
			readMaxBytes: maximumMessageBytes,
			sessionManager,
		});
		const client = createClient(LinkService, transport);
		const {outbox, abort} = this.#addLink(link);
		// Each HTTP/2 session carries one link, and would otherwise stay open after the link is closed.
		abort.signal.addEventListener('abort', () => {
			sessionManager.abort();
		});
		const responses = client.link(outbox, {signal: abort.signal});
		// Deferred so that the event isn't dispatched while another event is being handled.
		queueMicrotask(() => {
			this.#handlers.onOpened(link);
		});
		void this.#receive(link, responses);
	}

	/** Queues a message on each of several links. Closes links whose queue is full. */
	send(links: readonly number[], message: Message): void {
		const item = {message: encodeMessage(message)};
		for (const id of links) {
			const link = this.#links.get(id);
			if (link && !link.outbox.push(item)) {
				this.#handlers.onOverflow();
				this.closeLink(id);
			}
		}
	}

	/** Closes a link after its queued messages are sent. Doesn't call `onClosed`. */
	closeLink(id: number): void {
		const link = this.#links.get(id);
		this.#links.delete(id);
		link?.outbox.close();
		setTimeout(() => {
			link?.abort.abort();
		}, closeGraceMs).unref();
	}

	async *#serve(requests: AsyncIterable<LinkRequest>, signal: AbortSignal) {
		const id = this.#handlers.onAccepted();
		const {outbox, abort} = this.#addLink(id);
		signal.addEventListener('abort', () => {
			outbox.close();
		});
		abort.signal.addEventListener('abort', () => {
			outbox.close();
		});
		void this.#receive(id, requests);
		yield* outbox;
		if (abort.signal.aborted) {
			throw new ConnectError('The node closed the link', Code.Aborted);
		}
	}

	#addLink(id: number): OpenLink {
		const link: OpenLink = {
			outbox: new MessageQueue(maximumQueuedMessages),
			abort: new AbortController(),
		};
		this.#links.set(id, link);
		return link;
	}

	async #receive(
		id: number,
		messages: AsyncIterable<{readonly message?: WireMessage}>,
	): Promise<void> {
		try {
			for await (const {message} of messages) {
				if (message && this.#links.has(id)) {
					this.#handlers.onMessage(id, decodeMessage(message));
				}
			}
		} catch {
			// A stream error closes the link like a normal end; the core decides whether to reconnect.
		}

		if (this.#links.has(id)) {
			this.closeLink(id);
			this.#handlers.onClosed(id);
		}
	}
}

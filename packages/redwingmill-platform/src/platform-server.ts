import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {objectKinds, type ObjectKind, type PlatformObject} from 'redwingmill-core';
import {TokenBucket} from 'redwingmill-shared';
import {objectPath, parseObjectPath} from './object-path.js';
import {ObjectStore, type StoreChange, type StoreList} from './object-store.js';
import {zeroCounters, type PlatformCounters} from './platform-counters.js';
import {noFault, type PlatformFault} from './platform-fault.js';
import {fromWire, toWire, type WatchEvent, type WireObject} from './wire-object.js';

const objectLimitBytes = 1024 * 1024;
const bookmarkIntervalMs = 3000;

/** Path for injecting faults, for tests only. */
export const faultPath = '/faults';
/** Path of the request counters, for tests only. */
export const counterPath = '/counters';

/**
 * Stand-in (test server) for the platform's object API: lists, watches and conditional writes in the
 * conventions of the Kubernetes REST API, with injection of faults that the real platform shows.
 */
export class PlatformServer {
	readonly #store = new ObjectStore();
	readonly #server: Server;
	readonly #watches = new Set<ServerResponse>();
	#counters = zeroCounters;
	#fault = noFault;
	#staleLists = new Map<ObjectKind, StoreList>();
	#rateLimiter = new TokenBucket(noFault.callsPerSecond, noFault.callsPerSecond, performance.now());

	constructor() {
		this.#server = createServer((request, response) => {
			// The connection is broken, so that no response can be sent, or the request is malformed.
			this.#handle(request, response).catch(() => {
				request.destroy();
			});
		});
	}

	get counters(): PlatformCounters {
		return {...this.#counters, watches: this.#watches.size};
	}

	/** Starts listening and returns the address as `ip:port`. Port 0 selects a free port. */
	async listen(host: string, port: number): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	/** Changes the given faults, keeps the others and refills the rate limiter. */
	setFault(fault: Partial<PlatformFault>): void {
		this.#fault = {...this.#fault, ...fault};
		const limit = this.#fault.callsPerSecond;
		this.#rateLimiter = new TokenBucket(limit, limit, performance.now());
		const needsSnapshot = this.#fault.isListStale && this.#staleLists.size === 0;
		if (needsSnapshot) {
			this.#staleLists = new Map(objectKinds.map((kind) => [kind, this.#store.list(kind)]));
		} else if (!this.#fault.isListStale) {
			this.#staleLists.clear();
		}
	}

	/** Closes all watches and discards the history, so that they can't be resumed. */
	expireWatches(): void {
		this.#store.compact();
		for (const watch of this.#watches) {
			watch.destroy();
		}
	}

	#closeConnectionsWhenDown(): void {
		if (this.#fault.isDown) {
			setImmediate(() => {
				this.#server.closeAllConnections();
			});
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform');
		if (url.pathname === faultPath) {
			this.setFault(JSON.parse((await readBody(request)) ?? '{}') as Partial<PlatformFault>);
			response.once('finish', () => {
				this.#closeConnectionsWhenDown();
			});
			reply(response, 200, this.#fault);
			return;
		}

		if (url.pathname === counterPath) {
			reply(response, 200, this.counters);
			return;
		}

		if (this.#fault.isDown) {
			request.destroy();
			return;
		}

		if (this.#fault.delayMs > 0) {
			await delay(this.#fault.delayMs);
		}

		if (this.#rateLimiter.take(performance.now())) {
			await this.#route(request, response, url);
		} else {
			this.#count('refused');
			response.setHeader('retry-after', '1');
			replyStatus(response, 429, 'TooManyRequests');
		}
	}

	async #route(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
		const target = parseObjectPath(url.pathname);
		if (target === undefined) {
			replyStatus(response, 404, 'NotFound');
			return;
		}

		switch (request.method) {
			case 'GET': {
				this.#count('reads');
				if (target.name !== undefined) {
					this.#get(response, target.kind, target.name);
				} else if (url.searchParams.has('watch')) {
					const fromVersion = Number(url.searchParams.get('resourceVersion') ?? 0);
					this.#watch(response, target.kind, fromVersion);
				} else {
					this.#list(response, target.kind);
				}

				break;
			}

			case 'POST':
			case 'PUT': {
				this.#count('writes');
				await this.#write(request, response);
				break;
			}

			default: {
				replyStatus(response, 405, 'MethodNotAllowed');
			}
		}
	}

	#get(response: ServerResponse, kind: ObjectKind, name: string): void {
		const object = this.#store.read(kind, name);
		if (object) {
			reply(response, 200, toWire(object));
		} else {
			replyStatus(response, 404, 'NotFound');
		}
	}

	#list(response: ServerResponse, kind: ObjectKind): void {
		const {objects, resourceVersion} = this.#staleLists.get(kind) ?? this.#store.list(kind);
		reply(response, 200, {
			kind: `${kind}List`,
			metadata: {resourceVersion: String(resourceVersion)},
			items: objects.map((object) => toWire(object)),
		});
	}

	#watch(response: ServerResponse, kind: ObjectKind, fromVersion: number): void {
		const missedChanges = this.#store.changesSince(fromVersion);
		if (missedChanges === undefined) {
			replyStatus(response, 410, 'Expired');
			return;
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.flushHeaders();
		const send = ({isNew, object}: StoreChange) => {
			if (object.kind === kind) {
				writeEvent(response, {type: isNew ? 'ADDED' : 'MODIFIED', object: toWire(object)});
			}
		};

		for (const change of missedChanges) {
			send(change);
		}

		this.#watches.add(response);
		const unregister = this.#store.registerListener(send);
		const bookmarkTimer = setInterval(() => {
			writeEvent(response, {type: 'BOOKMARK', object: this.#bookmark(kind)});
		}, bookmarkIntervalMs);
		response.once('close', () => {
			unregister();
			clearInterval(bookmarkTimer);
			this.#watches.delete(response);
		});
	}

	#bookmark(kind: ObjectKind): WireObject {
		const resourceVersion = String(this.#store.resourceVersion);
		return {apiVersion: '', kind, metadata: {name: '', resourceVersion}, spec: {}};
	}

	async #write(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (body === undefined) {
			replyStatus(response, 413, 'RequestEntityTooLarge');
			return;
		}

		const wire = JSON.parse(body) as WireObject;
		const expected = wire.metadata.resourceVersion ?? '0';
		const object = fromWire({...wire, metadata: {...wire.metadata, resourceVersion: expected}});
		const outcome = this.#store.write(object);
		if (outcome.type !== 'written') {
			this.#count('conflicts');
			replyStatus(response, 409, 'Conflict');
		} else if (this.#fault.lostAnswers > 0) {
			this.#fault = {...this.#fault, lostAnswers: this.#fault.lostAnswers - 1};
			request.destroy();
		} else {
			this.#replyWritten(response, object, outcome.resourceVersion);
		}
	}

	#replyWritten(response: ServerResponse, object: PlatformObject, resourceVersion: number): void {
		const {kind, name} = object;
		response.setHeader('location', objectPath(kind, name));
		reply(response, 200, {...toWire({...object, resourceVersion}), spec: {}});
	}

	#count(counter: keyof PlatformCounters): void {
		this.#counters = {...this.#counters, [counter]: this.#counters[counter] + 1};
	}
}

/** Reads the request body; returns undefined if it exceeds {@link objectLimitBytes}. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of request) {
		bytes += (chunk as Buffer).length;
		if (bytes <= objectLimitBytes) {
			chunks.push(chunk as Buffer);
		}
	}

	return bytes > objectLimitBytes ? undefined : Buffer.concat(chunks).toString('utf8');
}

function writeEvent(response: ServerResponse, event: WatchEvent): void {
	response.write(`${JSON.stringify(event)}\n`);
}

function reply(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

function replyStatus(response: ServerResponse, status: number, reason: string): void {
	reply(response, status, {kind: 'Status', status: 'Failure', code: status, reason});
}

import {type Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {
	type ObjectKind,
	type PlatformObject,
	type ReadOutcome,
	type WriteOutcome,
} from 'redwingmill-core';
import {PlatformError, RateLimitError, StaleListError, WatchExpiredError} from './errors.js';
import {objectPath} from './object-path.js';
import {fromWire, toWire, type WatchEvent, type WireList, type WireObject} from './wire-object.js';

/** All objects of one kind and the resource version from which to start a watch. */
export type ObjectList = {
	readonly resourceVersion: number;
	readonly objects: readonly PlatformObject[];
};

/** One event of a watch. A bookmark has only a resource version; it also stands for a deletion. */
export type ObjectChange =
	| {readonly type: 'changed'; readonly object: PlatformObject}
	| {readonly type: 'bookmark'; readonly resourceVersion: number};

const callTimeoutMs = 3000;
/** The platform sends bookmarks regularly, so a watch without data for longer has failed. */
const watchIdleTimeoutMs = 10_000;
const maximumConnections = 8;

/** Client of the platform's object API. */
export class PlatformClient {
	readonly #pool: Pool;
	#newestSeenVersion = 0;

	/**
	 * @param address - `ip:port` of the object API.
	 * @param onSocket - called with the socket of each new connection, to count traffic.
	 */
	constructor(address: string, onSocket?: (socket: Socket) => void) {
		const connect = buildConnector({timeout: callTimeoutMs});
		this.#pool = new Pool(`http://${address}`, {
			connections: maximumConnections,
			connect(options, callback) {
				connect(options, (...result) => {
					if (result[1]) {
						onSocket?.(result[1]);
					}

					callback(...result);
				});
			},
			headersTimeout: callTimeoutMs,
			bodyTimeout: watchIdleTimeoutMs,
		});
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	/** Reads one object. Never throws: a failure is reported as an outcome. */
	async read(kind: ObjectKind, name: string): Promise<ReadOutcome> {
		try {
			const {status, body} = await this.#call('GET', objectPath(kind, name));
			if (status === 404) {
				return {type: 'missing'};
			}

			if (status !== 200) {
				return {type: 'failed'};
			}

			return {type: 'found', object: this.#recordVersion(fromWire(body as WireObject))};
		} catch {
			return {type: 'failed'};
		}
	}

	/**
	 * Writes one object if its stored version is still `object.resourceVersion`. Never throws: a
	 * failure is reported as an outcome.
	 */
	async write(object: PlatformObject): Promise<WriteOutcome> {
		const isNew = object.resourceVersion === 0;
		const path = isNew ? objectPath(object.kind) : objectPath(object.kind, object.name);
		try {
			const {status, body} = await this.#call(isNew ? 'POST' : 'PUT', path, toWire(object));
			switch (status) {
				case 200:
				case 201: {
					const resourceVersion = Number((body as WireObject).metadata.resourceVersion);
					this.#newestSeenVersion = Math.max(this.#newestSeenVersion, resourceVersion);
					return {type: 'written', resourceVersion};
				}

				case 409: {
					return {type: 'conflict'};
				}

				default: {
					return {type: status < 500 ? 'failed' : 'unknown'};
				}
			}
		} catch (error) {
			return {type: hasFailedToConnect(error) ? 'failed' : 'unknown'};
		}
	}

	/**
	 * Lists the objects of a kind. Throws {@link StaleListError} if the list is older than a resource
	 * version that this client has already read or written.
	 */
	async list(kind: ObjectKind): Promise<ObjectList> {
		const {status, body} = await this.#call('GET', objectPath(kind));
		if (status !== 200) {
			throw statusError(status);
		}

		const {metadata, items} = body as WireList;
		const resourceVersion = Number(metadata.resourceVersion);
		if (resourceVersion < this.#newestSeenVersion) {
			throw new StaleListError(
				`list of ${kind} is stale: resource version ${resourceVersion} is older than ${this.#newestSeenVersion}`,
			);
		}

		this.#newestSeenVersion = resourceVersion;
		return {resourceVersion, objects: items.map((item) => fromWire(item))};
	}

	/**
	 * Yields the changes after `resourceVersion` until the watch ends. Throws
	 * {@link WatchExpiredError} if the watch can't be resumed and the kind must be listed again.
	 */
	async *watch(
		kind: ObjectKind,
		resourceVersion: number,
		signal: AbortSignal,
	): AsyncGenerator<ObjectChange> {
		const path = `${objectPath(kind)}?watch=1&allowWatchBookmarks=true&resourceVersion=${resourceVersion}`;
		const {statusCode, body} = await this.#pool.request({path, method: 'GET', signal});
		if (statusCode !== 200) {
			await body.dump();
			throw statusCode === 410
				? new WatchExpiredError(
						`watch of ${kind} can't start: the changes since resource version ${resourceVersion} are no longer kept`,
					)
				: statusError(statusCode);
		}

		// Reports the open watch before its first event arrives.
		yield {type: 'bookmark', resourceVersion};
		for await (const line of readLines(body)) {
			yield this.#parseEvent(line);
		}
	}

	#parseEvent(line: string): ObjectChange {
		const {type, object} = JSON.parse(line) as WatchEvent;
		switch (type) {
			case 'ADDED':
			case 'MODIFIED': {
				return {type: 'changed', object: this.#recordVersion(fromWire(object))};
			}

			case 'DELETED':
			case 'BOOKMARK': {
				const resourceVersion = Number(object.metadata.resourceVersion);
				return {type: 'bookmark', resourceVersion};
			}

			case 'ERROR': {
				throw new WatchExpiredError('the platform ended the watch with an ERROR event');
			}
		}
	}

	#recordVersion(object: PlatformObject): PlatformObject {
		this.#newestSeenVersion = Math.max(this.#newestSeenVersion, object.resourceVersion);
		return object;
	}

	async #call(method: Dispatcher.HttpMethod, path: string, body?: WireObject) {
		const response = await this.#pool.request({
			method,
			path,
			headers: {'content-type': 'application/json'},
			body: body && JSON.stringify(body),
			signal: AbortSignal.timeout(callTimeoutMs),
		});
		return {status: response.statusCode, body: await response.body.json()};
	}
}

async function* readLines(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of body) {
		const parts = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = parts.pop() ?? '';
		yield* parts;
	}
}

function statusError(status: number): Error {
	return status === 429
		? new RateLimitError('the platform rejected the request: rate limit exceeded (429)')
		: new PlatformError(`the platform answered with unexpected status ${status}`);
}

/** Whether no connection was established, so that the platform can't have received the request. */
function hasFailedToConnect(error: unknown): boolean {
	const {code} = error as {code?: string};
	return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {toWire} from './wire.js';

const objectsPath = '/redwingmill/objects/';

/** Reads a request's body as text. */
async function readText(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

/** Stand-in of the platform's metadata store: objects by kind and name, one revision counter, long polls. */
export class Store {
	#revision = 1;
	#objects = new Map();
	#events = [];
	#polls = new Set();
	#server = createServer(async (request, response) => {
		try {
			await this.#handle(request, response);
		} catch (error) {
			response.writeHead(400).end(String(error));
		}
	});

	async listen(host, port) {
		await new Promise((resolve) => {
			this.#server.listen(port, host, resolve);
		});
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes an object as the operator does. */
	put(kind, name, spec) {
		this.#save(kind, name, {spec});
	}

	#kind(kind) {
		const objects = this.#objects.get(kind) ?? new Map();
		this.#objects.set(kind, objects);
		return objects;
	}

	#save(kind, name, {spec, status}) {
		const objects = this.#kind(kind);
		const known = objects.get(name);
		this.#revision += 1;
		const object = {
			metadata: {
				name,
				revision: this.#revision,
				finalizers: [],
				deleting: false,
			},
			spec: spec ?? known?.spec,
			status: status ?? known?.status ?? null,
		};
		objects.set(name, object);
		this.#events.push({kind, revision: this.#revision, event: {deleted: false, object}});
		for (const poll of this.#polls) {
			poll();
		}

		return object;
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const send = (status, body) => {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body ?? {}));
		};

		const [kind, name, part] = url.pathname
			.slice(objectsPath.length)
			.split('/')
			.map((text) => decodeURIComponent(text));
		const text = await readText(request);
		const body = text === '' ? {} : JSON.parse(text);
		const objects = this.#kind(kind);
		switch (request.method) {
			case 'GET': {
				this.#read({url, kind, name, objects}, response, send);
				break;
			}

			case 'POST': {
				const known = objects.get(body.metadata.name);
				send(known ? 409 : 201, known ?? this.#save(kind, body.metadata.name, body));
				break;
			}

			case 'PUT': {
				const known = objects.get(name);
				const expected = body.metadata?.revision;
				if (known === undefined) {
					send(404);
				} else if (expected !== undefined && expected !== known.metadata.revision) {
					send(409, known);
				} else {
					const saved = part === 'status' ? {status: body.status} : {spec: body.spec};
					send(200, this.#save(kind, name, saved));
				}

				break;
			}

			default: {
				send(405);
			}
		}
	}

	#read({url, kind, name, objects}, response, send) {
		const since = url.searchParams.get('watch');
		if (name !== undefined) {
			const object = objects.get(name);
			send(object ? 200 : 404, object);
		} else if (since === null) {
			const page = {hasMore: false, currentRev: this.#revision};
			send(200, {items: [...objects.values()], ...toWire(page)});
		} else {
			const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
			this.#watch({kind, since: Number(since), waitMs}, response, send);
		}
	}

	#watch({kind, since, waitMs}, response, send) {
		const changes = () =>
			this.#events.filter((each) => each.kind === kind && each.revision > since);
		const answer = () => {
			clearTimeout(timer);
			this.#polls.delete(poll);
			const events = changes().map(({event}) => event);
			send(200, {events, ...toWire({currentRev: this.#revision})});
		};

		const poll = () => {
			if (changes().length > 0) {
				answer();
			}
		};

		const timer = setTimeout(answer, waitMs);
		this.#polls.add(poll);
		response.once('close', () => {
			clearTimeout(timer);
			this.#polls.delete(poll);
		});
		poll();
	}
}

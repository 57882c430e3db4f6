import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Store} from './store.js';
import {Worker} from './worker.js';
import {toWire} from './wire.js';

const repository = path.resolve(import.meta.dirname, '../..');
const startTimeoutMs = 20_000;
const firstPort = 12_000;
const portSpan = 18_000;

/** Returns the command with which the deploy file starts a node. */
function nodeCommand() {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"/mv.exec(text).groups.command.split(' ');
}

function valueOf(values, name) {
	let value = values;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
}

/** Fills in the template of a node's settings, as the platform does. */
function fill(template, values) {
	return template
		.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv, (...match) => {
			const {name, inner} = match.at(-1);
			const value = valueOf(values, name);
			if (Array.isArray(value)) {
				return value
					.map((each) => inner.replace('{{.|json}}', JSON.stringify(each)).replace('{{,}}', ''))
					.join(',');
			}

			return value === undefined ? '' : fill(inner, values);
		})
		.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (...match) => {
			const {name, json} = match.at(-1);
			const value = valueOf(values, name);
			return json ? JSON.stringify(value) : String(value);
		});
}

/** Whether a port of a loopback address is free for TCP and for UDP. */
async function isFree(host, port) {
	const server = createServer();
	const isFreeForTcp = await new Promise((resolve) => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			resolve(true);
		});
	});
	server.close();
	const socket = createSocket('udp4');
	const isFreeForUdp = await new Promise((resolve) => {
		socket.once('error', () => {
			resolve(false);
		});
		socket.bind(port, host, () => {
			resolve(true);
		});
	});
	socket.close();
	return isFreeForTcp && isFreeForUdp;
}

let nextPort = firstPort + (process.pid % portSpan);

/** Returns a number of free ports, below those that the system gives to outgoing connections. */
async function freePorts(host, count) {
	const ports = [];
	while (ports.length < count) {
		nextPort = nextPort >= firstPort + portSpan ? firstPort : nextPort + 1;
		// eslint-disable-next-line no-await-in-loop
		if (await isFree(host, nextPort)) {
			ports.push(nextPort);
		}
	}

	return ports;
}

/** A small deployment: a store, machines with a node and a worker each, and a record of what happened. */
export class Mesh {
	machines = [];
	store = new Store();
	#folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-review-'));
	#startedAt = performance.now();
	#recordFile;
	#bounds;
	#isClosed = false;
	#host = '127.0.0.1';

	/** @param recordFile - file that gets what was sent, answered and run. */
	constructor(recordFile, bounds) {
		this.#recordFile = recordFile;
		this.#bounds = bounds;
		writeFileSync(recordFile, '');
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				this.close();
				process.exit(2);
			});
		}
	}

	record(event, fields = {}) {
		const at = Math.round(performance.now() - this.#startedAt);
		appendFileSync(this.#recordFile, `${JSON.stringify({at, event, ...fields})}\n`);
	}

	get now() {
		return performance.now() - this.#startedAt;
	}

	/**
	 * Starts the store and all nodes and workers, and waits until all nodes are ready and know all others.
	 *
	 * @param machines - for each machine its `service`, and options of its worker.
	 */
	async start(machines, configuration) {
		const [storePort] = await freePorts(this.#host, 1);
		await this.store.listen(this.#host, storePort);
		this.store.put('config', 'main', configuration);
		for (const [index, {service, zone = 'z-a', worker}] of machines.entries()) {
			// eslint-disable-next-line no-await-in-loop
			const ports = await freePorts(this.#host, 7);
			const [proxy, gate, control, operators, ready, announcements, app] = ports;
			const address = (port) => `${this.#host}:${port}`;
			const settings = {
				zone,
				ip: this.#host,
				portRange: [control, operators],
				listen: {
					outbound: address(proxy),
					inbound: address(gate),
					ready: address(ready),
					control: address(announcements),
				},
				service,
				platform: {address: address(storePort)},
				firstStart: true,
				seeds: [],
				bounds: this.#bounds,
				limits: {linkMbps: 1000},
			};
			const template = readFileSync(path.join(repository, 'deploy/settings.jsonc'), 'utf8');
			const file = path.join(this.#folder, `settings-${index}.jsonc`);
			writeFileSync(file, fill(template, toWire(settings)));
			const machine = {
				index,
				service,
				file,
				proxyPort: proxy,
				readyPort: ready,
				host: this.#host,
				worker: new Worker({
					id: `i-${service}-${index}`,
					service,
					zone,
					host: this.#host,
					port: app,
					control: address(announcements),
					answer: () => ({body: Buffer.from('answer\n')}),
					record: (event, fields) => {
						this.record(event, fields);
					},
					...worker,
				}),
			};
			this.machines.push(machine);
			this.startNode(machine);
			// eslint-disable-next-line no-await-in-loop
			await machine.worker.start();
		}

		const giveUpAt = performance.now() + startTimeoutMs;
		for (const machine of this.machines) {
			// eslint-disable-next-line no-await-in-loop
			while (!(await isReady(machine))) {
				if (performance.now() > giveUpAt) {
					throw new Error(
						`Node ${machine.index} isn't ready: ${machine.log.join('').slice(-2000)}`,
					);
				}

				// eslint-disable-next-line no-await-in-loop
				await delay(200);
			}
		}

		// Workers' heartbeats and the nodes' announcements.
		await delay(3000);
	}

	startNode(machine) {
		if (this.#isClosed) {
			return;
		}

		const [command, ...parameters] = nodeCommand();
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(command, parameters, {
			cwd: repository,
			env: {PATH, HOME, LANG, REDWINGMILL_BOOT: machine.file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		machine.child = child;
		machine.log = [];
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', (text) => {
				machine.log.push(text);
			});
		}

		child.once('exit', (code, signal) => {
			this.record('node-ended', {node: machine.index, code, signal});
			machine.hasEnded = child === machine.child;
		});
		this.record('node-started', {node: machine.index, pid: child.pid});
	}

	close() {
		this.#isClosed = true;
		for (const {child, worker} of this.machines) {
			child.kill('SIGKILL');
			worker.stop();
		}

		this.store.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Whether a node answers the platform's readiness check with 200. */
async function isReady({host, readyPort}) {
	try {
		const response = await fetch(`http://${host}:${readyPort}/redwingmill/ready`);
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
}

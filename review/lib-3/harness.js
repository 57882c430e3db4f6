/* eslint camelcase: "off", no-await-in-loop: "off", no-void: "off", unicorn/no-process-exit: "off" -- the platform's field names; steps of a case come one after the other */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {StoreStandIn} from '../../platform/dist/stand-ins/store-stand-in.js';
import {renderTemplate} from './template.js';
import {send} from './client.js';

const root = path.join(import.meta.dirname, '..', '..');
const runCommand = /^run = "(?<words>[^"]+)"/mv;
const portsPerNode = {inbound: 0, app: 1, ready: 2, outbound: 4, control: 6};
const linkOffset = 30;
const firstRangePort = 10;
const rangePorts = 16;

/** Bounds of the deployment `tbn-dagboeken`, as its page states them. */
const bounds = {
	config_apply_ms: 2000,
	contact_ms: 3000,
	drain_timeout_ms: 2000,
	grace_s: 6,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	budget_slack: 56,
};

/** Returns the command of the deploy file that starts a node, as words. */
function nodeCommand() {
	const text = readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return runCommand.exec(text).groups.words.split(' ');
}

async function isFree(host, port) {
	const server = createServer();
	try {
		server.listen(port, host);
		await once(server, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
}

/** A node of the project as a process, with the settings that the platform would fill in. */
class NodeProcess {
	exits = [];
	#mesh;
	#file;
	#child;
	#fields;
	#startCount = 0;

	constructor(mesh, {name, ip, zone, service, seeds, isLinked}) {
		this.#mesh = mesh;
		this.name = name;
		this.ip = ip;
		this.service = service;
		const at = (offset) => `${ip}:${mesh.portBase + offset}`;
		this.listen = Object.fromEntries(
			Object.entries(portsPerNode).map(([key, offset]) => [key, at(offset)]),
		);
		this.linkAddress = isLinked ? at(linkOffset) : undefined;
		this.#file = path.join(mesh.directory, `${name}.jsonc`);
		this.#fields = {
			zone,
			ip,
			listen: this.listen,
			port_range: [mesh.portBase + firstRangePort, mesh.portBase + firstRangePort + rangePorts - 1],
			service,
			platform: {address: mesh.storeAddress},
			seeds,
			bounds,
			limits: {link_mbps: 1000},
		};
	}

	get pid() {
		return this.#child?.pid;
	}

	get isRunning() {
		return this.#child !== undefined;
	}

	/** Starts the process, unless the case has ended. */
	start() {
		if (this.#mesh.isStopped) {
			return;
		}

		const fields = {...this.#fields, first_start: this.#startCount === 0};
		this.#startCount += 1;
		const template = readFileSync(path.join(root, 'deploy', 'settings.jsonc'), 'utf8');
		writeFileSync(this.#file, this.#withLink(renderTemplate(template, fields)));
		const [program, ...words] = nodeCommand();
		const child = spawn(program, words, {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, REDWINGMILL_BOOT: this.#file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		const log = (chunk) => {
			this.#mesh.log(this.name, String(chunk));
		};

		child.stdout.on('data', log);
		child.stderr.on('data', log);
		child.on('exit', (code, signal) => {
			this.exits.push({code, signal});
			if (this.#child === child) {
				this.#child = undefined;
			}
		});
		this.#mesh.record(`${this.name}: process ${child.pid} started`);
	}

	/** Sends a signal to the process. */
	signal(name) {
		this.#mesh.record(`${this.name}: ${name}`);
		this.#child?.kill(name);
	}

	async exited() {
		if (this.#child) {
			await once(this.#child, 'exit');
		}
	}

	/** Adds the address at which other nodes reach this one's gate through a proxy, if there is one. */
	#withLink(settings) {
		const {linkAddress} = this;
		if (linkAddress === undefined) {
			return settings;
		}

		const control = `${this.#fields.ip}:${this.#fields.port_range[0]}`;
		const advertised = JSON.stringify({control, gate: linkAddress});
		return settings.replace('"caller":', `"advertised": ${advertised},\n\t"caller":`);
	}

	async isReady() {
		const {status} = await send(this.listen.ready, {path: '/redwingmill/ready', timeoutMs: 500});
		return status === 200;
	}
}

/** A small deployment: the store, and nodes as processes, each with its own loopback address. */
export class Mesh {
	store = new StoreStandIn();
	nodes = [];
	storeAddress = '';
	portBase = 0;
	isStopped = false;
	#startedAt = performance.now();
	#recordFile;
	#subnet = `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;
	#isSaving = Boolean(process.env.NODE_LOGS);

	/** @param folder - folder of the case, for its `record.txt`. */
	constructor(folder) {
		this.#recordFile = path.join(folder, 'record.txt');
		writeFileSync(this.#recordFile, '');
		this.directory = mkdtempSync(path.join(tmpdir(), 'review-3-'));
	}

	/** Milliseconds since the start. */
	get now() {
		return performance.now() - this.#startedAt;
	}

	record(text) {
		appendFileSync(this.#recordFile, `${(this.now / 1000).toFixed(3)} ${text}\n`);
	}

	log(name, text) {
		if (this.#isSaving) {
			appendFileSync(path.join(process.env.NODE_LOGS, `${name}.log`), text);
		}
	}

	/** @param storeProxy - returns the address that the nodes use in place of the store's. */
	async startStore(storeProxy = (address) => address) {
		this.storeAddress = await storeProxy(await this.store.listen());
		for (;;) {
			this.portBase = 20_000 + Math.floor(Math.random() * 10_000);
			const probes = [0, 1, 2, 4, 6, 10, 25, linkOffset].map(async (offset) =>
				isFree(`${this.#subnet}.1`, this.portBase + offset),
			);
			const free = await Promise.all(probes);
			if (free.every(Boolean)) {
				return;
			}
		}
	}

	/** @param node.isLinked - whether other nodes reach its gate through a proxy at its `linkAddress`. */
	addNode({zone, service, isLinked = false}) {
		const index = this.nodes.length + 1;
		const node = new NodeProcess(this, {
			name: `node-${index}`,
			ip: `${this.#subnet}.${index}`,
			zone,
			service,
			isLinked,
			seeds: this.nodes.slice(0, 3).map(({listen}) => listen.control),
		});
		this.nodes.push(node);
		return node;
	}

	configure(source) {
		this.record(`operator: configuration ${source.version}`);
		this.store.put('config', 'main', source);
	}

	/** Ends all processes that were started. */
	async stop() {
		this.isStopped = true;
		for (const node of this.nodes) {
			if (node.isRunning) {
				node.signal('SIGCONT');
				node.signal('SIGKILL');
				await node.exited();
			}
		}

		await this.store.close();
		rmSync(this.directory, {recursive: true, force: true});
	}
}

/** Waits until a condition holds; throws after a time-out. */
export async function until(condition, what, timeoutMs = 20_000) {
	const endsAt = performance.now() + timeoutMs;
	while (performance.now() < endsAt) {
		if (await condition()) {
			return;
		}

		await delay(50);
	}

	throw new TypeError(`Timed out waiting for ${what}`);
}

/**
 * Runs a case and exits with 1 if it found its rule broken, 0 if the rule held, 2 if the case couldn't run.
 *
 * @param run - gets the mesh and whether to make trouble; returns the breaches found, as texts.
 */
export async function runCase(folder, run) {
	const mesh = new Mesh(folder);
	let status = 2;
	process.on('uncaughtException', (error) => {
		mesh.record(`could not run: ${error.stack}`);
		console.error(error);
		for (const node of mesh.nodes) {
			node.signal('SIGKILL');
		}

		process.exit(2);
	});
	try {
		const breaches = await run(mesh, process.env.TROUBLE !== '0');
		for (const breach of breaches) {
			mesh.record(`BROKEN ${breach}`);
			console.log(breach);
		}

		status = breaches.length > 0 ? 1 : 0;
	} catch (error) {
		mesh.record(`could not run: ${error.stack}`);
		console.error(error);
	}

	await mesh.stop();
	mesh.record(`exit ${status}`);
	process.exitCode = status;
	setTimeout(() => {
		process.exit(status);
	}, 200);
}

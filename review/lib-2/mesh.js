/* Starts nodes with the commands of the deploy file, on loopback addresses, beside stand-ins. */
/* eslint-disable camelcase -- the platform spells its fields so */
/* eslint-disable no-await-in-loop -- steps come one after the other */
/* eslint-disable no-void -- a signal ends the script beside what it does */
/* eslint-disable unicorn/no-process-exit -- its result is the exit code */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {StoreStandIn} from '../../platform/dist/stand-ins/store-stand-in.js';

export const root = fileURLToPath(new URL('../../', import.meta.url));
/** The ports are the same on all machines, below those that the system gives out, and others in each run. */
const firstPort = 10_000 + 300 * Math.floor(Math.random() * 60);
const ports = {
	inbound: firstPort,
	app: firstPort + 1,
	ready: firstPort + 2,
	outbound: firstPort + 4,
	control: firstPort + 6,
	range: firstPort + 20,
};
/** Ports for what the script itself listens on. */
export const scriptPorts = {workers: firstPort + 100, link: firstPort + 200};

/** Command of the deploy file that starts a node. */
function runWords() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/mv.exec(text)[1].split(' ');
}

function lookUp(name, scopes) {
	for (const scope of scopes) {
		let value = scope;
		for (const part of name === '.' ? [] : name.split('.')) {
			value = value?.[part];
		}

		if (value !== undefined) {
			return value;
		}
	}

	return undefined;
}

/** Fills in a template as the deploy page says: values, sections and inverted sections. */
function render(template, scopes) {
	const section = /\{\{([#^])([^\}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/v;
	const match = section.exec(template);
	if (match) {
		const [whole, sign, name, body] = match;
		const value = lookUp(name, scopes);
		const isPresent = value !== undefined && value !== null && value !== false;
		let middle = '';
		if (sign === '#' && Array.isArray(value)) {
			middle = value
				.map((item, index) =>
					render(body.replaceAll('{{,}}', index + 1 < value.length ? ',' : ''), [item, ...scopes]),
				)
				.join('');
		} else if ((sign === '#') === isPresent) {
			middle = render(body, scopes);
		}

		const rest = template.slice(match.index + whole.length);
		return render(template.slice(0, match.index), scopes) + middle + render(rest, scopes);
	}

	return template.replaceAll(/\{\{([^\}\|]+)(\|json)?\}\}/gv, (_text, name, json) => {
		const value = lookUp(name, scopes);
		return json ? JSON.stringify(value ?? null) : String(value ?? '');
	});
}

/** A machine: its node, and the addresses that the platform gives out. */
export class Machine {
	constructor(mesh, index, {service, zone, memoryMb = 350}) {
		const ip = `127.${mesh.net}.${10 + index}`;
		this.mesh = mesh;
		this.name = `sidecar-${zone}-${index}`;
		this.ip = ip;
		this.service = service;
		this.zone = zone;
		this.memoryMb = memoryMb;
		this.outbound = `${ip}:${ports.outbound}`;
		this.ready = `${ip}:${ports.ready}`;
		this.control = `${ip}:${ports.control}`;
		this.app = `${ip}:${ports.app}`;
		this.inbound = `${ip}:${ports.inbound}`;
		/** Address at which the other nodes reach the gate; absent if it is the gate's own. */
		this.gateLink = undefined;
		this.isFirstStart = true;
		this.child = undefined;
		this.log = '';
	}

	#writeSettings() {
		const {mesh, ip} = this;
		const fields = {
			node_name: this.name,
			zone: this.zone,
			ip,
			listen: {
				inbound: `${ip}:${ports.inbound}`,
				outbound: this.outbound,
				ready: this.ready,
				control: this.control,
			},
			port_range: [ports.range, ports.range + 15],
			seeds: [],
			first_start: this.isFirstStart,
			limits: {memory_mb: this.memoryMb, link_mbps: 1000},
			bounds: {
				retry_budget_ratio: 0.2,
				budget_slack: 60,
				budget_window_s: 10,
				grace_s: 6,
			},
			service: this.service,
			platform: {address: mesh.platform},
		};
		const template = readFileSync(path.join(root, 'deploy/settings.jsonc'), 'utf8');
		const file = path.join(mesh.folder, `${this.name}.jsonc`);
		const text = render(template, [fields]);
		const {gateLink} = this;
		const advertised = {gate: gateLink, control: `${ip}:${ports.range}`};
		// The other nodes reach the gate through a link of the script.
		const added = `{\n"advertised": ${JSON.stringify(advertised)},`;
		writeFileSync(file, gateLink === undefined ? text : text.replace('{', added));
		return file;
	}

	/** The platform gives the machine's address to another service, and changes the settings file. */
	changeService(service) {
		this.service = service;
		this.#writeSettings();
	}

	/** Starts the node's process. */
	start() {
		const file = this.#writeSettings();
		this.isFirstStart = false;
		const [command, ...words] = runWords();
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(command === 'node' ? process.execPath : command, words, {
			cwd: root,
			env: {PATH, HOME, ...(LANG && {LANG}), REDWINGMILL_BOOT: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.child = child;
		const keep = (chunk) => {
			this.log += String(chunk);
		};

		child.stdout.on('data', keep);
		child.stderr.on('data', keep);
		child.ended = new Promise((resolve) => {
			child.once('exit', (code, signal) => {
				child.hasEnded = true;
				resolve({code, signal});
			});
		});
	}

	signal(name) {
		if (this.child && !this.child.hasEnded) {
			this.child.kill(name);
		}
	}

	/** Resident memory of the process in MB. */
	get residentMb() {
		try {
			const text = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
			return Number(/^VmRSS:\s+(\d+)/mv.exec(text)[1]) / 1024;
		} catch {
			return 0;
		}
	}

	/** Whether the readiness check gets a 200. */
	async isReady() {
		try {
			const response = await fetch(`http://${this.ready}/redwingmill/ready`, {
				signal: AbortSignal.timeout(1000),
			});
			await response.text();
			return response.status === 200;
		} catch {
			return false;
		}
	}
}

/** The store, the machines and a temporary folder for their settings. */
export class Mesh {
	store = new StoreStandIn();
	machines = [];
	folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-review-'));
	net = `${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;

	add(options) {
		const machine = new Machine(this, this.machines.length, options);
		this.machines.push(machine);
		return machine;
	}

	async start() {
		this.platform ??= await this.store.listen();
		for (const machine of this.machines) {
			machine.start();
		}
	}

	async waitUntilReady(limitMs = 15_000) {
		const end = performance.now() + limitMs;
		while (performance.now() < end) {
			const answers = await Promise.all(this.machines.map((machine) => machine.isReady()));
			if (answers.every(Boolean)) {
				return;
			}

			await delay(100);
		}

		throw new CannotRunError('nodes are not ready');
	}

	/** Ends all processes. */
	async stop() {
		for (const machine of this.machines) {
			machine.signal('SIGCONT');
			machine.signal('SIGKILL');
		}

		await Promise.all(this.machines.map((machine) => machine.child?.ended));
		await this.store.close().catch(() => undefined);
		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** The case couldn't be brought about. */
export class CannotRunError extends Error {
	name = 'CannotRunError';
}

/**
 * Sends the bytes of a request on a new connection and reads what comes back until the connection ends or the
 * time is over.
 */
export async function exchangeRaw(address, bytes, limitMs) {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const socket = connect({host, port: Number(port)});
		let text = '';
		const finish = (end) => {
			clearTimeout(timer);
			socket.destroy();
			resolve({text, end});
		};

		const timer = setTimeout(finish, limitMs, 'timeout');
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
		});
		socket.once('connect', () => socket.write(bytes));
		socket.once('end', () => finish('end'));
		socket.once('error', (error) => finish(error.code));
	});
}

/** Runs a case and exits with its result: 0 if the rule held, 1 if it was broken, 2 if it couldn't run. */
export async function runCase(play) {
	const mesh = new Mesh();
	let code = 2;
	for (const name of ['SIGINT', 'SIGTERM']) {
		process.once(name, () => {
			void mesh.stop().then(() => process.exit(2));
		});
	}

	try {
		code = (await play(mesh)) ? 0 : 1;
	} catch (error) {
		console.error(error);
	}

	await mesh.stop();
	process.exit(code);
}

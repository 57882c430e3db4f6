import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {Random} from 'redwingmill-shared';
import {DatagramRelay} from './datagram-relay.js';
import {planFaults} from './fault-plan.js';
import {PromiseWatch, type Breach} from './promise-watch.js';
import {SoakCaller, type CallTarget} from './soak-caller.js';
import {type PlannedFault, type SoakFault} from './soak-fault.js';
import {SoakHost} from './soak-host.js';
import {type SoakRoute, type SoakSite, type SoakStore} from './soak-site.js';

/** What to soak, and how hard. */
export type SoakOptions = {
	readonly seed: number;
	readonly hosts: number;
	/** Time in which faults come; the calm phase follows. */
	readonly faultsMs: number;
	readonly callersPerHost: number;
};

/** What a soak found. */
export type SoakResult = {
	readonly breaches: readonly Breach[];
	/** Ends of calls by status, or `broken`. */
	readonly ends: Readonly<Record<string, number>>;
	readonly faults: number;
	/** Folder with the processes' logs and the plan; it stays until somebody removes it. */
	readonly folder: string;
};

const services = ['first', 'second', 'third'] as const;
const dataCentres = ['dc-a', 'dc-b'] as const;
const limitMs = 2000;
const checkIntervalMs = 250;
/** Bound of the users' pages for full service after everything lost power. */
const recoveryMs = 15_000;
/** Bound of the users' pages for a change to be in force, and room for a busy machine. */
const changeMs = 2500 + 2500;
/** Bound for a planned stop, and room for a busy machine. */
const stopMs = 6000 + 2000;
/** Nodes restarted on purpose in the calm phase, as each takes seconds. */
const plannedRestarts = 2;
const stableRoutes: readonly SoakRoute[] = [
	{name: 'first', path: '/first/', service: 'first', mayRepeat: true, limitMs},
	{name: 'second', path: '/second/', service: 'second', mayRepeat: false, limitMs},
	{name: 'third', path: '/third/', service: 'third', mayRepeat: true, limitMs},
];

/** A mesh of real processes under faults drawn from a seed. */
export class Soak {
	readonly #site: SoakSite;
	readonly #options: SoakOptions;
	readonly #random: Random;
	readonly #watch = new PromiseWatch();
	readonly #relay = new DatagramRelay();
	readonly #store: SoakStore;
	readonly #folder = mkdtempSync(join(tmpdir(), 'redwingmill-soak-'));
	readonly #hosts: SoakHost[] = [];
	readonly #callers: SoakCaller[] = [];
	#version = 0;
	#lastId = 0;

	constructor(site: SoakSite, options: SoakOptions) {
		this.#site = site;
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#store = site.createStore();
	}

	/** Runs the faults, then checks that a calm mesh does all that it should. */
	async run(): Promise<SoakResult> {
		const {seed, hosts, faultsMs} = this.#options;
		const faults = planFaults(seed, {hosts, durationMs: faultsMs});
		writeFileSync(join(this.#folder, 'faults.json'), JSON.stringify(faults, undefined, '\t'));
		const checks = setInterval(() => {
			this.#watch.checkOpen(performance.now(), (host) => this.#hosts[host].disturbedUntil);
		}, checkIntervalMs);
		try {
			await this.#open();
			await this.#play(faults);
		} finally {
			clearInterval(checks);
			await this.#close();
		}

		const {breaches, ends} = this.#watch;
		return {breaches, ends: Object.fromEntries(ends), faults: faults.length, folder: this.#folder};
	}

	async #play(faults: readonly PlannedFault[]): Promise<void> {
		await this.#recover('at the start');
		const calls = this.#callers.map(async (caller) => caller.run());
		await Promise.all(faults.map(async (fault) => this.#inject(fault)));
		await this.#recover('after the faults');
		await this.#restartCalmly();
		for (const caller of this.#callers) {
			caller.stop();
		}

		await Promise.all(calls);
	}

	async #open(): Promise<void> {
		const {hosts, callersPerHost} = this.#options;
		const storeAddress = await this.#store.listen();
		this.#change();
		for (let index = 0; index < hosts; index++) {
			const host = await SoakHost.create({
				index,
				site: this.#site,
				dataCentre: dataCentres[Math.floor(index / services.length) % dataCentres.length],
				service: services[index % services.length],
				addresses: await this.#site.freeAddresses(),
				storeAddress,
				relay: this.#relay,
				watch: this.#watch,
				writeSettings: (name, text) => {
					const file = join(this.#folder, `${name}.jsonc`);
					writeFileSync(file, text);
					return file;
				},
				logFile: join(this.#folder, `node-${index}.log`),
			});
			this.#hosts.push(host);
			for (let caller = 0; caller < callersPerHost; caller++) {
				this.#callers.push(this.#createCaller(host, index));
			}
		}

		await Promise.all(this.#hosts.map(async (host) => host.start()));
	}

	async #close(): Promise<void> {
		await Promise.all(this.#hosts.map(async (host) => host.close()));
		this.#relay.close();
		await this.#store.close();
	}

	#createCaller(host: SoakHost, index: number): SoakCaller {
		return new SoakCaller({
			site: this.#site,
			address: host.callerAddress,
			random: this.#random,
			choose: () => this.#chooseTarget(),
			onSent: ({id, method, path, body}, {route, expects}) => {
				this.#watch.onSent({
					id,
					host: index,
					life: host.process.life,
					method,
					path,
					body,
					mayRepeat: route.mayRepeat,
					caller: host.service,
					sentAt: performance.now(),
					limitMs: route.limitMs,
					expects,
				});
			},
			onEnd: (id, end) => {
				this.#watch.onEnd(id, end, performance.now());
			},
			nextId: () => this.#nextId(),
		});
	}

	#nextId(): string {
		this.#lastId += 1;
		return `c${this.#lastId}`;
	}

	/** One call in four asks for the route of the newest version or of the one before it. */
	#chooseTarget(): CallTarget {
		const index = this.#random.below(stableRoutes.length + 1);
		return index < stableRoutes.length
			? alwaysServed(stableRoutes[index])
			: servedBy(Math.max(1, this.#version - this.#random.below(2)));
	}

	/** Each version has a route that no other has. */
	#change(): void {
		this.#version += 1;
		this.#store.write(this.#version, [...stableRoutes, versionRoute(this.#version)]);
	}

	async #inject({atMs, forMs, fault}: PlannedFault): Promise<void> {
		await delay(atMs);
		await this.#bring(fault, forMs);
	}

	async #bring(fault: SoakFault, forMs: number): Promise<void> {
		switch (fault.type) {
			case 'link': {
				const host = this.#hosts[fault.host];
				const endDisturbance = host.disturb();
				host.setLink(fault.purpose, fault.behaviour);
				await delay(forMs);
				host.setLink(fault.purpose, {type: 'pass'});
				endDisturbance();
				break;
			}

			case 'process': {
				await this.#disturbProcess(this.#hosts[fault.host], fault.fault, forMs);
				break;
			}

			case 'worker': {
				await this.#hosts[fault.host].failWorker(fault.fault, forMs);
				break;
			}

			case 'power-loss': {
				await Promise.all(
					this.#hosts.map(async (host) => this.#disturbProcess(host, 'kill', forMs)),
				);
				break;
			}

			case 'change': {
				this.#change();
				break;
			}
		}
	}

	async #disturbProcess(
		host: SoakHost,
		fault: Extract<SoakFault, {type: 'process'}>['fault'],
		forMs: number,
	): Promise<void> {
		const endDisturbance = host.disturb();
		switch (fault) {
			case 'kill': {
				await host.process.kill();
				await delay(forMs);
				host.process.start();
				break;
			}

			case 'stop': {
				await this.#stopInTime(host);
				host.process.start();
				break;
			}

			case 'pause': {
				host.process.pause();
				await delay(forMs);
				host.process.resume();
				break;
			}

			case 'reload': {
				host.process.reload();
				break;
			}
		}

		endDisturbance();
	}

	async #stopInTime(host: SoakHost): Promise<void> {
		const tookMs = await host.process.stop();
		if (tookMs > stopMs) {
			this.#watch.report('stopped-late', `${host.service} took ${Math.round(tookMs)} ms`);
		}
	}

	/** Waits until every node serves every route by the newest version. */
	async #recover(when: string): Promise<void> {
		const missing = await this.#waitForService(recoveryMs);
		if (missing.length > 0) {
			this.#watch.report('not-recovered', `${when}: ${missing.join(', ')}`);
		}
	}

	/** Returns what isn't served when the time is over. */
	async #waitForService(withinMs: number): Promise<readonly string[]> {
		const endsAt = performance.now() + withinMs;
		for (;;) {
			const missing = await this.#findMissing();
			if (missing.length === 0 || performance.now() > endsAt) {
				return missing;
			}

			await delay(checkIntervalMs);
		}
	}

	async #findMissing(): Promise<readonly string[]> {
		const missing: string[] = [];
		const targets = [...stableRoutes.map((route) => alwaysServed(route)), servedBy(this.#version)];
		await Promise.all(
			this.#hosts.map(async (host, index) => {
				for (const target of targets) {
					const result = await this.#probe(host, index, target);
					if (result !== 200) {
						missing.push(`host ${index} ${target.route.path} ${result}`);
					}
				}
			}),
		);
		return missing;
	}

	/** Makes one call on a connection of its own; returns the status, or how else it ended. */
	async #probe(host: SoakHost, index: number, target: CallTarget): Promise<number | string> {
		const caller = this.#createCaller(host, index);
		const end = await caller.callOnce(target);
		caller.close();
		return end.type === 'answer' ? end.status : end.type;
	}

	/** Planned restarts and a change while all is calm: no call that a worker runs is cut. */
	async #restartCalmly(): Promise<void> {
		this.#watch.expectCalm(true);
		for (const host of this.#hosts.slice(0, plannedRestarts)) {
			await this.#stopInTime(host);
			host.process.start();
			this.#change();
			const missing = await this.#waitForService(changeMs);
			if (missing.length > 0) {
				this.#watch.report('change-not-in-force', missing.join(', '));
			}
		}

		this.#watch.expectCalm(false);
	}
}

function alwaysServed(route: SoakRoute): CallTarget {
	return {route, expects: {type: 'always', service: route.service}};
}

/** The route that only one version has. */
function servedBy(version: number): CallTarget {
	const route = versionRoute(version);
	return {route, expects: {type: 'version', service: route.service, version}};
}

function versionRoute(version: number): SoakRoute {
	const path = `/version-${version}/`;
	return {name: `version-${version}`, path, service: 'first', mayRepeat: true, limitMs};
}

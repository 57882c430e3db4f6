import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {Random} from 'redwingmill-shared';
import {DatagramFaultProxy} from './datagram-fault-proxy.js';
import {sendRequestWithoutEnd} from './endless-sender.js';
import {planFaults} from './fault-plan.js';
import {crashingPathOf, InvariantChecker, type InvariantViolation} from './invariant-checker.js';
import {SoakCaller, type CallTarget} from './soak-caller.js';
import {type SoakDeployment, type SoakRoute, type SoakStore} from './soak-deployment.js';
import {storeCopyAgeMs, type PlannedFault, type SoakFault} from './soak-fault.js';
import {SoakHost} from './soak-host.js';

/** Seed, size and duration of a soak. */
export type SoakOptions = {
	/** Determines the plan of faults. */
	readonly seed: number;
	readonly hosts: number;
	/** Duration of the fault phase; the fault-free phase follows. */
	readonly faultPhaseMs: number;
	readonly callersPerHost: number;
};

/** Outcome of a soak. */
export type SoakResult = {
	/** Violated invariants. */
	readonly breaches: readonly InvariantViolation[];
	/** Number of completed calls by status, `broken` or `left`. */
	readonly ends: Readonly<Record<string, number>>;
	/** Number of planned faults. */
	readonly faults: number;
	/** Folder with settings, the processes' logs and the plan of faults. It isn't removed automatically. */
	readonly folder: string;
};

const services = ['first', 'second', 'third'] as const;
const dataCentres = ['dc-a', 'dc-b'] as const;
const routeTimeoutMs = 2000;
const checkIntervalMs = 250;
/** Required limit for serving all routes after a power loss of all hosts; also used at the start. */
const recoveryLimitMs = 15_000;
/** Required limit for a change to be in force, plus an allowance for a busy machine. */
const changeLimitMs = 2500 + 2500;
/** For a busy machine. */
const stopAllowanceMs = 2000;
/** Limit for a planned stop. */
const stopLimitMs = 6000;
/** Limit for a planned stop with nothing at work, beyond the time for which it still accepts calls. */
const idleStopLimitMs = 500;
/** Nodes restarted in the fault-free phase: only some, as each restart takes seconds. */
const plannedRestartCount = 2;
const stableRoutes: readonly SoakRoute[] = [
	{name: 'first', path: '/first/', service: 'first', isIdempotent: true, timeoutMs: routeTimeoutMs},
	{
		name: 'second',
		path: '/second/',
		service: 'second',
		isIdempotent: false,
		timeoutMs: routeTimeoutMs,
	},
	{name: 'third', path: '/third/', service: 'third', isIdempotent: true, timeoutMs: routeTimeoutMs},
];

const meanCrashingRequestIntervalMs = 400;
/** Requests that crash each worker that runs them, on an idempotent route and on another one. */
const crashingTargets: readonly CallTarget[] = stableRoutes
	.slice(0, 2)
	.map((route, index) => ({...stableTarget(route), pathEnd: crashingPathOf(index)}));

/** Runs a mesh of real processes, injects faults drawn from a seed, and checks the invariants. */
export class Soak {
	readonly #deployment: SoakDeployment;
	readonly #options: SoakOptions;
	readonly #random: Random;
	readonly #checker = new InvariantChecker((host) => this.#hosts[host].disruptedUntil);
	readonly #datagramProxy = new DatagramFaultProxy();
	readonly #store: SoakStore;
	readonly #folder = mkdtempSync(join(tmpdir(), 'redwingmill-soak-'));
	readonly #hosts: SoakHost[] = [];
	readonly #callers: SoakCaller[] = [];
	#version = 0;
	#lastCallId = 0;
	#isFaultPhaseOver = false;

	constructor(deployment: SoakDeployment, options: SoakOptions) {
		this.#deployment = deployment;
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#store = deployment.createStore();
	}

	/** Runs the fault phase, then the fault-free phase, in which the mesh must recover fully. */
	async run(): Promise<SoakResult> {
		const {seed, hosts, faultPhaseMs} = this.#options;
		const faults = planFaults(seed, {hosts, durationMs: faultPhaseMs});
		writeFileSync(join(this.#folder, 'faults.json'), JSON.stringify(faults, undefined, '\t'));
		const checks = setInterval(() => {
			this.#checker.checkPending(performance.now(), (host) => this.#hosts[host].disruptedUntil);
		}, checkIntervalMs);
		try {
			await this.#start();
			await this.#runPhases(faults);
		} finally {
			clearInterval(checks);
			await this.#close();
		}

		const {breaches, ends} = this.#checker;
		return {breaches, ends: Object.fromEntries(ends), faults: faults.length, folder: this.#folder};
	}

	async #runPhases(faults: readonly PlannedFault[]): Promise<void> {
		await this.#expectRecovery('at the start');
		const calls = this.#callers.map(async (caller) => caller.run());
		const crashingCalls = this.#repeatCrashingRequests();
		await Promise.all(faults.map(async (fault) => this.#injectOnSchedule(fault)));
		this.#isFaultPhaseOver = true;
		await crashingCalls;
		await this.#expectRecovery('after the faults');
		await this.#restartWithoutFaults();
		for (const caller of this.#callers) {
			caller.stop();
		}

		await Promise.all(calls);
		await this.#stopWithinLimit(
			this.#hosts[0],
			this.#deployment.lingerMs + idleStopLimitMs + stopAllowanceMs,
		);
	}

	async #start(): Promise<void> {
		const {hosts, callersPerHost} = this.#options;
		const storeAddress = await this.#store.listen();
		this.#writeNextVersion();
		for (let index = 0; index < hosts; index++) {
			const host = await SoakHost.create({
				index,
				deployment: this.#deployment,
				dataCentre: dataCentres[Math.floor(index / services.length) % dataCentres.length],
				service: services[index % services.length],
				addresses: await this.#deployment.allocateAddresses(),
				storeAddress,
				datagramProxy: this.#datagramProxy,
				checker: this.#checker,
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
		this.#datagramProxy.close();
		await this.#store.close();
	}

	#createCaller(host: SoakHost, index: number): SoakCaller {
		return new SoakCaller({
			deployment: this.#deployment,
			address: host.callerAddress,
			random: this.#random,
			chooseTarget: () => this.#chooseTarget(),
			onSent: ({id, method, path, body}, {route, expects}) => {
				this.#checker.onSent({
					id,
					host: index,
					incarnation: host.process.incarnation,
					method,
					path,
					body,
					isIdempotent: route.isIdempotent,
					caller: host.service,
					sentAt: performance.now(),
					timeoutMs: route.timeoutMs,
					expects,
				});
			},
			onEnd: (id, result) => {
				this.#checker.onEnd(id, result, performance.now());
			},
			nextId: () => this.#nextCallId(),
		});
	}

	#nextCallId(): string {
		this.#lastCallId += 1;
		return `c${this.#lastCallId}`;
	}

	/**
	 * Returns a random target. One in four is the route that exists only in the newest version, or the
	 * one that exists only in the version before it.
	 */
	#chooseTarget(): CallTarget {
		const index = this.#random.below(stableRoutes.length + 1);
		return index < stableRoutes.length
			? stableTarget(stableRoutes[index])
			: versionTarget(Math.max(1, this.#version - this.#random.below(2)));
	}

	/** Writes a version that has the stable routes and one route that no other version has. */
	#writeNextVersion(): void {
		this.#version += 1;
		this.#writeVersion();
	}

	/** Writes the newest version. */
	#writeVersion(): void {
		this.#store.write(this.#version, [...stableRoutes, versionRoute(this.#version)]);
	}

	/** Sends each crashing request of each calling service again and again until the fault phase is over. */
	async #repeatCrashingRequests(): Promise<void> {
		const callers = new Set(this.#hosts.map(({service}) => service));
		await Promise.all(
			crashingTargets.flatMap((target) =>
				[...callers].map(async (caller) => this.#repeatCrashingRequest(target, caller)),
			),
		);
	}

	/** Sends a crashing request to random hosts of its calling service. */
	async #repeatCrashingRequest(target: CallTarget, caller: string): Promise<void> {
		const hosts = [...this.#hosts.entries()].filter(([, {service}]) => service === caller);
		while (!this.#isFaultPhaseOver) {
			const [index, host] = hosts[this.#random.below(hosts.length)];
			await this.#probe(host, index, target);
			await delay(this.#random.below(2 * meanCrashingRequestIntervalMs));
		}
	}

	async #injectOnSchedule({atMs, forMs, fault}: PlannedFault): Promise<void> {
		await delay(atMs);
		await this.#injectFault(fault, forMs);
	}

	async #injectFault(fault: SoakFault, forMs: number): Promise<void> {
		switch (fault.type) {
			case 'link': {
				const host = this.#hosts[fault.host];
				const endDisruption = host.beginDisruption();
				host.setLinkBehaviour(fault.purpose, fault.behaviour);
				await delay(forMs);
				host.setLinkBehaviour(fault.purpose, {type: 'pass'});
				endDisruption();
				break;
			}

			case 'process': {
				await this.#injectProcessFault(this.#hosts[fault.host], fault.fault, forMs);
				break;
			}

			case 'worker': {
				await this.#hosts[fault.host].injectWorkerFault(fault.fault, forMs);
				break;
			}

			case 'notice': {
				await this.#hosts[fault.host].injectNotice(fault.notice, forMs);
				break;
			}

			case 'power-loss': {
				await Promise.all(
					this.#hosts.map(async (host) => this.#injectProcessFault(host, 'kill', forMs)),
				);
				break;
			}

			case 'store-return': {
				// No host is disrupted by it: calls go on all the while.
				await this.#store.returnFromCopy(forMs, storeCopyAgeMs);
				// The operators write again what the store has lost.
				this.#writeVersion();
				break;
			}

			case 'endless-request': {
				const {callerAddress} = this.#hosts[fault.host];
				const body = {path: stableRoutes[0].path, host: this.#deployment.hostName};
				await sendRequestWithoutEnd(callerAddress, body, forMs);
				break;
			}

			case 'silent-connections': {
				const endDisruptions = this.#hosts.map((host) => host.beginDisruption());
				for (const host of this.#hosts) {
					host.silenceConnections(['gate', 'worker', 'store']);
				}

				for (const endDisruption of endDisruptions) {
					endDisruption();
				}

				break;
			}

			case 'change': {
				this.#writeNextVersion();
				break;
			}
		}
	}

	async #injectProcessFault(
		host: SoakHost,
		fault: Extract<SoakFault, {type: 'process'}>['fault'],
		forMs: number,
	): Promise<void> {
		const endDisruption = host.beginDisruption();
		switch (fault) {
			case 'kill': {
				await host.process.kill();
				await delay(forMs);
				await host.process.start();
				break;
			}

			case 'stop': {
				await this.#stopWithinLimit(host);
				await host.process.start();
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

		endDisruption();
	}

	async #stopWithinLimit(host: SoakHost, limitMs = stopLimitMs + stopAllowanceMs): Promise<void> {
		const tookMs = await host.process.stop();
		if (tookMs > limitMs) {
			this.#checker.report(
				'stopped-late',
				`node of ${host.service} took ${Math.round(tookMs)} ms to stop`,
			);
		}
	}

	/** Waits until every node serves every route of the newest version; reports what is unserved. */
	async #expectRecovery(when: string): Promise<void> {
		const unserved = await this.#waitForService(recoveryLimitMs);
		if (unserved.length > 0) {
			this.#checker.report('not-recovered', `${when}: ${unserved.join(', ')}`);
		}
	}

	/** Waits until all nodes serve all routes. Returns what is still unserved after `withinMs`. */
	async #waitForService(withinMs: number): Promise<readonly string[]> {
		const endsAt = performance.now() + withinMs;
		for (;;) {
			const unserved = await this.#findUnserved();
			if (unserved.length === 0 || performance.now() > endsAt) {
				return unserved;
			}

			await delay(checkIntervalMs);
		}
	}

	async #findUnserved(): Promise<readonly string[]> {
		const unserved: string[] = [];
		const targets = [
			...stableRoutes.map((route) => stableTarget(route)),
			versionTarget(this.#version),
		];
		await Promise.all(
			this.#hosts.map(async (host, index) => {
				for (const target of targets) {
					const result = await this.#probe(host, index, target);
					if (result !== 200) {
						unserved.push(`host ${index} ${target.route.path} ${result}`);
					}
				}
			}),
		);
		return unserved;
	}

	/** Makes one call on a new connection. Returns its status, or `broken` or `left`. */
	async #probe(host: SoakHost, index: number, target: CallTarget): Promise<number | string> {
		const caller = this.#createCaller(host, index);
		const result = await caller.callOnce(target);
		caller.close();
		return result.type === 'answer' ? result.status : result.type;
	}

	/**
	 * Restarts nodes and writes versions while no faults are injected. Neither may interrupt a call
	 * that a worker runs.
	 */
	async #restartWithoutFaults(): Promise<void> {
		this.#checker.setFaultFree(true);
		for (const host of this.#hosts.slice(0, plannedRestartCount)) {
			await this.#stopWithinLimit(host);
			await host.process.start();
			for (const each of this.#hosts) {
				each.silenceConnections(['store']);
			}

			this.#writeNextVersion();
			const unserved = await this.#waitForService(changeLimitMs);
			if (unserved.length > 0) {
				this.#checker.report('change-not-in-force', unserved.join(', '));
			}
		}

		this.#checker.setFaultFree(false);
	}
}

function stableTarget(route: SoakRoute): CallTarget {
	return {route, expects: {type: 'always', service: route.service}};
}

/** Returns the target for the route that exists only in this version. */
function versionTarget(version: number): CallTarget {
	const route = versionRoute(version);
	return {route, expects: {type: 'version', service: route.service, version}};
}

function versionRoute(version: number): SoakRoute {
	const path = `/version-${version}/`;
	return {
		name: `version-${version}`,
		path,
		service: 'first',
		isIdempotent: true,
		timeoutMs: routeTimeoutMs,
	};
}

import {setTimeout as delay} from 'node:timers/promises';
import {BenchError} from '../errors.js';
import {tallyCalls} from '../load/call-record.js';
import {Caller, type CallKind} from '../load/caller.js';
import {quantilesOf} from '../load/quantiles.js';
import {Mesh, type ToolResult} from '../mesh/mesh.js';
import {defaultMeshPlan} from '../mesh/mesh-plan.js';
import {demoText} from './demo-text.js';

const callsPerSecond = 150;
const changesUnderLoad = 5;
const outageMs = 4000;
const restartDelayMs = 2500;
const settleMs = 1500;
const statusIntervalMs = 1000;

const callKinds: readonly CallKind[] = [
	{method: 'GET', path: '/diary/today', isIdempotent: true, hasTicket: false},
	{method: 'POST', path: '/submission/day', isIdempotent: false, hasTicket: true},
	{method: 'GET', path: '/coding/urgent/sleep', isIdempotent: true, hasTicket: false},
	{method: 'POST', path: '/submission/plain', isIdempotent: false, hasTicket: false},
	{method: 'GET', path: '/coding/list', isIdempotent: true, hasTicket: false},
];

/**
 * Runs a mesh under load while the configuration changes and processes fail. Then compares the
 * callers' records with those of the workers, and counts reverted versions.
 */
export class Demo {
	readonly #mesh = new Mesh(defaultMeshPlan);
	readonly #convergenceTimesMs: number[] = [];
	readonly #print: (line: string) => void;
	/** Number of changes written, which is also the number of the newest version. */
	#changes = 0;

	constructor(print: (line: string) => void) {
		this.#print = print;
	}

	/** Runs the demo and returns its result as one JSON value. */
	async run() {
		const mesh = this.#mesh;
		this.#print('starting the platform and 3 data centres with 9 nodes and 9 workers');
		await mesh.start();
		await this.#apply(2000);
		await Promise.all(
			mesh.hosts.map(async (host) => mesh.waitForEndpoints(host, mesh.hosts.length)),
		);
		const startedAt = performance.now();
		const bytesBefore = await this.#controlBytes();
		const caller = new Caller({
			entries: mesh.hosts.map((host) => host.proxy),
			kinds: callKinds,
			callsPerSecond,
			prefix: 'call',
		});
		const load = caller.run();
		const statusTimer = setInterval(() => {
			this.#printStatus(caller, startedAt);
		}, statusIntervalMs);
		await this.#changeUnderLoad();
		const bytes = ((await this.#controlBytes()) - bytesBefore) / mesh.hosts.length;
		const seconds = (performance.now() - startedAt) / 1000;
		await this.#applyConcurrently();
		await this.#drainWorker();
		await this.#killHost();
		await this.#pauseNode();
		await this.#simulateOutage();
		caller.stop();
		await load;
		clearInterval(statusTimer);
		this.#printReasons(caller);
		await mesh.stop();
		return {
			changes: this.#changes,
			convergenceMs: quantilesOf(this.#convergenceTimesMs),
			controlBytesPerNodePerSecond: Math.round(bytes / seconds),
			calls: tallyCalls(caller.records, caller.sent, mesh.runs),
			versionsReverted: mesh.versions.reverted,
		};
	}

	async #changeUnderLoad(): Promise<void> {
		this.#print(`changing the configuration ${changesUnderLoad} times under load`);
		for (let change = 0; change < changesUnderLoad; change++) {
			await this.#apply(2100 + change);
			await delay(500);
		}
	}

	async #applyConcurrently(): Promise<void> {
		this.#print('two operators concurrently apply different changes to the same version');
		const base = String(this.#changes);
		const results = await Promise.all([
			this.#runApply(3000, '--base-version', base),
			this.#runApply(3001, '--base-version', base),
		]);
		const codes = results.map((result) => result.code).toSorted((a, b) => a - b);
		this.#print(`exit codes ${codes.join(' and ')}: one change was written, the other conflicted`);
		this.#changes += codes.filter((code) => code === 0).length;
	}

	async #drainWorker(): Promise<void> {
		const host = this.#hostOf('dc-a', 'diary');
		this.#print('draining the diary worker of dc-a');
		await this.#mesh.setBehaviour(host, {isDraining: true});
		await delay(settleMs);
		await this.#mesh.setBehaviour(host, {isDraining: false});
	}

	async #killHost(): Promise<void> {
		const host = this.#hostOf('dc-b', 'submission');
		this.#print('killing the submission node of dc-b and its worker during calls');
		this.#mesh.killNode(host);
		this.#mesh.killWorker(host);
		await delay(restartDelayMs);
		await this.#apply(4000, true);
		this.#mesh.startNode(host);
		this.#mesh.startWorker(host);
		await this.#mesh.waitForVersion(this.#changes, [host]);
		this.#print('restarted the node; it has the newest version in force');
	}

	/** Pauses a node until the others time it out; once resumed, it has to catch up. */
	async #pauseNode(): Promise<void> {
		const host = this.#hostOf('dc-c', 'coding');
		this.#print('pausing the coding node of dc-c; a change comes into force without it');
		this.#mesh.signalNode(host, 'SIGSTOP');
		await this.#apply(4500, true);
		this.#mesh.signalNode(host, 'SIGCONT');
		await this.#mesh.waitForVersion(this.#changes, [host]);
		this.#print('resumed the node; it has the newest version in force');
	}

	async #simulateOutage(): Promise<void> {
		this.#print(`simulating a platform outage of ${outageMs} ms`);
		await this.#mesh.setFault({isDown: true});
		const {code} = await this.#runApply(5000);
		this.#print(`apply during the outage: exit code ${code}; the version in force remains`);
		await delay(outageMs);
		await this.#mesh.setFault({isDown: false});
		await this.#apply(5001);
		await delay(settleMs);
	}

	/** Applies a configuration and records the time from the write to the last node's log entry. */
	async #apply(deadlineMs: number, isHostDown = false): Promise<void> {
		const startedAt = Date.now();
		const result = await this.#runApply(deadlineMs, '--wait');
		if (result.code !== 0) {
			throw new BenchError(`apply exited with code ${result.code}: ${result.output}`);
		}

		this.#changes += 1;
		if (!isHostDown) {
			await this.#mesh.waitForVersion(this.#changes);
		}

		const lastAt = this.#mesh.versions.lastActivationOf(this.#changes) ?? startedAt;
		this.#convergenceTimesMs.push(lastAt - startedAt);
	}

	async #runApply(deadlineMs: number, ...options: readonly string[]): Promise<ToolResult> {
		const file = this.#mesh.writeText(`mesh-${deadlineMs}.jsonc`, demoText(deadlineMs));
		return this.#mesh.runTool('apply', file, '--author', 'demo', ...options);
	}

	async #controlBytes(): Promise<number> {
		const values = await Promise.all(
			this.#mesh.hosts.map(async (host) => this.#mesh.metric(host, 'redwingmill_control_bytes')),
		);
		return values.reduce<number>((sum, value) => sum + (value ?? 0), 0);
	}

	#hostOf(dataCentre: string, service: string) {
		const host = this.#mesh.hosts.find(
			(candidate) => candidate.dataCentre === dataCentre && candidate.service === service,
		);
		if (host === undefined) {
			throw new BenchError(`No host runs ${service} in ${dataCentre}`);
		}

		return host;
	}

	#printReasons({records}: Caller): void {
		const counts = new Map<string, number>();
		for (const {outcome, reason} of records.filter((record) => record.outcome !== 'ran')) {
			const key = `${outcome}: ${reason}`;
			counts.set(key, (counts.get(key) ?? 0) + 1);
		}

		for (const [key, count] of counts) {
			this.#print(`${count} × ${key}`);
		}
	}

	#printStatus(caller: Caller, startedAt: number): void {
		const seconds = ((performance.now() - startedAt) / 1000).toFixed(0);
		const versions = this.#mesh.plan.dataCentres.map((dataCentre) => {
			const nodes = this.#mesh.hosts.filter((host) => host.dataCentre === dataCentre);
			const newest = nodes.map((host) => this.#mesh.versions.newestOf(host.control));
			return `${dataCentre} v${Math.min(...newest)}`;
		});
		const {ran, notRun, unknown} = tallyCalls(caller.records, caller.sent, this.#mesh.runs);
		const {p50, p99} = quantilesOf(
			caller.records.slice(-callsPerSecond).map((record) => record.latencyMs),
		);
		this.#print(
			`${seconds.padStart(3)} s  ${versions.join('  ')}  sent ${caller.sent}  ran ${ran}  not-run ${notRun}  unknown ${unknown}  p50 ${p50} ms  p99 ${p99} ms`,
		);
	}
}

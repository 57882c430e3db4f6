import {setTimeout as delay} from 'node:timers/promises';
import {quantilesOf} from '../load/quantiles.js';
import {Mesh, type Host} from '../mesh/mesh.js';
import {defaultMeshPlan} from '../mesh/mesh-plan.js';
import {benchServices} from './bench-text.js';
import {ChangeDriver} from './change-driver.js';
import {measureIdleUsage, measureUsage} from './node-usage.js';

/** Size of the mesh and rates of change in a measurement. */
export type ConvergencePlan = {
	readonly dataCentres: number;
	readonly nodesPerDataCentre: number;
	readonly changes: number;
	/** Endpoint changes per second in the whole mesh. */
	readonly churnPerSecond: number;
	readonly distributionIntervalMs: number;
	readonly sendsWholeTables: boolean;
	/** Whether a relay crash, a mass restart of nodes and a platform outage are measured too. */
	readonly hasFailures: boolean;
	/** Number of routes in the configuration text. */
	readonly routes: number;
};

const settleMs = 10_000;
const idleMs = 10_000;
const churnMs = 10_000;
const outageMs = 10_000;
const pauseBetweenChangesMs = 200;

/** Starts a mesh; waits until a first version is in force and all nodes hold all endpoints. */
export async function startBenchMesh(plan: ConvergencePlan): Promise<{
	readonly mesh: Mesh;
	readonly driver: ChangeDriver;
}> {
	const names = Array.from({length: plan.dataCentres}, (_, index) => `dc-${index + 1}`);
	const mesh = new Mesh({
		...defaultMeshPlan,
		dataCentres: names,
		servicesPerDataCentre: Array.from(
			{length: plan.nodesPerDataCentre},
			(_, index) => benchServices[index % benchServices.length],
		),
		hasSeparateWorkerProcesses: false,
		distributionIntervalMs: plan.distributionIntervalMs,
		sendsWholeTables: plan.sendsWholeTables,
	});
	await mesh.start();
	const driver = new ChangeDriver(mesh, plan.routes);
	await driver.change();
	await waitForAllEndpoints(mesh);
	return {mesh, driver};
}

/** Measures how soon changes are in force on all nodes, and the traffic and load they cause. */
export async function measureConvergence(plan: ConvergencePlan) {
	const {mesh, driver} = await startBenchMesh(plan);
	await delay(settleMs);
	const rest = await measureIdleUsage(mesh, idleMs);
	const times: number[] = [];
	const changing = await measureUsage(mesh, async () => {
		for (let change = 0; change < plan.changes; change++) {
			times.push(await driver.change());
			await delay(pauseBetweenChangesMs);
		}
	});
	const churning = await measureUsage(mesh, async () => churnEndpoints(mesh, plan.churnPerSecond));
	const failures = plan.hasFailures ? await measureFailures(mesh, driver) : undefined;
	await driver.close();
	await mesh.stop();
	const extraBytes = changing.bytesPerNodePerSecond - rest.bytesPerNodePerSecond;
	return {
		plan,
		textBytes: driver.textBytes,
		convergenceMs: quantilesOf(times),
		bytesPerNodePerChange: Math.round((extraBytes * changing.seconds) / plan.changes),
		rest,
		changing,
		churning,
		failures,
		versionsReverted: mesh.versions.reverted,
	};
}

/** Waits until every node holds the endpoints of all nodes. */
async function waitForAllEndpoints(mesh: Mesh): Promise<void> {
	await Promise.all(mesh.hosts.map(async (host) => mesh.waitForEndpoints(host, mesh.hosts.length)));
}

/** Drains the workers and makes them ready again, one after the other, at a given rate. */
async function churnEndpoints(mesh: Mesh, perSecond: number): Promise<void> {
	const endAt = performance.now() + churnMs;
	for (let index = 0; performance.now() < endAt; index++) {
		const host = mesh.hosts[Math.floor(index / 2) % mesh.hosts.length];
		await mesh.setBehaviour(host, {isDraining: index % 2 === 0});
		await delay(1000 / perSecond);
	}

	await Promise.all(mesh.hosts.map(async (host) => mesh.setBehaviour(host, {isDraining: false})));
	await waitForAllEndpoints(mesh);
}

async function measureFailures(mesh: Mesh, driver: ChangeDriver) {
	return {
		relayDeath: await measureRelayCrash(mesh, driver),
		herd: await measureMassRestart(mesh, driver),
		outage: await measureOutage(mesh, driver),
	};
}

/** Kills a relay; measures how soon a change written then is in force on all other nodes. */
async function measureRelayCrash(mesh: Mesh, driver: ChangeDriver) {
	const relay = await findRelay(mesh);
	const startedAt = performance.now();
	mesh.killNode(relay);
	await driver.change(mesh.hosts.filter((host) => host !== relay));
	const recoveryMs = Math.round(performance.now() - startedAt);
	mesh.startNode(relay);
	await mesh.waitForVersion(driver.version, [relay]);
	await waitForAllEndpoints(mesh);
	return {recoveryMs};
}

/** Kills half of the nodes and restarts them simultaneously, which causes a reconnection storm. */
async function measureMassRestart(mesh: Mesh, driver: ChangeDriver) {
	const restartedHosts = mesh.hosts.filter((_, index) => index % 2 === 0);
	const before = await mesh.platformCounters();
	for (const host of restartedHosts) {
		mesh.killNode(host);
	}

	await delay(1000);
	const startedAt = performance.now();
	for (const host of restartedHosts) {
		mesh.startNode(host);
	}

	await waitForAllEndpoints(mesh);
	const completeMs = Math.round(performance.now() - startedAt);
	const changeMs = await driver.change();
	const after = await mesh.platformCounters();
	return {
		nodes: restartedHosts.length,
		completeMs,
		changeMs,
		platformReads: after.reads - before.reads,
		platformWrites: after.writes - before.writes,
	};
}

/** Simulates a platform outage; measures how soon a change written after it is in force. */
async function measureOutage(mesh: Mesh, driver: ChangeDriver) {
	const before = await mesh.platformCounters();
	await mesh.setFault({isDown: true});
	await delay(outageMs);
	await mesh.setFault({isDown: false});
	const startedAt = performance.now();
	await driver.change();
	const recoveryMs = Math.round(performance.now() - startedAt);
	const after = await mesh.platformCounters();
	return {
		outageMs,
		recoveryMs,
		platformReads: after.reads - before.reads,
		platformWrites: after.writes - before.writes,
	};
}

async function findRelay(mesh: Mesh): Promise<Host> {
	for (const host of mesh.hosts) {
		if ((await mesh.metric(host, 'redwingmill_is_relay')) === 1) {
			return host;
		}
	}

	return mesh.hosts[0];
}

import {setTimeout as delay} from 'node:timers/promises';
import {BenchError} from '../errors.js';
import {type CallRecord} from '../load/call-record.js';
import {Caller, type CallKind, type CallerPlan} from '../load/caller.js';
import {latencyOf} from '../load/latency-histogram.js';
import {Mesh} from '../mesh/mesh.js';
import {defaultMeshPlan, type MeshPlan} from '../mesh/mesh-plan.js';
import {crashParameter} from '../worker/worker-plan.js';
import {ChangeDriver} from './change-driver.js';

/** Length and rate of the measurements. */
export type CallsPlan = {
	readonly durationMs: number;
	/** Calls per second when measuring the latency that the mesh adds. */
	readonly rate: number;
};

type MeshFields = Partial<MeshPlan>;

/** Factor on the duration when measuring added latency, as its 99th percentile needs more calls. */
const addedLatencyDurationFactor = 3;
const warmUpRate = 1000;
const overloadServiceMs = 40;
const overloadSlots = 4;
const overloadWorkers = 3;
const overloadFactors = [0.5, 1, 2, 4] as const;
const moderateRate = 100;
const chainDepth = 24;
const chainRate = 10;
const crashSends = 6;
const retryOverrides = {maximumAttempts: 3};

const getCoding: CallKind = {
	method: 'GET',
	path: '/coding/list',
	isIdempotent: true,
	hasTicket: false,
};
const getUrgent: CallKind = {...getCoding, path: '/coding/urgent/code'};
const getBulk: CallKind = {...getCoding, path: '/coding/bulk/archive'};
const overloadMix = [getUrgent, getCoding, getCoding, getCoding, getBulk];

/** Runs all measurements of calls, those of policies together with their baselines. */
export async function measureCalls(plan: CallsPlan) {
	return {
		plan,
		added: await measureAddedLatency(plan),
		overload: {
			limits: await measureOverload(plan, {}),
			baselineWithoutLimits: await measureOverload(plan, {limitsConcurrency: false}),
		},
		choice: {
			twoChoices: await measureFaultyWorkers(plan, {choice: 'two-choices'}),
			baselineRoundRobin: await measureFaultyWorkers(plan, {choice: 'round-robin'}),
			baselineRandom: await measureFaultyWorkers(plan, {choice: 'random'}),
		},
		amplification: {
			tenPercentFailing: await measureAmplification(plan, 0.1),
			halfFailing: await measureAmplification(plan, 0.5),
			chainOf24: await measureChain(plan),
		},
		drain: await measureDrain(plan),
		quarantine: await measureQuarantine(),
	};
}

/** Measures the latency that the mesh adds, relative to simultaneous direct calls to the worker. */
async function measureAddedLatency(plan: CallsPlan) {
	const {rate} = plan;
	const durationMs = addedLatencyDurationFactor * plan.durationMs;
	const mesh = await startMesh({
		servicesPerDataCentre: ['', 'coding'],
		serviceMs: 0,
		slots: 64,
	});
	const [entry, gate] = mesh.hosts;
	const run = async (prefix: string, address: string, callsPerSecond = rate) =>
		runLoad({entries: [address], kinds: [getCoding], callsPerSecond, prefix}, durationMs);
	// Warms up all paths, so that just-in-time compilation doesn't distort the measurement.
	await run('warm-a', entry.proxy, warmUpRate);
	await run('warm-b', gate.proxy, warmUpRate);
	await run('warm-c', gate.worker, warmUpRate);
	const bareAddress = await mesh.startBareProxies(gate.worker);
	await run('warm-d', bareAddress, warmUpRate);
	const processorBefore = [entry, gate].map((host) => mesh.processorSeconds(host));
	const [direct, twoHops] = await Promise.all([
		run('direct', gate.worker),
		run('mesh', entry.proxy),
	]);
	const processorUsed = [entry, gate].map(
		(host, index) => mesh.processorSeconds(host) - processorBefore[index],
	);
	const oneHop = await run('one', gate.proxy);
	const bare = await run('bare', bareAddress);
	await mesh.stop();
	const [directMs, meshMs] = [latencyOf(direct.records), latencyOf(twoHops.records)];
	const microsecondsPerCall = (seconds: number) =>
		Math.round((seconds * 1e6) / twoHops.records.length);
	return {
		direct: directMs,
		throughEntryAndGate: meshMs,
		throughGateOnly: latencyOf(oneHop.records),
		throughTwoBareProxies: latencyOf(bare.records),
		addedMs: {
			p50: difference(meshMs.p50, directMs.p50),
			p99: difference(meshMs.p99, directMs.p99),
			p999: difference(meshMs.p999, directMs.p999),
		},
		processorMicrosecondsPerCall: {
			entry: microsecondsPerCall(processorUsed[0]),
			gate: microsecondsPerCall(processorUsed[1]),
		},
	};
}

/** Measures goodput and the latency of urgent calls at 0.5 to 4 times the workers' capacity. */
async function measureOverload({durationMs}: CallsPlan, calls: Record<string, unknown>) {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: overloadWorkers}, () => 'coding'),
		serviceMs: overloadServiceMs,
		slots: overloadSlots,
		calls,
	});
	const capacity = (overloadWorkers * overloadSlots * 1000) / overloadServiceMs;
	const rows = [];
	for (const factor of overloadFactors) {
		const caller = await runLoad(
			{
				entries: mesh.hosts.map((host) => host.proxy),
				kinds: overloadMix,
				callsPerSecond: capacity * factor,
				prefix: `x${factor}`,
			},
			durationMs,
		);
		const {records} = caller;
		const urgent = successfulCallsOf(records).filter((record) => kindOf(record) === getUrgent);
		const bulk = successfulCallsOf(records).filter((record) => kindOf(record) === getBulk);
		rows.push({
			factor,
			offeredPerSecond: Math.round(capacity * factor),
			goodputPerSecond: perSecond(successfulCallsOf(records).length, durationMs),
			urgentPerSecond: perSecond(urgent.length, durationMs),
			bulkPerSecond: perSecond(bulk.length, durationMs),
			urgentP99: latencyOf(urgent).p99,
			allP99: latencyOf(successfulCallsOf(records)).p99,
			reasons: reasonsOf(records),
		});
		await delay(1000);
	}

	await mesh.stop();
	const atCapacity = rows[1].goodputPerSecond;
	return {capacity, rows, goodputAt4OfCapacity: share(rows[3].goodputPerSecond, atCapacity)};
}

/**
 * Measures the share of calls answered and their latency while one of six workers is slow, refuses
 * all calls though it announces itself as ready, or breaks every connection.
 */
async function measureFaultyWorkers({durationMs}: CallsPlan, calls: Record<string, unknown>) {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: 6}, () => 'coding'),
		serviceMs: 10,
		slots: 6,
		calls,
	});
	const [faulty, ...healthy] = mesh.hosts;
	const run = async (prefix: string) => {
		const {records} = await runLoad(
			{
				entries: healthy.map((host) => host.proxy),
				kinds: [getCoding],
				callsPerSecond: 3 * moderateRate,
				prefix,
			},
			durationMs,
		);
		const {p50, p99} = latencyOf(successfulCallsOf(records));
		return {ranShare: share(successfulCallsOf(records).length, records.length), p50, p99};
	};

	await mesh.setBehaviour(faulty, {serviceMs: 300});
	const slow = await run('slow');
	await mesh.setBehaviour(faulty, {serviceMs: 10, lies: true, shedShare: 1});
	const lying = await run('lying');
	await mesh.setBehaviour(faulty, {lies: false, shedShare: 0, breakShare: 1});
	const crashing = await run('crashing');
	await mesh.stop();
	return {slow, lying, crashing};
}

/** Measures runs per call while a share of the workers breaks the connection of every call. */
async function measureAmplification({durationMs}: CallsPlan, failingShare: number) {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: 10}, () => 'coding'),
		serviceMs: 5,
		calls: retryOverrides,
	});
	const broken = mesh.hosts.slice(0, Math.round(failingShare * mesh.hosts.length));
	await Promise.all(broken.map(async (host) => mesh.setBehaviour(host, {breakShare: 1})));
	const {records} = await runLoad(
		{
			entries: mesh.hosts.map((host) => host.proxy),
			kinds: [getCoding],
			callsPerSecond: moderateRate,
			prefix: 'call',
		},
		durationMs,
	);
	const runs = [...mesh.runs.values()].reduce((sum, count) => sum + count, 0);
	await mesh.stop();
	return {
		runsPerCall: share(runs, records.length),
		ranShare: share(successfulCallsOf(records).length, records.length),
		reasons: reasonsOf(records),
	};
}

/** Measures runs per call down a chain of 24 services, with and without 1 % of the runs broken. */
async function measureChain({durationMs}: CallsPlan) {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: 6}, () => 'coding'),
		serviceMs: 1,
		slots: 60,
	});
	const run = async (prefix: string) =>
		runLoad(
			{
				entries: mesh.hosts.map((host) => host.proxy),
				kinds: [{...getCoding, path: `/chain/${chainDepth - 1}/${chainDepth}`}],
				callsPerSecond: chainRate,
				prefix,
			},
			durationMs,
		);
	const whole = await run('whole');
	const wholeRuns = totalRuns(mesh, 'whole');
	await Promise.all(mesh.hosts.map(async (host) => mesh.setBehaviour(host, {breakShare: 0.01})));
	const broken = await run('broken');
	const brokenRuns = totalRuns(mesh, 'broken');
	await mesh.stop();
	return {
		depth: chainDepth,
		withoutFailure: {
			runsPerCall: share(wholeRuns, whole.records.length),
			ranShare: share(successfulCallsOf(whole.records).length, whole.records.length),
			latency: latencyOf(successfulCallsOf(whole.records)),
		},
		withOnePercentBroken: {
			runsPerCall: share(brokenRuns, broken.records.length),
			ranShare: share(successfulCallsOf(broken.records).length, broken.records.length),
			amplification: share(brokenRuns, broken.records.length * chainDepth),
		},
	};
}

/**
 * Drains a worker under load, which must not cut off calls. Measures the times until no node chooses
 * the worker and until its node exits, and counts the calls that were answered.
 */
async function measureDrain({durationMs}: CallsPlan) {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: 3}, () => 'coding'),
		serviceMs: 20,
	});
	const [drainingHost, ...others] = mesh.hosts;
	const caller = new Caller({
		entries: others.map((host) => host.proxy),
		kinds: [getCoding],
		callsPerSecond: moderateRate,
		prefix: 'drain',
	});
	const load = caller.run(durationMs);
	await delay(durationMs / 3);
	const startedAt = performance.now();
	await mesh.setBehaviour(drainingHost, {isDraining: true});
	await Promise.all(others.map(async (host) => mesh.waitForEndpoints(host, 2)));
	const outOfChoiceMs = Math.round(performance.now() - startedAt);
	const stopAt = performance.now();
	const exitCode = await mesh.stopNode(drainingHost);
	const stopMs = Math.round(performance.now() - stopAt);
	await load;
	await mesh.stop();
	const {records} = caller;
	return {
		outOfChoiceMs,
		stopMs,
		exitCode,
		ran: successfulCallsOf(records).length,
		sent: records.length,
	};
}

/** Repeats a request that crashes workers, beside a load of harmless calls; counts the crashes. */
async function measureQuarantine() {
	const mesh = await startMesh({
		servicesPerDataCentre: Array.from({length: 4}, () => 'coding'),
		serviceMs: 20,
	});
	const harmless = new Caller({
		entries: mesh.hosts.map((host) => host.proxy),
		kinds: [getCoding],
		callsPerSecond: moderateRate,
		prefix: 'innocent',
	});
	const load = harmless.run();
	await delay(500);
	const reasons: string[] = [];
	for (let send = 0; send < crashSends; send++) {
		const {records} = await runLoad(
			{
				entries: [mesh.hosts[send % mesh.hosts.length].proxy],
				kinds: [{...getCoding, path: `/coding/list?${crashParameter}`}],
				callsPerSecond: 1,
				prefix: `crash-${send}`,
			},
			500,
		);
		reasons.push(...records.map(({outcome, reason}) => `${outcome} ${reason}`));
	}

	harmless.stop();
	await load;
	const runs = [...mesh.runs].filter(([id]) => id.startsWith('crash-'));
	const workersCrashed = runs.reduce((sum, [, count]) => sum + count, 0);
	await mesh.stop();
	return {
		sends: crashSends,
		workersCrashed,
		answers: reasons,
		innocentsQuarantined: harmless.records.filter(({reason}) => reason === 'quarantined').length,
		innocents: harmless.records.length,
	};
}

async function startMesh(fields: MeshFields): Promise<Mesh> {
	const mesh = new Mesh({...defaultMeshPlan, dataCentres: ['dc-1'], coldStartMs: 0, ...fields});
	await mesh.start();
	const driver = new ChangeDriver(mesh, 10);
	await driver.change();
	const workers = mesh.hosts.filter((host) => host.service !== '').length;
	await Promise.all(mesh.hosts.map(async (host) => mesh.waitForEndpoints(host, workers)));
	await driver.close();
	return mesh;
}

async function runLoad(plan: CallerPlan, durationMs: number): Promise<Caller> {
	const caller = new Caller(plan);
	await caller.run(durationMs);
	if (caller.records.length !== caller.sent) {
		throw new BenchError(`Only ${caller.records.length} of ${caller.sent} calls completed`);
	}

	return caller;
}

function kindOf({id}: CallRecord): CallKind {
	const number = Number(id.slice(id.lastIndexOf('-') + 1));
	return overloadMix[number % overloadMix.length];
}

function successfulCallsOf(records: readonly CallRecord[]): CallRecord[] {
	return records.filter(({outcome, isMatchingAnswer}) => outcome === 'ran' && isMatchingAnswer);
}

function reasonsOf(records: readonly CallRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, reason} of records.filter((record) => record.outcome !== 'ran')) {
		const key = `${outcome} ${reason}`;
		counts[key] = (counts[key] ?? 0) + 1;
	}

	return counts;
}

function totalRuns({runs}: Mesh, prefix: string): number {
	let sum = 0;
	for (const [id, count] of runs) {
		sum += id.startsWith(prefix) ? count : 0;
	}

	return sum;
}

function share(part: number, whole: number): number {
	return Number((part / Math.max(1, whole)).toFixed(3));
}

function perSecond(count: number, durationMs: number): number {
	return Math.round((count * 1000) / durationMs);
}

function difference(a: number, b: number): number {
	return Number((a - b).toFixed(3));
}

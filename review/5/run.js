#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from '../lib/client.js';
import {Mesh} from '../lib/mesh.js';
import {runCase} from '../lib/run-case.js';
import {configurationOf, smallBounds} from '../lib/wire.js';

const hasTrouble = process.env.TROUBLE !== '0';
const drainTimeoutMs = 2000;
const contactMs = 3000;
/** A worker's heartbeat that arrives some seconds late. */
const lateMs = 3000;
const killAfterMs = 300;
/** Time for which all processes are gone. */
const downMs = 1000;
/** The worker goes on serving for the drain time-out and some seconds longer. */
const servesMs = 12_000;
const requestGapMs = 40;
const deadlineMs = 1500;

const mesh = new Mesh(path.join(import.meta.dirname, 'record.txt'), smallBounds);
const runs = [];

/** Kills all nodes at once and starts them again. Returns when they have been started, in the record's time. */
async function killAll() {
	mesh.record('kill-all');
	for (const {child} of mesh.machines) {
		child.kill('SIGKILL');
	}

	await delay(downMs);
	for (const machine of mesh.machines) {
		mesh.startNode(machine);
	}

	return mesh.now;
}

async function play() {
	const worker = {
		slots: 12,
		queue: 24,
		workMs: () => 60,
		record(event, fields) {
			mesh.record(event, fields);
			if (event === 'run') {
				runs.push({at: mesh.now, ...fields});
			}
		},
	};
	await mesh.start(
		[
			{service: 'front', worker},
			...['z-a', 'z-b', 'z-c'].map((zone) => ({service: 'records', zone, worker})),
		],
		configurationOf(
			{
				records: {
					pathPrefix: '/records/',
					kind: 'idempotent',
					timeoutMs: deadlineMs,
					targetLatencyMs: 300,
					service: 'records',
				},
			},
			['front', 'records'],
		),
	);
	const {host, proxyPort: port} = mesh.machines[0];
	const client = new Client({
		host,
		port,
		record(event, fields) {
			mesh.record(event, fields);
		},
	});
	const traffic = setInterval(async () => {
		await client.send({path: '/records/1', deadlineMs});
	}, requestGapMs);
	await delay(2000);
	const leaving = mesh.machines[1].worker;
	await leaving.beat(lateMs);
	await delay(100);
	const status = await leaving.leave();
	const leftAt = mesh.now;
	if (status !== 200) {
		return 2;
	}

	await delay(killAfterMs);
	const inTouchFrom = hasTrouble ? (await killAll()) + contactMs : 0;
	await delay(servesMs - (mesh.now - leftAt));
	clearInterval(traffic);
	client.close();
	const from = Math.max(leftAt + drainTimeoutMs, inTouchFrom);
	const late = runs.filter((run) => run.worker === leaving.id && run.at > from);
	const others = runs.filter((run) => run.worker !== leaving.id && run.at > from);
	mesh.record('judged', {leftAt, inTouchFrom, late: late.map(({id, at}) => ({id, at}))});
	console.log(
		`requests that machines in touch sent to the worker later than ${drainTimeoutMs} ms after the ` +
			`acknowledgement that it leaves: ${late.length}; to the others: ${others.length}`,
	);
	if (others.length === 0) {
		return 2;
	}

	return late.length > 0 ? 1 : 0;
}

process.exit(await runCase(mesh, play));

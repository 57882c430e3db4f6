#!/usr/bin/env node
import {Buffer} from 'node:buffer';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Mesh} from '../lib/mesh.js';
import {runCase} from '../lib/run-case.js';
import {configurationOf, smallBounds} from '../lib/wire.js';
import {PipelineClient} from '../lib/pipeline.js';

const hasTrouble = process.env.TROUBLE !== '0';
const clientCount = 12;
const workers = 5;
/** Share 0.4 of the service's workers. */
const slowWorkers = 2;
const slowness = 12;
const slowMs = 9000;
const deadlineMs = 8000;
/** A request of about one kilobyte, of which a segment of the network carries one and a half. */
const cookieBytes = 900;
const segment = {bytes: 1460, gapMs: 4};
const answer = {body: Buffer.alloc(6000, 'a')};
/** LOST is broken by more than so many. */
const allowedLosses = 3;

const mesh = new Mesh(path.join(import.meta.dirname, 'record.txt'), smallBounds);
const ran = new Map();

/** Keeps which worker answered which request. */
function record(event, fields) {
	mesh.record(event, fields);
	if (event === 'ran') {
		ran.set(fields.id, fields.worker);
	}
}

async function play() {
	const worker = {slots: 12, queue: 48, workMs: () => 500, answer: () => answer, record};
	const zones = ['z-a', 'z-b', 'z-c', 'z-a', 'z-b'];
	await mesh.start(
		[
			{service: 'front', worker},
			...zones.slice(0, workers).map((zone) => ({service: 'records', zone, worker})),
		],
		configurationOf(
			{
				archive: {
					pathPrefix: '/archive/',
					kind: 'idempotent',
					timeoutMs: 6000,
					targetLatencyMs: 2000,
					service: 'records',
				},
			},
			['front', 'records'],
		),
	);
	const {host, proxyPort: port} = mesh.machines[0];
	const clients = Array.from(
		{length: clientCount},
		(_, index) => new PipelineClient({name: `client-${index}`, host, port, record}),
	);
	// A first request makes each connection a kept one.
	await Promise.all(
		clients.map(async (client) => {
			await client.write(client.request('/archive/first', deadlineMs));
			await client.finished(deadlineMs);
		}),
	);
	if (hasTrouble) {
		const slow = mesh.machines.slice(1, 1 + slowWorkers);
		for (const machine of slow) {
			machine.worker.slowness = slowness;
		}

		mesh.record('workers-slow', {workers: slow.map((machine) => machine.worker.id), slowness});
		setTimeout(() => {
			for (const machine of slow) {
				machine.worker.slowness = 1;
			}

			mesh.record('workers-usual');
		}, slowMs);
	}

	await Promise.all(
		clients.map(async (client, index) => {
			await delay(index * 20);
			for (const count of [6, 4, 4]) {
				const requests = Array.from({length: count}, (_, number) =>
					client.request(`/archive/${index}-${count}-${number}`, deadlineMs, cookieBytes),
				);
				// eslint-disable-next-line no-await-in-loop
				await client.write(requests.join(''), segment);
				// eslint-disable-next-line no-await-in-loop
				await delay(700);
			}

			await client.finished(deadlineMs + 1000);
		}),
	);
	return judge(clients);
}

/**
 * Counts the requests of kept connections that a worker of usual speed ran and answered, and whose connection
 * the node closed without an answer.
 */
function judge(clients) {
	const slow = new Set(mesh.machines.slice(1, 1 + slowWorkers).map(({worker}) => worker.id));
	const closed = clients.filter(({isClosed}) => isClosed);
	const lost = closed
		.flatMap(({requests}) => requests)
		.filter((request) => request.answer === undefined && ran.has(request.id))
		.filter((request) => !hasTrouble || !slow.has(ran.get(request.id)));
	const answers = clients
		.flatMap(({requests}) => requests)
		.flatMap((request) => request.answer ?? []);
	const refused = answers.filter(({status}) => status === 400).length;
	const served = answers.filter(({status}) => status === 200).length;
	mesh.record('judged', {
		requests: clients.flatMap(({requests}) => requests).length,
		served,
		closedConnections: closed.length,
		answeredWith400: refused,
		lost: lost.map(({id}) => id),
	});
	console.log(
		`connections closed: ${closed.length}; run by sound workers and never answered: ${lost.length}; ` +
			`proper requests answered with 400: ${refused}; served: ${served}`,
	);
	return lost.length > allowedLosses ? 1 : 0;
}

process.exit(await runCase(mesh, play));

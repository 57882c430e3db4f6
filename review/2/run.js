#!/usr/bin/env node
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Client} from '../lib/client.js';
import {Mesh} from '../lib/mesh.js';
import {runCase} from '../lib/run-case.js';
import {configurationOf, smallBounds} from '../lib/wire.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** Whether clients of another caller send requests with the same path, which crash nothing. */
const hasOtherCaller = process.env.OTHER_CALLER !== '0';
const contactMs = 3000;
const downMs = 3000;
const playMs = 30_000;
const poisonGapMs = 1000;
const trafficGapMs = 50;
const deadlineMs = 1500;
const crashesBefore = 3;
/** BUDGET is broken by more than so many. */
const allowedRetries = 3;
const target = '/records/a-17';
const caller = 'front';

const mesh = new Mesh(path.join(import.meta.dirname, 'record.txt'), smallBounds);
const arrivals = [];
const crashes = [];
/** Requests that a worker was running when it crashed on another. */
const dropped = [];

async function play() {
	const worker = {
		slots: 12,
		queue: 24,
		downMs,
		workMs: () => 60,
		crashes: ({url, headers}) =>
			hasTrouble && url === target && headers['x-caller-service'] === caller,
		record(event, fields) {
			mesh.record(event, fields);
			if (event === 'run' && fields.caller === caller && fields.request === `GET ${target}`) {
				arrivals.push(mesh.now);
			} else if (event === 'crashed') {
				crashes.push(mesh.now);
			} else if (event === 'dropped') {
				dropped.push(fields.id);
			}
		},
	};
	await mesh.start(
		[
			{service: caller, worker},
			{service: 'portal', worker},
			...['z-a', 'z-b', 'z-c', 'z-a'].map((zone) => ({service: 'records', zone, worker})),
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
			[caller, 'portal', 'records'],
		),
	);
	const record = (event, fields) => {
		mesh.record(event, fields);
	};

	const [first, second] = mesh.machines.map(
		({host, proxyPort: port}) => new Client({host, port, record}),
	);
	let count = 0;
	const timers = [
		setInterval(async () => {
			count += 1;
			await first.send({path: `/records/b-${count}`, deadlineMs});
		}, trafficGapMs),
		setInterval(async () => {
			count += 1;
			const isSame = hasOtherCaller && count % 2 === 0;
			await second.send({path: isSame ? target : `/records/c-${count}`, deadlineMs});
		}, trafficGapMs),
	];
	await delay(2000);
	timers.push(
		setInterval(async () => {
			await first.send({path: target, deadlineMs, name: 'crashes workers'});
		}, poisonGapMs),
	);
	await delay(playMs);
	for (const timer of timers) {
		clearInterval(timer);
	}

	first.close();
	second.close();
	const from = (crashes.at(crashesBefore - 1) ?? Infinity) + contactMs;
	const late = arrivals.filter((at) => at > from);
	mesh.record('judged', {crashes, from, late});
	console.log(
		`crashes: ${crashes.length}; arrivals of the request at workers: ${arrivals.length}, ` +
			`later than ${contactMs} ms after its third crash: ${late.length}; ` +
			`other requests that a worker was running when it crashed: ${dropped.length}`,
	);
	return late.length > allowedRetries ? 1 : 0;
}

process.exit(await runCase(mesh, play));

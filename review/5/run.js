#!/usr/bin/env node
import {Buffer} from 'node:buffer';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {Mesh} from '../lib/mesh.js';
import {configurationOf, smallBounds} from '../lib/wire.js';
import {PipelineClient} from '../lib/pipeline.js';

const hasTrouble = process.env.TROUBLE !== '0';
const clientCount = 20;
/** Share 0.3 of the clients leaves, 1.5 s after its first request. */
const leavingClients = 6;
const leaveAfterMs = 1500;
const deadlineMs = 8000;
const exportMs = 4000;
const lookupMs = 100;
/** Time after a client has left at which workers may still be at work for it. */
const allowedMs = 500;
/** GONE is broken if workers are still at work on a larger share. */
const allowedShare = 0.25;
const answers = {export: Buffer.alloc(400, 'a'), lookup: Buffer.alloc(5000, 'a')};

const mesh = new Mesh(path.join(import.meta.dirname, 'record.txt'), smallBounds);
/** When a worker began and ended each request. */
const runs = new Map();

function record(event, fields) {
	mesh.record(event, fields);
	if (event === 'run') {
		runs.set(fields.id, {began: mesh.now, isExport: fields.request.includes('/export/')});
	} else if (event === 'ran' || event === 'dropped') {
		runs.get(fields.id).ended = mesh.now;
	}
}

function route(pathPrefix, priority) {
	return {
		pathPrefix,
		priority,
		kind: 'idempotent',
		timeoutMs: deadlineMs,
		targetLatencyMs: 2000,
		service: 'records',
	};
}

async function play() {
	const isExport = (target) => target.startsWith('/export/');
	const worker = {
		slots: 12,
		queue: 48,
		workMs: (target) => (isExport(target) ? exportMs : lookupMs),
		answer: ({url}) => ({body: isExport(url) ? answers.export : answers.lookup}),
		record,
	};
	await mesh.start(
		[
			{service: 'front', worker},
			...['z-a', 'z-b', 'z-c'].map((zone) => ({service: 'records', zone, worker})),
		],
		configurationOf({export: route('/export/', 2), lookup: route('/lookup/', 1)}, [
			'front',
			'records',
		]),
	);
	const {host, proxyPort: port} = mesh.machines[0];
	const clients = Array.from(
		{length: clientCount},
		(_, index) => new PipelineClient({name: `client-${index}`, host, port, record}),
	);
	const left = [];
	await Promise.all(
		clients.map(async (client, index) => {
			await delay(index * 20);
			const beganAt = mesh.now;
			const lookups = (count) =>
				Array.from({length: count}, (_, number) =>
					client.request(`/lookup/${index}-${number}`, deadlineMs),
				).join('');
			await client.write(client.request(`/export/${index}`, deadlineMs) + lookups(4));
			await delay(600);
			await client.write(lookups(1));
			if (hasTrouble && index < leavingClients) {
				await delay(leaveAfterMs - (mesh.now - beganAt));
				left.push({client, at: mesh.now});
				mesh.record('left', {client: index});
				client.close();
			} else {
				await client.finished(deadlineMs + 1000);
			}
		}),
	);
	return judge(left);
}

/** Counts the requests of clients that have left and that would have lasted for half a second more. */
function judge(left) {
	const abandoned = left.flatMap(({client, at}) =>
		client.requests
			.filter(({answer}) => answer === undefined)
			.map(({id}) => ({id, at, ...runs.get(id)})),
	);
	const lasting = abandoned.filter(
		({at, began, isExport}) =>
			began !== undefined && began + (isExport ? exportMs : lookupMs) > at + allowedMs,
	);
	const worked = lasting.filter(({at, ended = Infinity}) => ended > at + allowedMs);
	const share = lasting.length === 0 ? 0 : worked.length / lasting.length;
	mesh.record('judged', {lasting: lasting.length, worked: worked.map(({id}) => id)});
	console.log(
		`requests of clients that have left and would have lasted half a second longer: ` +
			`${lasting.length}; workers still at work on ${worked.length}`,
	);
	return share > allowedShare ? 1 : 0;
}

let code = 2;
try {
	code = await play();
} catch (error) {
	console.error(error);
} finally {
	mesh.close();
}

process.exit(code);

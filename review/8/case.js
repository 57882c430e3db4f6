/* A worker's leaving is acknowledged while the store is down; then all nodes' processes are killed. */
/* eslint-disable no-await-in-loop -- steps come one after the other */
/* eslint-disable no-void -- requests go on beside the script */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {configurationOf, routeTo} from '../lib-2/configuration.js';
import {runCase} from '../lib-2/mesh.js';
import {WorkerProcess} from '../lib-2/worker-process.js';
import {sendRequest} from '../lib-2/worker.js';

/** `store` or `kill`: only that half of the disruption. */
const trouble = process.env.TROUBLE ?? '1';
const hasTrouble = trouble !== '0';
const isStoreDown = hasTrouble && trouble !== 'kill';
const isKilled = hasTrouble && trouble !== 'store';
/** `platform_down`, silent. */
const storeDownMs = 3500;
const restartDelayMs = 1000;
const drainTimeoutMs = 2000;
const contactMs = 3000;
/** How late the worker's last heartbeat arrives: "A heartbeat may arrive seconds late." */
const beatDelayMs = 4000;
/** For how long the worker goes on serving after its leaving was acknowledged: "at times many seconds". */
const lingerMs = 8000;

const record = [];
const startedAt = Date.now();
const write = (event, fields) => {
	record.push(JSON.stringify({ms: Date.now() - startedAt, event, ...fields}));
};

await runCase(async (mesh) => {
	for (const service of ['booking', 'records']) {
		for (const zone of ['a', 'b', 'c']) {
			mesh.add({service, zone});
		}
	}

	await mesh.start();
	mesh.store.put(
		'config',
		'main',
		configurationOf(7, {
			booking: routeTo('booking', '/booking/', 'non_idempotent'),
			records: routeTo('records', '/records/', 'idempotent'),
		}),
	);
	const workers = [];
	const runs = [];
	for (const [index, machine] of mesh.machines.entries()) {
		const worker = new WorkerProcess(machine, {id: `i-${index}`, workMs: 120}, (run) => {
			runs.push({...run, worker: `i-${index}`});
			write('run', {id: run.id, worker: `i-${index}`});
		});
		await worker.order('listen');
		await worker.order('startBeats');
		workers.push(worker);
	}

	await mesh.waitUntilReady();
	await delay(3000);

	const results = new Map();
	let count = 0;
	const booking = setInterval(() => {
		for (const machine of mesh.machines) {
			count += 1;
			const id = `booking-${count}`;
			write('sent', {id, machine: machine.name});
			void sendRequest({
				address: machine.outbound,
				method: 'POST',
				host: 'mesh.example',
				path: '/booking/1',
				id,
				deadlineMs: 1500,
				body: 'seat',
			}).then(({status, ms}) => {
				results.set(id, status);
				write('answered', {id, status, ms});
			});
		}
	}, 100);
	await delay(1000);

	const [leaving] = workers;
	if (isStoreDown) {
		write('store is down');
		mesh.store.fault = {type: 'silent'};
		mesh.store.silenceConnections();
	}

	const storeDownAt = Date.now();
	await delay(500);
	await leaving.order('stopBeats');
	// This heartbeat is on its way for a long time.
	const lateBeat = await leaving.order('nextBeat');
	const beatSentAt = Date.now();
	await delay(200);
	const status = await leaving.order('leave');
	const acknowledgedAt = Date.now();
	write('leaving acknowledged', {worker: leaving.id, status});
	await delay(200);
	if (isKilled) {
		write('all nodes are killed');
		for (const machine of mesh.machines) {
			machine.signal('SIGKILL');
		}

		await delay(restartDelayMs);
		for (const machine of mesh.machines) {
			machine.start();
		}
	}

	const killedUntil = Date.now();
	await delay(Math.max(0, storeDownAt + storeDownMs - Date.now()));
	mesh.store.fault = {type: 'none'};
	const storeUpAt = Date.now();
	write('store is up');
	await delay(Math.max(0, beatSentAt + beatDelayMs - Date.now()));
	const beatStatus = await leaving.order('beat', lateBeat);
	write('late heartbeat', {status: beatStatus});
	await delay(Math.max(0, acknowledgedAt + lingerMs - Date.now()));
	await leaving.kill();
	write('worker exits', {worker: leaving.id});
	await delay(2500);
	clearInterval(booking);
	await delay(2000);
	for (const worker of workers.slice(1)) {
		await worker.kill();
	}

	// In touch: the processes ran and the store was up for `contact_ms`.
	const inTouchFrom = hasTrouble ? Math.max(killedUntil + 1000, storeUpAt) + contactMs : 0;
	const late = runs.filter(
		({worker, at}) =>
			worker === leaving.id && at > Math.max(acknowledgedAt + drainTimeoutMs, inTouchFrom),
	);
	const unanswered = late.filter(({id}) => results.get(id) !== 200);
	write('result', {status, lateRuns: late.length, unanswered: unanswered.length});
	console.log(JSON.stringify({status, lateRuns: late.length, unanswered: unanswered.length}));
	writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
	return late.length === 0;
});

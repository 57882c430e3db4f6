/* A worker falls silent for good, and its address goes to a worker of another service while calls wait for it. */
/* eslint-disable camelcase -- the platform spells its fields so */
/* eslint-disable no-await-in-loop -- steps come one after the other */
/* eslint-disable no-void -- requests go on beside the script */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {configurationOf, routeTo} from '../lib-2/configuration.js';
import {runCase, scriptPorts} from '../lib-2/mesh.js';
import {WorkerLink} from '../lib-2/worker-link.js';
import {WorkerProcess} from '../lib-2/worker-process.js';
import {sendRequest} from '../lib-2/worker.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** Kind of request `archive-pull` of the grown site: work, objective and deadline. */
const workMs = 640;
const route = {timeout_ms: 8000, target_latency_ms: 2000};
const deadlineMs = 8000;
const reuseAfterMs = 2000;

const record = [];
const startedAt = Date.now();
const write = (event, fields) => {
	record.push(JSON.stringify({ms: Date.now() - startedAt, event, ...fields}));
};

await runCase(async (mesh) => {
	for (const service of ['records', 'booking']) {
		for (const zone of ['a', 'b', 'c']) {
			mesh.add({service, zone});
		}
	}

	await mesh.start();
	mesh.store.put(
		'config',
		'main',
		configurationOf(7, {
			records: routeTo('records', '/records/', 'idempotent', route),
			booking: routeTo('booking', '/booking/', 'non_idempotent'),
		}),
	);
	const runs = [];
	const live = new Set();
	let births = 0;
	/** Starts a worker beside a machine; the others reach it at the machine's address. */
	const startWorker = async ({name, ip, zone, app, control}, service, slots) => {
		births += 1;
		const id = `i-${births}-${service}`;
		const place = {
			name,
			zone,
			app,
			control,
			service,
			listen: `${ip}:${scriptPorts.workers + births}`,
		};
		const worker = new WorkerProcess(place, {id, slots, workMs}, (run) => {
			runs.push({...run, worker: id, service});
			write('run', {id: run.id, worker: id, path: run.path});
		});
		live.add(worker);
		worker.place = place;
		await worker.order('listen');
		return worker;
	};

	const links = new Map();
	const current = new Map();
	for (const machine of mesh.machines) {
		const worker = await startWorker(
			machine,
			machine.service,
			machine.service === 'records' ? 8 : 12,
		);
		const link = new WorkerLink(worker.place.listen);
		await link.listen(machine.app);
		await worker.order('startBeats');
		links.set(machine, link);
		current.set(machine, worker);
	}

	await mesh.waitUntilReady();
	await delay(2000);
	const results = new Map();
	let count = 0;
	const asking = setInterval(() => {
		for (const machine of mesh.machines) {
			count += 1;
			const id = `pull-${count}`;
			write('sent', {id, machine: machine.name});
			void sendRequest({
				address: machine.outbound,
				host: 'mesh.example',
				path: `/records/${count}`,
				id,
				deadlineMs,
			}).then(({status, ms}) => {
				results.set(id, status);
				write('answered', {id, status, ms});
			});
		}
	}, 150);
	await delay(5000);

	const [machine] = mesh.machines;
	if (hasTrouble) {
		const old = current.get(machine);
		write('worker falls silent', {worker: old.id});
		links.get(machine).goDark();
		live.delete(old);
		await old.kill();
		await delay(reuseAfterMs);
		const next = await startWorker(machine, 'booking', 12);
		machine.changeService('booking');
		links.get(machine).leadTo(next.place.listen);
		write('address goes to another service', {worker: next.id});
		await next.order('startBeats');
	}

	await delay(5000);
	clearInterval(asking);
	await delay(3000);
	for (const worker of live) {
		await worker.kill();
	}

	for (const link of links.values()) {
		link.close();
	}

	const wrong = runs.filter(({path, service}) => !path.startsWith(`/${service}/`));
	const answered = wrong.filter(({id}) => results.get(id) === 200);
	const result = {runs: runs.length, wrong: wrong.length, answeredWith200: answered.length};
	write('result', result);
	console.log(JSON.stringify(result));
	writeFileSync(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
	return wrong.length === 0;
});

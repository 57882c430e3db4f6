import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {get} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type NodeAddresses, type SoakDeployment, type SoakWorker} from 'redwingmill-soak';

/** How the process of a node under measurement is started. */
export type MeasuredNodeOptions = {
	readonly deployment: SoakDeployment;
	/** Script of the node program. */
	readonly program: string;
	/** Options of the JavaScript runtime. */
	readonly flags: readonly string[];
	/** Folder for a profile of the processor time; absent for none. */
	readonly profileFolder?: string;
	readonly settingsFile: string;
	readonly dataCentre: string;
	readonly service: string;
	readonly storeAddress: string;
	readonly linkMbps?: number;
	/** Time for which the worker runs a call, in milliseconds. */
	readonly runMs: number;
};

/** A node's process, the addresses it listens on and the worker beside it. */
export type MeasuredNode = {
	readonly pid: number;
	readonly addresses: NodeAddresses;
	/** Time from the start of the process until it was ready, in milliseconds. */
	readonly readyMs: number;
	/** Stops the process as planned. Returns the milliseconds until its exit. */
	readonly stop: () => Promise<number>;
	/** Ends the process and the worker. */
	readonly close: () => Promise<void>;
};

const pollIntervalMs = 20;
const startTimeoutMs = 20_000;
const announcementIntervalMs = 1500;

/** Starts a node and a worker, and waits until the node is ready. */
export async function startMeasuredNode(options: MeasuredNodeOptions): Promise<MeasuredNode> {
	const {deployment, program, flags, profileFolder, settingsFile, service, runMs} = options;
	const addresses = await deployment.allocateAddresses();
	const {control, gate} = addresses;
	const {dataCentre, storeAddress, linkMbps} = options;
	const advertised = {control, gate};
	writeFileSync(
		settingsFile,
		deployment.settingsOf({dataCentre, service, addresses, advertised, storeAddress, linkMbps}),
	);
	const profileFlags =
		profileFolder === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`];
	const startedAt = performance.now();
	const child = spawn(process.execPath, [...flags, ...profileFlags, program], {
		env: {...process.env, ...deployment.environmentOf(settingsFile)},
		stdio: 'ignore',
	});
	const exited = once(child, 'exit');
	const worker = deployment.createWorker(service, (run, reply) => {
		setTimeout(() => {
			reply.send(`answer to ${run.id}`);
		}, runMs);
	});
	const stopAnnouncing = await announceRepeatedly(worker, addresses.announcements);
	await waitUntil(async () => (await statusOf(addresses.ready)) === 200);
	const readyMs = performance.now() - startedAt;
	return {
		pid: child.pid ?? 0,
		addresses,
		readyMs,
		async stop() {
			const signalledAt = performance.now();
			child.kill('SIGTERM');
			await exited;
			return performance.now() - signalledAt;
		},
		async close() {
			stopAnnouncing();
			child.kill(profileFolder === undefined ? 'SIGKILL' : 'SIGTERM');
			await exited;
			await worker.stop();
		},
	};
}

async function announceRepeatedly(worker: SoakWorker, nodeAddress: string): Promise<() => void> {
	const workerAddress = await worker.start(1);
	const announce = async () => worker.announce(nodeAddress, workerAddress, false);
	await waitUntil(announce);
	const timer = setInterval(() => {
		void announce();
	}, announcementIntervalMs);
	return () => {
		clearInterval(timer);
	};
}

/** Returns the status of a GET request; undefined if there was no response. */
export async function statusOf(address: string): Promise<number | undefined> {
	return new Promise((resolve) => {
		const request = get(`http://${address}/`, (response) => {
			response.resume();
			resolve(response.statusCode);
		});
		request.once('error', () => {
			resolve(undefined);
		});
	});
}

/** Polls until `isDone` returns true. Throws a `TypeError` if that takes too long. */
export async function waitUntil(isDone: () => Promise<boolean>): Promise<void> {
	const endsAt = performance.now() + startTimeoutMs;
	while (!(await isDone())) {
		if (performance.now() > endsAt) {
			throw new TypeError('a node was not ready in time');
		}

		await delay(pollIntervalMs);
	}
}

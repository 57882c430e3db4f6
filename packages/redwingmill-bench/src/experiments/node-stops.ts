import {mkdtempSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {type SoakDeployment, type SoakRoute} from 'redwingmill-soak';
import {quantilesOf} from '../load/quantiles.js';
import {startMeasuredNode, type MeasuredNode} from '../mesh/measured-node.js';

/** Options of {@link measureNodeStops}. */
export type NodeStopsOptions = {
	/** Script of the node program. */
	readonly program: string;
	/** Options of the JavaScript runtime, as deployed. */
	readonly flags: readonly string[];
	/** Number of starts and stops of each kind. */
	readonly rounds: number;
};

/** Medians of the times that starts and planned stops take, in milliseconds. */
export type NodeStops = {
	/** From the start of the process until it is ready. */
	readonly readyMs: number;
	/** From the signal until the exit, with nothing at work. */
	readonly idleStopMs: number;
	/** The same while callers send requests behind one another on connections that they keep. */
	readonly pipelinedStopMs: number;
	/** Requests that arrived around these signals and weren't answered, of all that callers sent then. */
	readonly unanswered: {readonly count: number; readonly sent: number};
};

const service = 'first';
const runMs = 60;
const connectionCount = 8;
const requestsBehindEachOther = 3;
/** Time from the first requests to the signal. */
const leadMs = 200;
const routeTimeoutMs = 2000;

/** Measures how long starts and planned stops of the deployed program take. */
export async function measureNodeStops(
	deployment: SoakDeployment,
	options: NodeStopsOptions,
): Promise<NodeStops> {
	const store = deployment.createStore();
	const storeAddress = await store.listen();
	const route: SoakRoute = {
		name: service,
		path: `/${service}/`,
		service,
		isIdempotent: true,
		timeoutMs: routeTimeoutMs,
	};
	store.write(1, [route]);
	const folder = mkdtempSync(path.join(tmpdir(), 'redwingmill-stops-'));
	const {program, flags, rounds} = options;
	let nodeCount = 0;
	const start = async (): Promise<MeasuredNode> => {
		nodeCount += 1;
		return startMeasuredNode({
			deployment,
			program,
			flags,
			settingsFile: path.join(folder, `node-${nodeCount}.jsonc`),
			dataCentre: 'dc-a',
			service,
			storeAddress,
			runMs,
		});
	};

	const ready: number[] = [];
	const idle: number[] = [];
	const pipelined: number[] = [];
	let sent = 0;
	let answered = 0;
	for (let round = 0; round < rounds; round++) {
		const quiet = await start();
		ready.push(quiet.readyMs);
		idle.push(await quiet.stop());
		await quiet.close();
		const busy = await start();
		const callers = Array.from(
			{length: connectionCount},
			(_, index) => new PipeliningCaller(deployment, busy.addresses.proxy, `${round}-${index}`),
		);
		await delay(leadMs);
		pipelined.push(await busy.stop());
		await busy.close();
		for (const caller of callers) {
			sent += caller.sent;
			answered += caller.answered;
		}
	}

	await store.close();
	return {
		readyMs: Math.round(quantilesOf(ready, 1).p50),
		idleStopMs: Math.round(quantilesOf(idle, 1).p50),
		pipelinedStopMs: Math.round(quantilesOf(pipelined, 1).p50),
		unanswered: {count: sent - answered, sent},
	};
}

/**
 * Sends requests behind one another on one connection, the next ones once all are answered, until the
 * connection closes.
 */
class PipeliningCaller {
	readonly #deployment: SoakDeployment;
	readonly #socket: Socket;
	readonly #name: string;
	#sent = 0;
	#answered = 0;

	constructor(deployment: SoakDeployment, address: string, name: string) {
		this.#deployment = deployment;
		this.#name = name;
		const [hostname, port] = address.split(':');
		this.#socket = connect(Number(port), hostname);
		this.#socket.on('error', () => undefined);
		this.#socket.on('data', (bytes) => {
			this.#onData(String(bytes));
		});
		this.#sendBatch();
	}

	get sent(): number {
		return this.#sent;
	}

	get answered(): number {
		return this.#answered;
	}

	#onData(text: string): void {
		// Each head begins with the protocol's version, which bodies of the worker don't contain.
		this.#answered += text.split('HTTP/1.1 ').length - 1;
		const isClosing = /connection: close/iv.test(text);
		if (this.#answered === this.#sent && !isClosing) {
			this.#sendBatch();
		}
	}

	#sendBatch(): void {
		const {headersOf, hostName} = this.#deployment;
		const requests = Array.from({length: requestsBehindEachOther}, () => {
			this.#sent += 1;
			const headers = {
				host: hostName,
				...headersOf(`${this.#name}-${this.#sent}`, routeTimeoutMs),
			};
			const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}`);
			return [`GET /${service}/ HTTP/1.1`, ...lines, '', ''].join('\r\n');
		});
		this.#socket.write(requests.join(''));
	}
}

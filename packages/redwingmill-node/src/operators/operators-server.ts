import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Worker} from 'redwingmill-core';
import {type GateService} from '../call/gate-service.js';
import {readRequestBody} from '../call/read-request.js';
import {type ControlPlane} from '../control/control-plane.js';
import {listenOn} from '../listen.js';
import {type Metrics} from '../observe/metrics.js';
import {type MetricsPage} from '../observe/metrics-page.js';
import {parseAnnouncement} from './announcement.js';

/** Paths of the operators' port. */
export const operatorsPaths = {
	health: '/healthz',
	ready: '/readyz',
	metrics: '/metrics',
	status: '/status',
	/** Accepts the worker's announcements, which it sends at least once a second. */
	worker: '/worker',
} as const;

const announcementLimitBytes = 4096;

/** Properties of the gate that the status page shows. */
export type GateState = Pick<
	GateService,
	'runningCount' | 'waitingCount' | 'limitPerSecond' | 'notice' | 'load'
>;

/** HTTP server for operators and for the announcements of the node's worker. */
export class OperatorsServer {
	readonly #server: Server;
	readonly #control: ControlPlane;
	readonly #metrics: Metrics;
	readonly #onAnnouncement: (worker: Worker) => void;
	readonly #gate: GateState;
	#metricsPage: MetricsPage | undefined;

	constructor(
		control: ControlPlane,
		gate: GateState,
		metrics: Metrics,
		onAnnouncement: (worker: Worker) => void,
	) {
		this.#gate = gate;
		this.#control = control;
		this.#metrics = metrics;
		this.#onAnnouncement = onAnnouncement;
		this.#server = createServer((request, response) => {
			this.#handle(request, response);
		});
	}

	async listen(address: string): Promise<void> {
		await listenOn(this.#server, address, 'operators');
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		switch (request.url) {
			case operatorsPaths.health: {
				reply(response, 200, {status: 'alive'});
				break;
			}

			case operatorsPaths.ready: {
				const {isServing} = this.#control;
				reply(response, isServing ? 200 : 503, {isServing});
				break;
			}

			case operatorsPaths.metrics: {
				void this.#sendMetrics(response);
				break;
			}

			case operatorsPaths.status: {
				reply(response, 200, {...(this.#control.status() as object), gate: this.#gateStatus});
				break;
			}

			case operatorsPaths.worker: {
				this.#handleAnnouncement(request, response);
				break;
			}

			default: {
				reply(response, 404, {paths: Object.values(operatorsPaths)});
			}
		}
	}

	get #gateStatus() {
		const {runningCount, waitingCount, limitPerSecond, notice, load} = this.#gate;
		return {
			running: runningCount,
			waiting: waitingCount,
			limitPerSecond,
			limitWaitMs: load.allowance?.waitMs,
			hostTime: load.hostTime,
			isWorkerLeaving: notice?.isLeaving ?? false,
		};
	}

	async #sendMetrics(response: ServerResponse): Promise<void> {
		const module = await import('../observe/metrics-page.js');
		this.#metricsPage ??= new module.MetricsPage(this.#metrics);
		const text = await this.#metricsPage.render();
		response.writeHead(200, {'content-type': this.#metricsPage.contentType});
		response.end(text);
	}

	#handleAnnouncement(request: IncomingMessage, response: ServerResponse): void {
		readRequestBody(request, announcementLimitBytes, (result) => {
			const text = result.type === 'complete' ? (result.body?.toString() ?? '') : '';
			const worker = parseAnnouncement(text);
			if (worker) {
				this.#onAnnouncement(worker);
				reply(response, 200, {state: worker.state});
			} else {
				reply(response, 400, {expected: ['service', 'address', 'slots', 'state']});
			}
		});
	}
}

function reply(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

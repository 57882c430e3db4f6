import {Agent, request as send} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from 'redwingmill-shared';
import {type CallResult, type Expectation} from './invariant-checker.js';
import {type SoakRoute, type SoakDeployment} from './soak-deployment.js';

/** A call that a caller is about to make. */
export type CallRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly timeoutMs: number;
};

/** A route together with what its calls may meet. */
export type CallTarget = {readonly route: SoakRoute; readonly expects: Expectation};

/** What a caller needs to know of its surroundings. */
export type CallerOptions = {
	readonly deployment: SoakDeployment;
	/** Address at which the caller reaches its node. */
	readonly address: string;
	readonly random: Random;
	/** The caller's next target. */
	readonly chooseTarget: () => CallTarget;
	readonly onSent: (plan: CallRequest, target: CallTarget) => void;
	readonly onEnd: (id: string, end: CallResult) => void;
	/** Makes identifiers that no other call has. */
	readonly nextId: () => string;
};

const maximumPauseMs = 40;
const maximumBodyBytes = 2000;
/** Share of calls that their caller leaves early. */
const cancelledShare = 0.03;
const maximumCancelDelayMs = 150;
/** After the route's limit a caller still listens for so long. */
const responseGraceMs = 5000;

/** Makes one call after the other on a connection that it keeps while it can. */
export class SoakCaller {
	readonly #options: CallerOptions;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});
	#isStopped = false;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Calls until {@link stop}. */
	async run(): Promise<void> {
		const {random, chooseTarget: choose} = this.#options;
		while (!this.#isStopped) {
			const isLeaving = random.fraction() < cancelledShare;
			const stayMs = isLeaving ? random.below(maximumCancelDelayMs) : undefined;
			await this.callOnce(choose(), stayMs);
			await delay(random.below(maximumPauseMs));
		}

		this.close();
	}

	/** Ends {@link run} after the call that it is at. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Closes the connection that is kept. */
	close(): void {
		this.#agent.destroy();
	}

	/**
	 * Makes one call. Returns how it ended.
	 *
	 * @param stayMs - time after which the caller leaves; long enough for any answer when absent.
	 */
	async callOnce(target: CallTarget, stayMs?: number): Promise<CallResult> {
		const {nextId, onSent, onEnd, random} = this.#options;
		const {path, isIdempotent: mayRepeat, timeoutMs: limitMs} = target.route;
		const id = nextId();
		const plan: CallRequest = {
			id,
			method: mayRepeat ? 'GET' : 'POST',
			path: `${path}${id}`,
			body: mayRepeat ? '' : 'x'.repeat(1 + random.below(maximumBodyBytes)),
			timeoutMs: limitMs,
		};
		onSent(plan, target);
		const end = await this.#exchange(plan, stayMs ?? limitMs + responseGraceMs);
		onEnd(id, end);
		return end;
	}

	async #exchange(plan: CallRequest, leavesAfterMs: number): Promise<CallResult> {
		const {deployment: site, address} = this.#options;
		const {id, method, path, body, timeoutMs: limitMs} = plan;
		const [hostname, port] = address.split(':');
		return new Promise((resolve) => {
			const request = send({
				agent: this.#agent,
				hostname,
				port,
				method,
				path,
				headers: {host: site.hostName, ...site.headersOf(id, limitMs)},
			});
			const finish = (end: CallResult) => {
				clearTimeout(timer);
				resolve(end);
			};

			const timer = setTimeout(() => {
				finish({type: 'left'});
				request.destroy();
			}, leavesAfterMs);

			request.on('error', () => {
				finish({type: 'broken'});
			});
			request.on('response', (response) => {
				let text = '';
				response.on('data', (bytes) => {
					text += String(bytes);
				});
				response.on('close', () => {
					const {statusCode: status = 0, headers, complete} = response;
					finish(
						complete
							? {type: 'answer', status, id: site.idOf(headers), body: text}
							: {type: 'broken'},
					);
				});
			});
			request.end(body);
		});
	}
}

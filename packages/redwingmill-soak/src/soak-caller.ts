import {Agent, request as send} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type Random} from 'redwingmill-shared';
import {type CallResult, type Expectation} from './invariant-checker.js';
import {type SoakDeployment, type SoakRoute} from './soak-deployment.js';

/** A call to be sent. */
export type CallRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly timeoutMs: number;
};

/** A route and what the configuration says about it. */
export type CallTarget = {
	readonly route: SoakRoute;
	readonly expects: Expectation;
	/** End of the path of a request that is repeated; by default each call has a path of its own. */
	readonly pathEnd?: string;
};

/** Dependencies of a caller. */
export type CallerOptions = {
	readonly deployment: SoakDeployment;
	/** Address at which the caller reaches its node. */
	readonly address: string;
	readonly random: Random;
	/** Returns the target of the next call. */
	readonly chooseTarget: () => CallTarget;
	readonly onSent: (request: CallRequest, target: CallTarget) => void;
	readonly onEnd: (id: string, result: CallResult) => void;
	/** Returns an identifier that is unique among all calls. */
	readonly nextId: () => string;
};

const maximumPauseMs = 40;
const maximumBodyBytes = 2000;
/** Share of calls that the caller cancels before their timeout. */
const cancelledShare = 0.03;
const maximumCancelDelayMs = 150;
/** Time for which a caller still waits for a response after the route's timeout. */
const responseGraceMs = 5000;

/** Makes one call at a time on a keep-alive connection. */
export class SoakCaller {
	readonly #options: CallerOptions;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});
	#isStopped = false;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Makes calls until {@link stop}. */
	async run(): Promise<void> {
		const {random, chooseTarget} = this.#options;
		while (!this.#isStopped) {
			const isCancelled = random.fraction() < cancelledShare;
			const cancelAfterMs = isCancelled ? random.below(maximumCancelDelayMs) : undefined;
			await this.callOnce(chooseTarget(), cancelAfterMs);
			await delay(random.below(maximumPauseMs));
		}

		this.close();
	}

	/** Ends {@link run} once the call in progress has completed. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Closes the keep-alive connection. */
	close(): void {
		this.#agent.destroy();
	}

	/**
	 * Makes one call and returns its result.
	 *
	 * @param cancelAfterMs - time after which the caller cancels the call. By default the route's
	 *   timeout and a grace period, so that every response in time is received.
	 */
	async callOnce(target: CallTarget, cancelAfterMs?: number): Promise<CallResult> {
		const {nextId, onSent, onEnd, random} = this.#options;
		const {path, isIdempotent, timeoutMs} = target.route;
		const id = nextId();
		const {pathEnd = id} = target;
		const bodyBytes = target.pathEnd === undefined ? 1 + random.below(maximumBodyBytes) : 1;
		const request: CallRequest = {
			id,
			method: isIdempotent ? 'GET' : 'POST',
			path: `${path}${pathEnd}`,
			body: isIdempotent ? '' : 'x'.repeat(bodyBytes),
			timeoutMs,
		};
		onSent(request, target);
		const result = await this.#exchange(request, cancelAfterMs ?? timeoutMs + responseGraceMs);
		onEnd(id, result);
		return result;
	}

	async #exchange(call: CallRequest, cancelAfterMs: number): Promise<CallResult> {
		const {deployment, address} = this.#options;
		const {id, method, path, body, timeoutMs} = call;
		const [hostname, port] = address.split(':');
		return new Promise((resolve) => {
			const request = send({
				agent: this.#agent,
				hostname,
				port,
				method,
				path,
				headers: {host: deployment.hostName, ...deployment.headersOf(id, timeoutMs)},
			});
			const finish = (result: CallResult) => {
				clearTimeout(timer);
				resolve(result);
			};

			const timer = setTimeout(() => {
				finish({type: 'left'});
				request.destroy();
			}, cancelAfterMs);

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
							? {type: 'answer', status, id: deployment.idOf(headers), body: text}
							: {type: 'broken'},
					);
				});
			});
			request.end(body);
		});
	}
}

import {
	defaultGateLimits,
	EndpointChooser,
	EntryCall,
	Gate,
	RetryBudget,
	type Answer,
	type Endpoint,
	type EntryAction,
	type GateAnswer,
	type GateCall,
	type GateEffect,
	type WorkerResult,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {VirtualClock} from 'redwingmill-bench';

/** Steps of a call at which a fault can begin. */
export const callSteps = [
	'accept',
	'choose',
	'connect',
	'send head',
	'send body',
	'gate admits',
	'queue',
	'dispatch',
	'worker runs',
	'answer head',
	'answer body',
	'record',
	'resend',
] as const;
export type CallStep = (typeof callSteps)[number];

/** Final result of a call at its caller; `at` is the virtual time in milliseconds. */
export type CallerResult = {
	readonly outcome: 'ran' | 'not-run' | 'unknown';
	readonly payload?: string;
	readonly at: number;
};

/** A call to make and the options of its caller. */
export type PlannedCall = {
	readonly name: string;
	readonly isIdempotent: boolean;
	readonly hasTicket: boolean;
};

/** A node's gate with its worker. */
export type FakeHost = {
	readonly endpoint: Endpoint;
	readonly gate: Gate<string>;
	readonly waiters: Map<string, Array<(answer: Answer<string>) => void>>;
	isGateUp: boolean;
	/** Deliveries held while the gate is paused; undefined while it runs. */
	backlog: Array<() => void> | undefined;
	isWorkerUp: boolean;
	/** Whether the worker refuses all calls. */
	sheds: boolean;
	/** Whether the worker runs calls but never answers them. */
	stalls: boolean;
};

/** Called when a call reaches a step; injects faults by changing the path or the host. */
export type StepHook = (step: CallStep, host: FakeHost | undefined) => void;

const deadlineMs = 1000;
const serviceMs = 20;
const hopLatencyMs = 1;
const maximumSends = 3;

/** Production entry calls and gates over a simulated network; counts the runs at the workers. */
export class FakeCallPath {
	readonly clock = new VirtualClock();
	readonly hosts: FakeHost[] = [];
	/** Number of runs that workers started, by call name. */
	readonly runs = new Map<string, number>();
	readonly results = new Map<string, CallerResult>();
	/** Whether the next request is lost together with its connection. */
	breaksRequest = false;
	/** Whether the next answer is lost together with its connection. */
	breaksAnswer = false;
	/** Time after which a broken request reaches the gate nevertheless; undefined if it never does. */
	lateArrivalMs: number | undefined;
	isEntryUp = true;
	isCallerDisconnected = false;
	hook: StepHook | undefined;
	readonly #chooser: EndpointChooser;
	readonly #budget = new RetryBudget(10_000);
	#attempts = 0;

	constructor(seed: number) {
		this.#chooser = new EndpointChooser(
			{policy: 'two-choices', slowStartMs: 0, dataCentre: 'dc-a'},
			new Random(seed),
		);
		for (const node of ['one', 'two', 'three']) {
			this.addHost(node);
		}

		this.#tickGates();
	}

	addHost(node: string): FakeHost {
		const endpoint: Endpoint = {
			node,
			gateAddress: node,
			dataCentre: 'dc-a',
			incarnation: this.hosts.length + 1,
			service: 'coding',
			slots: 2,
		};
		const host: FakeHost = {
			endpoint,
			gate: new Gate(defaultGateLimits, {node, incarnation: 1}, this.clock.now),
			waiters: new Map(),
			isGateUp: true,
			backlog: undefined,
			isWorkerUp: true,
			sheds: false,
			stalls: false,
		};
		this.hosts.push(host);
		this.setWorkerState(host, 'ready');
		return host;
	}

	setWorkerState(host: FakeHost, state: 'ready' | 'draining' | 'starting'): void {
		const worker = {service: 'coding', address: 'worker', slots: 2, state};
		this.#performEffects(host, host.gate.setWorker(worker, this.clock.now));
	}

	/** Crashes the gate's node: its exchanges break and its state is lost. */
	killGate(host: FakeHost): void {
		host.isGateUp = false;
		host.waiters.clear();
	}

	pauseGate(host: FakeHost): void {
		host.backlog = [];
	}

	resumeGate(host: FakeHost): void {
		const backlog = host.backlog ?? [];
		host.backlog = undefined;
		for (const run of backlog) {
			run();
		}
	}

	/** Makes a call; a caller with a ticket sends it again while the outcome is unknown. */
	call(plan: PlannedCall): void {
		const host = this.hosts.find((each) => each.isGateUp);
		const ticket = plan.hasTicket && host ? host.gate.issueTicket() : undefined;
		this.#send(plan, ticket === undefined ? undefined : host, ticket, 1);
	}

	/** @internal */
	createEntryCall(plan: PlannedCall, pinned: FakeHost | undefined): EntryCall<string> {
		return new EntryCall(
			{
				group: '/',
				retryAllowance: {share: 1, slack: 5},
				isIdempotent: plan.isIdempotent,
				deadlineAt: this.clock.now + deadlineMs,
				endpoints: this.hosts.map((host) => host.endpoint),
				pinned: pinned?.endpoint,
				withdraws: true,
				maximumAttempts: 3,
			},
			this.#chooser,
			this.#budget,
		);
	}

	/** @internal */
	nextAttemptNumber(): number {
		this.#attempts += 1;
		return this.#attempts;
	}

	/** @internal Calls the hook for a step. */
	notifyStep(step: CallStep, host?: FakeHost): void {
		this.#notifyStep(step, host);
	}

	/** @internal */
	hostOf(endpoint: Endpoint): FakeHost {
		const host = this.hosts.find((each) => each.endpoint === endpoint);
		if (host === undefined) {
			throw new TypeError(`no simulated host for the endpoint of node ${endpoint.node}`);
		}

		return host;
	}

	/** @internal Delivers a call to a gate, or holds it until a paused gate resumes. */
	deliverToGate(host: FakeHost, call: GateCall, respond: (answer: Answer<string>) => void): void {
		const run = () => {
			if (!host.isGateUp) {
				return;
			}

			const key = host.gate.keyOf(call);
			host.waiters.set(key, [...(host.waiters.get(key) ?? []), respond]);
			this.#performEffects(host, host.gate.submit(call, this.clock.now));
			if (host.gate.waitingCount > 0) {
				this.#notifyStep('queue', host);
			}
		};

		if (host.backlog) {
			host.backlog.push(run);
		} else {
			run();
		}
	}

	/** @internal Performs the effects that a gate returned. */
	performEffects(host: FakeHost, effects: ReadonlyArray<GateEffect<string>>): void {
		this.#performEffects(host, effects);
	}

	/** @internal */
	#send(
		plan: PlannedCall,
		pinned: FakeHost | undefined,
		ticket: number | undefined,
		sendCount: number,
	): void {
		this.#notifyStep('accept');
		const finish = (result: Omit<CallerResult, 'at'>) => {
			const isFinal = result.outcome !== 'unknown' || ticket === undefined;
			if (isFinal || sendCount >= maximumSends) {
				this.results.set(plan.name, {...result, at: this.clock.now});
				return;
			}

			this.#notifyStep('resend', pinned);
			this.isEntryUp = true;
			this.clock.after(hopLatencyMs, () => {
				this.#send(plan, pinned, ticket, sendCount + 1);
			});
		};

		new FakeEntryExchange(this, plan, {pinned, ticket, finish}).begin();
	}

	#notifyStep(step: CallStep, host?: FakeHost): void {
		this.hook?.(step, host);
	}

	#performEffects(host: FakeHost, effects: ReadonlyArray<GateEffect<string>>): void {
		for (const effect of effects) {
			switch (effect.type) {
				case 'dispatch': {
					this.#dispatch(host, effect.call);
					break;
				}

				case 'answer': {
					const waiters = host.waiters.get(effect.key) ?? [];
					host.waiters.delete(effect.key);
					for (const respond of waiters) {
						respond(effect.answer);
					}

					break;
				}

				case 'abort': {
					this.#deliverWorkerResult(host, effect.key, {type: 'aborted'});
					break;
				}

				case 'keep-crashes':
				case 'check-worker':
				case 'crash-notice':
				case 'notice-changed':
				case 'worker-gone': {
					break;
				}

				case 'suspect': {
					for (const other of this.hosts.filter((each) => each !== host)) {
						other.gate.onCrashReport(effect.report, host.endpoint.node, this.clock.now);
					}

					break;
				}
			}
		}
	}

	#dispatch(host: FakeHost, call: GateCall): void {
		const key = host.gate.keyOf(call);
		this.#notifyStep('dispatch', host);
		if (!host.isWorkerUp) {
			this.clock.after(hopLatencyMs, () => {
				this.#deliverWorkerResult(host, key, {type: 'unreachable'});
			});
			return;
		}

		if (host.sheds) {
			this.clock.after(hopLatencyMs, () => {
				this.#deliverWorkerResult(host, key, {type: 'shed'});
			});
			return;
		}

		const name = call.fingerprint();
		this.runs.set(name, (this.runs.get(name) ?? 0) + 1);
		this.#notifyStep('worker runs', host);
		this.clock.after(call.deadlineAt - this.clock.now, () => {
			this.#deliverWorkerResult(host, key, {type: 'timed-out'});
		});
		this.clock.after(serviceMs, () => {
			if (host.stalls) {
				return;
			}

			this.#deliverWorkerResult(
				host,
				key,
				host.isWorkerUp
					? {type: 'answered', payload: `answer to ${name}`, bytes: 20, isFailure: false}
					: {type: 'died'},
			);
		});
	}

	#deliverWorkerResult(host: FakeHost, key: string, result: WorkerResult<string>): void {
		const run = () => {
			if (host.isGateUp) {
				this.#performEffects(host, host.gate.finish(key, result, this.clock.now));
				this.#notifyStep('record', host);
			}
		};

		if (host.backlog) {
			host.backlog.push(run);
		} else {
			run();
		}
	}

	#tickGates(): void {
		for (const host of this.hosts) {
			if (host.isGateUp && !host.backlog) {
				this.#performEffects(host, host.gate.tick(this.clock.now));
			}
		}

		this.clock.after(20, () => {
			this.#tickGates();
		});
	}
}

/** One call at an entry node: performs the actions of the production `EntryCall`. */
class FakeEntryExchange {
	readonly #path: FakeCallPath;
	readonly #plan: PlannedCall;
	readonly #options: {
		readonly pinned: FakeHost | undefined;
		readonly ticket: number | undefined;
		readonly finish: (result: Omit<CallerResult, 'at'>) => void;
	};

	readonly #call: EntryCall<string>;
	readonly #deadlineAt: number;
	#attempt = 0;
	#startedAt = 0;
	#isFinished = false;

	constructor(
		path: FakeCallPath,
		plan: PlannedCall,
		options: {
			readonly pinned: FakeHost | undefined;
			readonly ticket: number | undefined;
			readonly finish: (result: Omit<CallerResult, 'at'>) => void;
		},
	) {
		this.#path = path;
		this.#plan = plan;
		this.#options = options;
		this.#call = path.createEntryCall(plan, options.pinned);
		this.#deadlineAt = path.clock.now + deadlineMs;
	}

	begin(): void {
		this.#path.clock.after(deadlineMs + 20, () => {
			this.#finish({outcome: 'unknown'});
		});
		this.#performAction(this.#call.begin(this.#path.clock.now));
	}

	#performAction(action: EntryAction<string>): void {
		switch (action.type) {
			case 'attempt': {
				this.#path.notifyStep('choose', this.#path.hostOf(action.endpoint));
				this.#send(this.#path.hostOf(action.endpoint), action.crashedNodes);
				break;
			}

			case 'withdraw': {
				const {endpoint, delayMs, timeoutMs} = action;
				this.#path.clock.after(delayMs, () => {
					this.#withdraw(this.#path.hostOf(endpoint), timeoutMs);
				});
				break;
			}

			case 'answer': {
				const {outcome, payload} = action.answer;
				this.#finish({outcome: outcome.type, payload});
				break;
			}
		}
	}

	#send(host: FakeHost, crashedNodes: readonly string[]): void {
		const path = this.#path;
		const attempt = path.nextAttemptNumber();
		this.#attempt = attempt;
		this.#startedAt = path.clock.now;
		path.notifyStep('connect', host);
		if (!host.isGateUp) {
			path.clock.after(hopLatencyMs, () => {
				this.#onResult(attempt, {type: 'refused'});
			});
			return;
		}

		const call: GateCall = {
			id: `attempt ${attempt}`,
			ticket: this.#options.ticket,
			service: 'coding',
			group: '/',
			rank: 1,
			deadlineAt: this.#deadlineAt,
			crashedNodes,
			fingerprint: () => this.#plan.name,
		};
		path.notifyStep('send head', host);
		path.notifyStep('send body', host);
		if (path.breaksRequest) {
			path.breaksRequest = false;
			this.#breakRequest(host, call, attempt);
			return;
		}

		path.clock.after(hopLatencyMs, () => {
			this.#deliver(host, call, attempt);
		});
	}

	/** Breaks the exchange; the request reaches the gate later if `lateArrivalMs` is set. */
	#breakRequest(host: FakeHost, call: GateCall, attempt: number): void {
		const {clock, lateArrivalMs} = this.#path;
		clock.after(hopLatencyMs, () => {
			this.#onResult(attempt, {type: 'broken'});
		});
		if (lateArrivalMs !== undefined) {
			clock.after(lateArrivalMs, () => {
				this.#path.deliverToGate(host, call, () => undefined);
			});
		}
	}

	#deliver(host: FakeHost, call: GateCall, attempt: number): void {
		const path = this.#path;
		path.notifyStep('gate admits', host);
		if (!host.isGateUp) {
			this.#onResult(attempt, {type: 'broken'});
			return;
		}

		path.deliverToGate(host, call, (answer) => {
			path.notifyStep('answer head', host);
			path.notifyStep('answer body', host);
			const isBroken = path.breaksAnswer || !host.isGateUp;
			path.breaksAnswer = false;
			path.clock.after(hopLatencyMs, () => {
				this.#onResult(
					attempt,
					isBroken ? {type: 'broken'} : {type: 'answered', answer: toGateAnswer(answer)},
				);
			});
		});
		// If the gate has crashed by then, its connection counts as broken.
		path.clock.after(deadlineMs, () => {
			if (!host.isGateUp) {
				this.#onResult(attempt, {type: 'broken'});
			}
		});
	}

	#withdraw(host: FakeHost, timeoutMs: number): void {
		const path = this.#path;
		const attempt = this.#attempt;
		const ageMs = path.clock.now - this.#startedAt;
		if (host.backlog) {
			path.clock.after(timeoutMs, () => {
				this.#onWithdrawn(attempt, {type: 'unreachable'});
			});
			return;
		}

		path.clock.after(hopLatencyMs, () => {
			if (!host.isGateUp) {
				this.#onWithdrawn(attempt, {type: 'gone'});
				return;
			}

			const call = {id: `attempt ${attempt}`, ticket: this.#options.ticket};
			const result = host.gate.withdraw(call, ageMs, path.clock.now);
			switch (result.type) {
				case 'done': {
					this.#onWithdrawn(attempt, {type: 'answered', answer: toGateAnswer(result.answer)});
					break;
				}

				case 'open': {
					const waiters = host.waiters.get(result.key) ?? [];
					const respond = (answer: Answer<string>) => {
						this.#onWithdrawn(attempt, {type: 'answered', answer: toGateAnswer(answer)});
					};

					host.waiters.set(result.key, [...waiters, respond]);
					break;
				}

				case 'never-admitted':
				case 'forgotten': {
					this.#onWithdrawn(attempt, {type: result.type});
					break;
				}
			}
		});
	}

	#onResult(attempt: number, result: Parameters<EntryCall<string>['onAttempt']>[0]): void {
		if (attempt === this.#attempt && !this.#isFinished) {
			this.#performAction(this.#call.onAttempt(result, this.#path.clock.now));
		}
	}

	#onWithdrawn(attempt: number, result: Parameters<EntryCall<string>['onWithdraw']>[0]): void {
		if (attempt === this.#attempt && !this.#isFinished) {
			this.#performAction(this.#call.onWithdraw(result, this.#path.clock.now));
		}
	}

	#finish(result: Omit<CallerResult, 'at'>): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		const isAnswerReceived = this.#path.isEntryUp && !this.#path.isCallerDisconnected;
		this.#options.finish(isAnswerReceived ? result : {outcome: 'unknown'});
	}
}

function toGateAnswer(answer: Answer<string>): GateAnswer<string> {
	return {
		...answer,
		load: {callsPerSlot: 0, waitMs: 0, runMs: serviceMs, failureShare: 0},
		isRetried: false,
	};
}

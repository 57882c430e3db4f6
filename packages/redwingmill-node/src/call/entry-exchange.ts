import {
	type Answer,
	type AttemptResult,
	type ChoiceReason,
	type EntryAction,
	type EntryCall,
	type GateAnswer,
	type UnknownReason,
} from 'redwingmill-core';
import {type Disarm} from './deadline-timer.js';
import {
	type CallerCall,
	type EntryAnswer,
	type EntryHandle,
	type EntryService,
} from './entry-service.js';
import {type Exchange} from './exchange.js';
import {type Attempt} from './gate-client.js';
import {type Payload} from './payload.js';

/** Record of a finished call at its entry node, for the call log. */
export type EntryCallRecord = {
	readonly call: CallerCall;
	readonly destination: string;
	/** Absent when the caller disconnected before the call was answered. */
	readonly answer?: Answer<Payload>;
	/** Control addresses of the nodes to which attempts were sent, in order. */
	readonly nodes: readonly string[];
	/** Why they were chosen, in the same order; empty under policies that give no reason. */
	readonly choices: readonly ChoiceReason[];
};

/** A caller's call and what is needed to carry it out. */
export type EntryExchangeOptions = CallerCall & {
	readonly call: EntryCall<Payload>;
	/** Service to which the call is routed. */
	readonly destination: string;
	readonly caller: string | undefined;
	readonly ticket: number | undefined;
	readonly service: EntryService;
	readonly onAnswer: (answer: EntryAnswer) => void;
};

/** Carries out one caller's call by performing the actions that its {@link EntryCall} returns. */
export class EntryExchange implements EntryHandle {
	readonly #options: EntryExchangeOptions;
	readonly #disarm: Disarm;
	readonly #nodes: string[] = [];
	readonly #choices: ChoiceReason[] = [];
	#attempt: Attempt | undefined;
	#exchange: Exchange | undefined;
	#isFinished = false;

	constructor(options: EntryExchangeOptions) {
		this.#options = options;
		this.#disarm = options.service.armDeadline(options.deadlineAt, () => {
			this.giveUp('deadline-passed');
		});
	}

	begin(): void {
		this.#perform(this.#options.call.begin(performance.now()));
	}

	cancel(): void {
		if (!this.#isFinished) {
			this.#abort();
		}
	}

	/** Answers the caller before the outcome is known, as it or this node doesn't wait any longer. */
	giveUp(reason: Extract<UnknownReason, 'deadline-passed' | 'node-stopped'>): void {
		if (!this.#isFinished) {
			const outcome = {type: 'unknown', reason} as const;
			this.#abort({outcome});
			this.#options.onAnswer({outcome, isRetried: false});
		}
	}

	#perform(action: EntryAction<Payload>): void {
		switch (action.type) {
			case 'attempt': {
				this.#send(action);
				break;
			}

			case 'withdraw': {
				this.#withdraw(action);
				break;
			}

			case 'answer': {
				this.#finish(action.answer);
				this.#options.onAnswer({...action.answer, isRetried: action.attempts > 1});
				break;
			}
		}
	}

	#send({
		endpoint,
		crashedNodes,
		knownLimit,
		transitMs,
		reason,
	}: Extract<EntryAction<Payload>, {type: 'attempt'}>): void {
		const {service, route, request, ticket, caller, targetAt, deadlineAt, workspace} =
			this.#options;
		const attempt: Attempt = {
			id: service.nextId(),
			endpoint,
			ticket,
			group: route.path,
			rank: route.rank,
			...(workspace && {workspace: {name: workspace.name, rank: workspace.rank}}),
			...(route.isBulk && {isBulk: true}),
			caller,
			crashedNodes,
			knownLimit,
			targetAt: targetAt === undefined ? undefined : targetAt - transitMs,
			deadlineAt: deadlineAt - transitMs,
			startedAt: performance.now(),
			request,
		};
		this.#nodes.push(endpoint.node);
		if (reason !== undefined) {
			this.#choices.push(reason);
		}

		this.#attempt = attempt;
		this.#exchange = service.send(attempt, (result) => {
			if (this.#attempt === attempt && !this.#isFinished) {
				this.#onResult(result);
			}
		});
	}

	#onResult(result: AttemptResult<Payload>): void {
		this.#performNext(
			this.#options.call.onAttempt(result, performance.now()),
			retryReasonOf(result),
		);
	}

	/** @param reason - why the last attempt did not settle the call; counted when another one follows. */
	#performNext(action: EntryAction<Payload>, reason: string): void {
		if (action.type === 'attempt') {
			this.#options.service.onRetry(reason);
		}

		this.#perform(action);
	}

	/** Asks the gate what became of the attempt, after a delay and for a limited time. */
	#withdraw({delayMs, timeoutMs}: Extract<EntryAction<Payload>, {type: 'withdraw'}>): void {
		const attempt = this.#attempt;
		if (attempt === undefined) {
			return;
		}

		if (delayMs > 0) {
			setTimeout(() => {
				this.#ask(attempt, timeoutMs);
			}, delayMs);
		} else {
			this.#ask(attempt, timeoutMs);
		}
	}

	#ask(attempt: Attempt, timeoutMs: number): void {
		if (this.#isFinished) {
			return;
		}

		const {service, call} = this.#options;
		this.#exchange = service.client.withdraw(attempt, timeoutMs, (result) => {
			if (this.#attempt === attempt && !this.#isFinished) {
				this.#performNext(call.onWithdraw(result, performance.now()), result.type);
			}
		});
	}

	#abort(answer?: Answer<Payload>): void {
		this.#finish(answer);
		this.#exchange?.abort();
		if (this.#attempt) {
			this.#options.service.cancel(this.#attempt);
		}
	}

	#finish(answer?: Answer<Payload>): void {
		const {service, destination} = this.#options;
		this.#isFinished = true;
		this.#disarm();
		service.onFinished(this, {
			call: this.#options,
			destination,
			answer,
			nodes: this.#nodes,
			choices: this.#choices,
		});
	}
}

function retryReasonOf(result: AttemptResult<Payload>): string {
	if (result.type !== 'answered') {
		return result.type;
	}

	const {outcome}: GateAnswer<Payload> = result.answer;
	return outcome.type === 'ran' ? 'ran' : outcome.reason;
}

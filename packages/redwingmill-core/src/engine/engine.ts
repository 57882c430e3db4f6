import {invariant, type Random, type Teardown} from 'redwingmill-shared';
import {type Blackboard} from './blackboard.js';
import {type Context, type Controller, type Update} from './controller.js';
import {type Effect} from './effect.js';
import {type Event} from './event.js';
import {type Limits} from './limits.js';

/** Order in which controllers handle an event, lowest first. */
export const controllerPriorities = {
	pause: 0,
	linkTable: 1,
	uplink: 2,
	relayRole: 3,
	admission: 4,
	configuration: 5,
	membership: 6,
	platform: 7,
	dataCentreObject: 8,
	acceptance: 9,
	peerRelay: 10,
	suspectedRequest: 11,
	serving: 12,
	routes: 13,
} as const;
export type ControllerPriority = (typeof controllerPriorities)[keyof typeof controllerPriorities];

/** Called after each commit that changes the blackboard. */
export type Listener<Board = Blackboard> = (current: Board, previous: Board) => void;

/** Options of an engine, which are the same for all events. */
export type EngineOptions<Bounds = Limits> = {
	readonly limits: Bounds;
	readonly seeds: readonly string[];
	readonly random: Random;
};

type Registration<RegisteredController> = {
	readonly controller: RegisteredController;
	readonly priority: number;
};

class PendingUpdate<Board, Output> implements Update<Board, Output> {
	readonly current: Board;
	readonly effects: Output[] = [];
	#pending: Board;

	constructor(current: Board) {
		this.current = current;
		this.#pending = current;
	}

	get pending(): Board {
		return this.#pending;
	}

	set<Name extends keyof Board>(name: Name, section: Partial<Board[Name]>): void {
		this.#pending = {...this.#pending, [name]: {...this.#pending[name], ...section}};
	}

	emit(...effects: Output[]): void {
		this.effects.push(...effects);
	}
}

/** Runs the controllers on each event and commits their changes as one. */
export class Engine<Board = Blackboard, Input = Event, Output = Effect, Bounds = Limits> {
	readonly #options: EngineOptions<Bounds>;
	readonly #listeners = new Set<Listener<Board>>();
	#registrations: ReadonlyArray<Registration<Controller<Board, Input, Output, Bounds>>> = [];
	#current: Board;
	#isHandling = false;

	constructor(initial: Board, options: EngineOptions<Bounds>) {
		this.#current = initial;
		this.#options = options;
	}

	/** The committed state. */
	get blackboard(): Board {
		return this.#current;
	}

	/** @param priority - controllers with a lower priority handle each event first. */
	registerController(
		controller: Controller<Board, Input, Output, Bounds>,
		priority: number,
	): Teardown {
		const registration = {controller, priority};
		this.#registrations = [...this.#registrations, registration].toSorted(
			(a, b) => a.priority - b.priority,
		);
		return () => {
			this.#registrations = this.#registrations.filter((entry) => entry !== registration);
		};
	}

	registerListener(listener: Listener<Board>): Teardown {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Handles one event.
	 *
	 * @param now - monotonic milliseconds, never less than at an earlier event.
	 * @returns effects to perform, in order.
	 */
	dispatch(event: Input, now: number): readonly Output[] {
		invariant(!this.#isHandling, 'Event dispatched while another event is being handled');
		const previous = this.#current;
		const update = new PendingUpdate<Board, Output>(previous);
		const context: Context<Bounds> = {now, ...this.#options};
		this.#isHandling = true;
		try {
			for (const {controller} of this.#registrations) {
				controller.handle(update, event, context);
			}
		} finally {
			this.#isHandling = false;
		}

		this.#current = update.pending;
		if (this.#current !== previous) {
			for (const listener of this.#listeners) {
				listener(this.#current, previous);
			}
		}

		return update.effects;
	}
}

import {type Random} from 'redwingmill-shared';
import {type Blackboard} from './blackboard.js';
import {type Effect} from './effect.js';
import {type Event} from './event.js';
import {type Limits} from './limits.js';

/** What every controller may use besides the blackboard. */
export type Context<Bounds = Limits> = {
	/** Monotonic milliseconds. */
	readonly now: number;
	readonly random: Random;
	readonly limits: Bounds;
	/** Control addresses of nodes of the own data centre that settings name. */
	readonly seeds: readonly string[];
};

/** Collects what controllers decide while one event is handled. */
export type Update<Board = Blackboard, Output = Effect> = {
	/** State before the event. */
	readonly current: Board;
	/** State with what earlier controllers changed. */
	readonly pending: Board;
	set: <Name extends keyof Board>(name: Name, section: Partial<Board[Name]>) => void;
	emit: (...effects: Output[]) => void;
};

/** One concern of a node. It reads the blackboard and changes its own sections. */
export type Controller<Board = Blackboard, Input = Event, Output = Effect, Bounds = Limits> = {
	handle: (update: Update<Board, Output>, event: Input, context: Context<Bounds>) => void;
};

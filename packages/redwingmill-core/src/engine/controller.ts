import {type Random} from 'redwingmill-shared';
import {type Blackboard} from './blackboard.js';
import {type Effect} from './effect.js';
import {type Event} from './event.js';
import {type Limits} from './limits.js';

/** Inputs of a controller besides the blackboard and the event. */
export type Context<Bounds = Limits> = {
	/** Monotonic milliseconds. */
	readonly now: number;
	readonly random: Random;
	readonly limits: Bounds;
	/** Control addresses of nodes in the local data centre, from the settings. */
	readonly seeds: readonly string[];
};

/** Collects the changes and effects of the controllers while one event is handled. */
export type Update<Board = Blackboard, Output = Effect> = {
	/** State before the event. */
	readonly current: Board;
	/** State with the changes of the controllers so far. */
	readonly pending: Board;
	set: <Name extends keyof Board>(name: Name, section: Partial<Board[Name]>) => void;
	emit: (...effects: Output[]) => void;
};

/** Handles one concern of a node: reads the blackboard, changes sections of it and emits effects. */
export type Controller<Board = Blackboard, Input = Event, Output = Effect, Bounds = Limits> = {
	handle: (update: Update<Board, Output>, event: Input, context: Context<Bounds>) => void;
};

import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type DirectoryState} from './directory-state.js';
import {type DirectoryEffect, type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';

/** One concern of the directory. */
export type DirectoryController = Controller<
	DirectoryState,
	DirectoryEvent,
	DirectoryEffect,
	DirectoryLimits
>;
export type DirectoryUpdate = Update<DirectoryState, DirectoryEffect>;
export type DirectoryContext = Context<DirectoryLimits>;

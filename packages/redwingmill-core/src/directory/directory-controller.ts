import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type DirectoryBoard} from './directory-board.js';
import {type DirectoryEffect, type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';

/** One concern of the directory. */
export type DirectoryController = Controller<
	DirectoryBoard,
	DirectoryEvent,
	DirectoryEffect,
	DirectoryLimits
>;
export type DirectoryUpdate = Update<DirectoryBoard, DirectoryEffect>;
export type DirectoryContext = Context<DirectoryLimits>;

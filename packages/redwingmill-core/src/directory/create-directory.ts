import {Engine, type EngineOptions} from '../engine/engine.js';
import {AdoptionController} from './adoption-controller.js';
import {type DirectoryState} from './directory-state.js';
import {type DirectoryEffect, type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {EndpointsController} from './endpoints-controller.js';
import {PeersController} from './peers-controller.js';
import {HeartbeatController} from './heartbeat-controller.js';
import {RegistryController} from './registry-controller.js';
import {ServingStateController} from './serving-state-controller.js';
import {WatchController} from './watch-controller.js';

/** Engine of a node that finds the others through the store. */
export type Directory = Engine<DirectoryState, DirectoryEvent, DirectoryEffect, DirectoryLimits>;

/** Order in which controllers see an event: lower ones first. */
const priorities = {
	adoption: 0,
	standing: 1,
	peers: 2,
	pulse: 3,
	watch: 4,
	registry: 5,
	endpoints: 6,
} as const;

/** An engine with all controllers of the directory. */
export function createDirectory(
	initial: DirectoryState,
	options: EngineOptions<DirectoryLimits>,
): Directory {
	const directory: Directory = new Engine(initial, options);
	directory.registerController(new PeersController(), priorities.peers);
	directory.registerController(new HeartbeatController(), priorities.pulse);
	directory.registerController(new AdoptionController(), priorities.adoption);
	directory.registerController(new RegistryController(), priorities.registry);
	directory.registerController(new WatchController(), priorities.watch);
	directory.registerController(new ServingStateController(), priorities.standing);
	directory.registerController(new EndpointsController(), priorities.endpoints);
	return directory;
}

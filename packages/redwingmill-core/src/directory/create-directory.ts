import {Engine, type EngineOptions} from '../engine/engine.js';
import {AdoptionController} from './adoption-controller.js';
import {CrashReportController} from './crash-report-controller.js';
import {CrashStoreController} from './crash-store-controller.js';
import {type DirectoryEffect, type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState} from './directory-state.js';
import {DigestController} from './digest-controller.js';
import {DigestSendingController} from './digest-sending-controller.js';
import {EndpointsController} from './endpoints-controller.js';
import {HeartbeatController} from './heartbeat-controller.js';
import {LivenessController} from './liveness-controller.js';
import {PeersController} from './peers-controller.js';
import {RegistryController} from './registry-controller.js';
import {RolloutDecisionController} from './rollout-decision-controller.js';
import {createStatisticalDecider, type CreateDecider} from './rollout-decisions.js';
import {RolloutEvidenceController} from './rollout-evidence-controller.js';
import {RolloutStageController} from './rollout-stage-controller.js';
import {RolloutStoreController} from './rollout-store-controller.js';
import {ServingStateController} from './serving-state-controller.js';
import {StoreEraController} from './store-era-controller.js';
import {WatchController} from './watch-controller.js';

/** Engine of a node that discovers the others through the store. */
export type Directory = Engine<DirectoryState, DirectoryEvent, DirectoryEffect, DirectoryLimits>;

/** Order in which controllers handle an event, lowest first. */
const priorities = {
	storeEra: 0,
	adoption: 1,
	servingState: 2,
	peers: 3,
	heartbeat: 4,
	digest: 5,
	digestSending: 6,
	liveness: 7,
	registry: 8,
	watch: 9,
	endpoints: 10,
	crashReport: 11,
	crashStore: 12,
	rolloutStore: 13,
	rolloutStage: 14,
	rolloutDecision: 15,
	rolloutEvidence: 16,
} as const;

/**
 * Creates an engine with all controllers of the directory.
 *
 * @param createDecider - decides on the stages of rollouts.
 */
export function createDirectory(
	initial: DirectoryState,
	options: EngineOptions<DirectoryLimits>,
	createDecider: CreateDecider = createStatisticalDecider,
): Directory {
	const directory: Directory = new Engine(initial, options);
	directory.registerController(new StoreEraController(), priorities.storeEra);
	directory.registerController(new PeersController(), priorities.peers);
	directory.registerController(new HeartbeatController(), priorities.heartbeat);
	directory.registerController(new DigestController(), priorities.digest);
	directory.registerController(new DigestSendingController(), priorities.digestSending);
	directory.registerController(new LivenessController(), priorities.liveness);
	directory.registerController(new AdoptionController(), priorities.adoption);
	directory.registerController(new RegistryController(), priorities.registry);
	directory.registerController(new WatchController(), priorities.watch);
	directory.registerController(new ServingStateController(), priorities.servingState);
	directory.registerController(new EndpointsController(), priorities.endpoints);
	directory.registerController(new CrashReportController(), priorities.crashReport);
	directory.registerController(new CrashStoreController(), priorities.crashStore);
	if (initial.rollouts.bounds) {
		registerRolloutControllers(directory, createDecider);
	}

	return directory;
}

function registerRolloutControllers(directory: Directory, createDecider: CreateDecider): void {
	directory.registerController(new RolloutStoreController(), priorities.rolloutStore);
	directory.registerController(new RolloutStageController(), priorities.rolloutStage);
	directory.registerController(
		new RolloutDecisionController(createDecider),
		priorities.rolloutDecision,
	);
	directory.registerController(new RolloutEvidenceController(), priorities.rolloutEvidence);
}

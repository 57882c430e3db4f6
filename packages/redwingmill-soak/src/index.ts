export {sendChunksWithoutEnd} from './endless-sender.js';
export {Soak, type SoakOptions, type SoakResult} from './soak.js';
export {type Invariant, type InvariantViolation, type ObservedRun} from './invariant-checker.js';
export {
	type NodeAddresses,
	type NodeOptions,
	type ReportedRun,
	type RunReply,
	type SoakDeployment,
	type SoakRoute,
	type SoakStore,
	type SoakWorker,
} from './soak-deployment.js';
export {type SoakNotice} from './soak-fault.js';

export {Soak, type SoakOptions, type SoakResult} from './soak.js';
export {type InvariantViolation, type Invariant, type ObservedRun} from './invariant-checker.js';
export {
	type NodeAddresses,
	type NodeOptions,
	type RunReply,
	type ReportedRun,
	type SoakRoute,
	type SoakDeployment,
	type SoakStore,
	type SoakWorker,
} from './soak-deployment.js';

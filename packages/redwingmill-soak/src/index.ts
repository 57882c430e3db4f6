export {Soak, type SoakOptions, type SoakResult} from './soak.js';
export {type Breach, type BrokenPromise, type ObservedRun} from './promise-watch.js';
export {
	type NodeAddresses,
	type NodePlan,
	type RunReply,
	type SeenRun,
	type SoakRoute,
	type SoakSite,
	type SoakStore,
	type SoakWorker,
} from './soak-site.js';

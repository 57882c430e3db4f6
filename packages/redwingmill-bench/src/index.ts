export {Mesh, type Host} from './mesh/mesh.js';
export {defaultPlan, type MeshPlan} from './mesh/mesh-plan.js';
export {
	LoadPlay,
	type LoadClass,
	type LoadOutcome,
	type LoadPlan,
	type LoadResult,
	type LoadWorker,
} from './play/load-play.js';
export {VirtualClock} from './play/virtual-clock.js';
export {standardClasses, standardPlan} from './play/standard-loads.js';
export {comparePolicies, comparedPolicies, type PolicyResult} from './play/compare-policies.js';
export {plotPolicies} from './play/plot-policies.js';

export {Mesh, type Host} from './mesh/mesh.js';
export {defaultMeshPlan, type MeshPlan} from './mesh/mesh-plan.js';
export {
	LoadSimulation,
	type LoadClass,
	type LoadOutcome,
	type LoadPlan,
	type LoadResult,
	type LoadWorker,
} from './simulation/load-simulation.js';
export {VirtualClock} from './simulation/virtual-clock.js';
export {standardClasses, standardPlan} from './simulation/standard-loads.js';
export {
	comparedPolicies,
	comparePolicies,
	type PolicyResult,
} from './simulation/compare-policies.js';
export {compareScarcity, sharesOf, type ScarcityResult} from './simulation/compare-scarcity.js';
export {scarceLoads} from './simulation/scarce-loads.js';
export {compareLimits, type LimitComparison} from './simulation/compare-limits.js';
export {limitLoads, type LimitLoad} from './simulation/limit-loads.js';
export {type LimitResult} from './simulation/limit-meter.js';
export {plotPolicies} from './simulation/plot-policies.js';
export {measureNodeCost, type NodeCost, type NodeCostOptions} from './experiments/node-cost.js';
export {measureNodeStops, type NodeStops, type NodeStopsOptions} from './experiments/node-stops.js';

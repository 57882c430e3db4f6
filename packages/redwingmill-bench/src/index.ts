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
export {nodeWork, overloadPlan} from './simulation/overloads.js';
export {scarceLoads} from './simulation/scarce-loads.js';
export {compareLimits, type LimitComparison} from './simulation/compare-limits.js';
export {limitLoads, type LimitLoad} from './simulation/limit-loads.js';
export {type LimitResult} from './simulation/limit-meter.js';
export {compareQuotas, type QuotaComparison} from './quotas/compare-quotas.js';
export {countsScheme} from './quotas/counts-scheme.js';
export {quotaConditions, type QuotaCondition} from './quotas/quota-conditions.js';
export {QuotaMesh, type QuotaFault, type QuotaPlan} from './quotas/quota-mesh.js';
export {sumResults, type QuotaResult} from './quotas/quota-meter.js';
export {plotPolicies} from './simulation/plot-policies.js';
export {measureNodeCost, type NodeCost, type NodeCostOptions} from './experiments/node-cost.js';
export {measureNodeStops, type NodeStops, type NodeStopsOptions} from './experiments/node-stops.js';
export {
	evenLoadPolicies,
	evenLoadPolicy,
	presentPolicy,
} from './simulation/even-load/candidates.js';
export {EvenLoadSimulation} from './simulation/even-load/even-load-simulation.js';
export {standardEvenLoads} from './simulation/even-load/standard-even-loads.js';
export type * from './simulation/even-load/even-load-plan.js';
export {simulateRollouts, type RolloutResult} from './simulation/compare-rollouts.js';
export {rolloutScenarios, type RolloutScenario} from './simulation/rollout-scenarios.js';

import {limitKnowledges, LoadSimulation, type LoadPlan} from './load-simulation.js';
import {type LimitResult} from './limit-meter.js';

/** Results of a load under one knowledge of limits, over all seeds. */
export type LimitComparison = {
	/** Nodes that take limits into account: none, the gate, or the gate and the entries. */
	readonly knowledge: string;
	/** Share of the calls answered within their target, by class. */
	readonly inTarget: Readonly<Record<string, number>>;
	/** Share of the calls answered at all, by class. */
	readonly served: Readonly<Record<string, number>>;
	/** Mean over the seeds for shares and times, the sum for counts. */
	readonly limits: LimitResult;
};

/** Simulates a load with the same seeds, with limits known to nobody, to gates, and to the mesh. */
export function compareLimits(
	plan: LoadPlan,
	seeds: readonly number[],
): readonly LimitComparison[] {
	return limitKnowledges.map((limitKnowledge) => {
		const outcomes = seeds.map((seed) => new LoadSimulation({...plan, limitKnowledge, seed}).run());
		const inTarget: Record<string, number> = {};
		const served: Record<string, number> = {};
		for (const {name} of plan.classes) {
			const results = outcomes.flatMap(({classes}) => classes.get(name) ?? []);
			const ended = sumOf(results.map((each) => each.inTarget + each.late + each.unserved));
			inTarget[name] = sumOf(results.map((each) => each.inTarget)) / Math.max(1, ended);
			served[name] = sumOf(results.map((each) => each.inTarget + each.late)) / Math.max(1, ended);
		}

		return {
			knowledge: limitKnowledge,
			inTarget,
			served,
			limits: combine(outcomes.map(({limits}) => limits)),
		};
	});
}

function combine(results: readonly LimitResult[]): LimitResult {
	const refusals = results.flatMap(({refusalMs}) => refusalMs ?? []);
	return {
		usedShare: sumOf(results.map(({usedShare}) => usedShare)) / results.length,
		highestShare: Math.max(...results.map(({highestShare}) => highestShare)),
		over: sumOf(results.map(({over}) => over)),
		afterLeaving: sumOf(results.map(({afterLeaving}) => afterLeaving)),
		refusalMs: refusals.length === 0 ? undefined : sumOf(refusals) / refusals.length,
	};
}

function sumOf(numbers: readonly number[]): number {
	let sum = 0;
	for (const each of numbers) {
		sum += each;
	}

	return sum;
}

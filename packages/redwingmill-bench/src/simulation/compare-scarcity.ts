import {LoadSimulation, type LoadPlan} from './load-simulation.js';

/** Shares of the calls of one class. */
export type ClassShares = {
	readonly asked: number;
	/** Answered within the target. */
	readonly inTarget: number;
	/** Answered at all. */
	readonly served: number;
};

/** Results of a load over all seeds, by class. */
export type ScarcityResult = ReadonlyMap<string, ClassShares>;

/**
 * Simulates a load with the same seeds, with and without the order of workspaces, the turns of bulk
 * responses and the load that workers report.
 */
export function compareScarcity(
	plan: LoadPlan,
	seeds: readonly number[],
): {readonly before: ScarcityResult; readonly after: ScarcityResult} {
	return {before: playAll(plan, seeds, false), after: playAll(plan, seeds, true)};
}

/** Returns the shares of all classes whose names begin with `prefix`, together. */
export function sharesOf(result: ScarcityResult, prefix: string): ClassShares {
	let asked = 0;
	let inTarget = 0;
	let served = 0;
	for (const [name, shares] of result) {
		if (name.startsWith(prefix)) {
			asked += shares.asked;
			inTarget += shares.inTarget * shares.asked;
			served += shares.served * shares.asked;
		}
	}

	return {asked, inTarget: inTarget / Math.max(1, asked), served: served / Math.max(1, asked)};
}

function playAll(plan: LoadPlan, seeds: readonly number[], knowsScarcity: boolean): ScarcityResult {
	const outcomes = seeds.map((seed) => new LoadSimulation({...plan, knowsScarcity, seed}).run());
	return new Map(
		plan.classes.map(({name}) => {
			let asked = 0;
			let inTarget = 0;
			let late = 0;
			for (const {classes} of outcomes) {
				const result = classes.get(name)!;
				asked += result.inTarget + result.late + result.unserved;
				inTarget += result.inTarget;
				late += result.late;
			}

			const calls = Math.max(1, asked);
			return [name, {asked, inTarget: inTarget / calls, served: (inTarget + late) / calls}];
		}),
	);
}

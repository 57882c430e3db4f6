import {type LoadClass, type LoadPlan} from './load-simulation.js';

const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
/** Factors on the run times of the workers: the fastest is three times as fast as the slowest. */
const slowness = [2, 1, 0.67] as const;
const slots = 6;

const page: LoadClass = {
	name: 'page',
	rank: 2,
	runMs: 60,
	targetMs: 200,
	deadlineMs: 1200,
	retries: 2,
	perSecond: 60,
	bytes: 1500,
};
const lookup: LoadClass = {
	...page,
	name: 'lookup',
	rank: 1,
	runMs: 24,
	targetMs: 100,
	deadlineMs: 600,
	bytes: 6000,
};
const analysis: LoadClass = {
	...page,
	name: 'analysis',
	runMs: 150,
	targetMs: 400,
	deadlineMs: 2500,
	bytes: 6000,
};

/** Classes of calls that resemble the load of the platform's users. */
export const standardClasses = {page, lookup, analysis} as const;

/** Returns a plan with three data centres and a worker of a different speed in each. */
export function standardPlan(
	classes: readonly LoadClass[],
	fields: Partial<LoadPlan> = {},
): LoadPlan {
	return {
		workers: slowness.map((factor, index) => ({
			dataCentre: dataCentres[index],
			slots,
			slowness: factor,
		})),
		classes,
		policy: 'expected-completion',
		isLimiting: true,
		weighsBytes: true,
		durationMs: 30_000,
		seed: 8,
		...fields,
	};
}

/** Loads under which the policies are compared. */
export const standardLoads = {
	/** Below the capacity of the workers. */
	calm: standardPlan([
		{...lookup, perSecond: 20},
		{...analysis, perSecond: 20},
	]),
	/** One class, a third over the capacity. */
	overload: standardPlan([{...page, perSecond: 133}]),
	/** Two classes that together exceed the capacity. */
	mixed: standardPlan([
		{...lookup, perSecond: 40},
		{...analysis, perSecond: 40},
	]),
	/** One worker is ten times slower than the others. */
	slow: standardPlan([{...page, perSecond: 40}], {
		workers: [10, 1, 1].map((factor, index) => ({
			dataCentre: dataCentres[index],
			slots,
			slowness: factor,
		})),
	}),
} as const;
export type StandardLoad = keyof typeof standardLoads;

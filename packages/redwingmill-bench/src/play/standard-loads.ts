import {type LoadClass, type LoadPlan} from './load-play.js';

const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
/** Workers of one service differ in speed by three times. */
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

/** Classes of calls like those of the platform's users. */
export const standardClasses = {page, lookup, analysis} as const;

/** Three data centres with a worker each, of unlike speeds. */
export function standardPlan(
	classes: readonly LoadClass[],
	fields: Partial<LoadPlan> = {},
): LoadPlan {
	return {
		workers: slowness.map((each, index) => ({
			dataCentre: dataCentres[index],
			slots,
			slowness: each,
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

/** Loads that the policies are compared by, as multiples of what the workers can run. */
export const standardLoads = {
	/** Room for everything. */
	calm: standardPlan([
		{...lookup, perSecond: 20},
		{...analysis, perSecond: 20},
	]),
	/** A third over the capacity, one class. */
	overload: standardPlan([{...page, perSecond: 133}]),
	/** Two classes that together want more than there is. */
	mixed: standardPlan([
		{...lookup, perSecond: 40},
		{...analysis, perSecond: 40},
	]),
	/** One worker turns ten times slower than the others. */
	slow: standardPlan([{...page, perSecond: 40}], {
		workers: [10, 1, 1].map((each, index) => ({
			dataCentre: dataCentres[index],
			slots,
			slowness: each,
		})),
	}),
} as const;
export type StandardLoad = keyof typeof standardLoads;

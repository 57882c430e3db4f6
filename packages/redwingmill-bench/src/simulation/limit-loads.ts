import {type LimitChange, type LoadPlan, type LoadWorker} from './load-simulation.js';
import {standardClasses, standardPlan} from './standard-loads.js';

const {page, lookup} = standardClasses;
const limitAtMs = 5000;
const perSecond = 15;
const limited: readonly LimitChange[] = [{atMs: limitAtMs, perSecond}];

/** Returns three workers of the same speed, one in each data centre, with the given properties. */
function workersWith(...fields: ReadonlyArray<Partial<LoadWorker>>): readonly LoadWorker[] {
	return ['dc-a', 'dc-b', 'dc-c'].map((dataCentre, index) => ({
		dataCentre,
		slots: 6,
		slowness: 1,
		...fields[index],
	}));
}

/** Returns a load of two ranks, by its multiple of three limits of 15 calls a second. */
function planWith(workers: readonly LoadWorker[], multiple: number): LoadPlan {
	const callsPerSecond = perSecond * multiple;
	return standardPlan(
		[
			{...lookup, perSecond: callsPerSecond / 3},
			{...page, perSecond: (callsPerSecond * 2) / 3},
		],
		{workers, durationMs: 60_000},
	);
}

const all = {limits: limited};
const falling = {limits: [15, 10, 5, 1].map((each, index) => stepAt(index, each))};
const rising = {limits: [1, 5, 15, 60].map((each, index) => stepAt(index, each))};
const lifted = {limits: [...limited, {atMs: 30_000}]};
const restarting = {limits: limited, gateRestartsMs: [12_000, 13_000, 25_000, 40_000]};
const freezing = {
	limits: limited,
	freezes: [
		{atMs: 15_000, forMs: 3000},
		{atMs: 30_000, forMs: 800},
	],
};

function stepAt(index: number, limit: number): LimitChange {
	return {atMs: limitAtMs + index * 14_000, perSecond: limit};
}

/** Loads on workers that state limits or leave. */
export const limitLoads = {
	/** All copies of the service are limited, to two thirds of the load. */
	'one-and-a-half': planWith(workersWith(all, all, all), 1.5),
	/** All copies are limited, to a quarter of the load. */
	fourfold: planWith(workersWith(all, all, all), 4),
	/** One copy is limited; the others can take the load. */
	some: planWith(workersWith(all), 2),
	falling: planWith(workersWith(falling, falling, falling), 2),
	rising: planWith(workersWith(rising, rising, rising), 2),
	lifted: planWith(workersWith(lifted, lifted, lifted), 2),
	restarts: planWith(workersWith(restarting, restarting, restarting), 2),
	freezes: planWith(workersWith(freezing, freezing, all), 2),
	/** Two copies leave, one after the other; the third can take the load. */
	leaving: planWith(workersWith({leavesAtMs: 20_000}, {leavesAtMs: 40_000}), 1),
} as const;
export type LimitLoad = keyof typeof limitLoads;

import {type LoadClass, type LoadPlan, type LoadWorker} from './load-simulation.js';
import {standardClasses, standardPlan} from './standard-loads.js';

const {lookup, page} = standardClasses;
const dataCentres = ['dc-a', 'dc-b', 'dc-c'] as const;
const linkMbps = 11.9;
const slots = 6;
const fromMs = 8000;
const toMs = 20_000;
/** Rate of a burst of bulk calls relative to the usual rate. */
const burstFactor = 2.3;
/** Rate of a hot workspace relative to the usual one. Four times the 7.5 of the design: less doesn't exceed the capacity. */
const hotFactor = 30;
const slowFactor = 8;

function workersWith(perDataCentre: number, fields: Partial<LoadWorker> = {}): LoadWorker[] {
	return dataCentres.flatMap((dataCentre) =>
		Array.from({length: perDataCentre}, () => ({dataCentre, slots, slowness: 1, ...fields})),
	);
}

/** Returns a class for each of some workspaces of a rank. */
function workspaceClasses(
	count: number,
	rank: number,
	base: LoadClass,
	perSecond: number,
): LoadClass[] {
	return Array.from({length: count}, (_, index) => {
		const name = `rank ${rank} workspace ${index}`;
		return {...base, name, group: base.name, perSecond, workspace: {name, rank}};
	});
}

const calm = workspaceClasses(12, 1, page, 4);
const ranked = [
	...workspaceClasses(4, 0, page, 6),
	...workspaceClasses(4, 1, page, 6),
	...workspaceClasses(4, 2, page, 6),
];

/** Loads that exceed what workers or links can do for a while. */
export const scarceLoads: Readonly<Record<string, LoadPlan>> = {
	/** Large responses at 2.3 times their rate, beside urgent small ones of the same workers. */
	bulkBurst: standardPlan(
		[
			{...lookup, name: 'note', rank: 0, workspace: {name: 'north', rank: 1}, perSecond: 40},
			{
				...page,
				name: 'sheet',
				rank: 2,
				workspace: {name: 'north', rank: 1},
				isBulk: true,
				responseBytes: 90_000,
				targetMs: 400,
				deadlineMs: 2000,
				perSecond: 10,
				changes: [{fromMs, toMs, factor: burstFactor}],
			},
		],
		{workers: workersWith(1, {linkMbps})},
	),
	/** One of twelve workspaces of a rank asks for many times its usual rate. */
	hotWorkspace: standardPlan(
		calm.map((each, index) =>
			index === 0 ? {...each, changes: [{fromMs, toMs, factor: hotFactor}]} : each,
		),
		{workers: workersWith(1)},
	),
	/** All workers are absent for 3 s, after which all callers return. */
	storm: standardPlan(
		ranked.map((each) => ({...each, retries: 12, deadlineMs: 5000})),
		{workers: workersWith(1, {absences: [{atMs: fromMs, forMs: 3000}]})},
	),
	/** Half of the workers take eight times as long. */
	halfSlow: standardPlan(ranked, {
		workers: workersWith(2).map((worker, index) =>
			index % 2 === 0
				? {...worker, reportsLoad: true, slowPhases: [{fromMs, toMs, factor: slowFactor}]}
				: {...worker, reportsLoad: true},
		),
	}),
	/** A data centre is lost; its callers turn to the others. */
	dataCentreLost: standardPlan(
		ranked.map((each) => ({...each, perSecond: each.perSecond * 1.15})),
		{workers: workersWith(1), loss: {dataCentre: dataCentres[2], atMs: fromMs}},
	),
};

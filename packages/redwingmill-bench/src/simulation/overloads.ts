import {
	type LoadClass,
	type LoadPlan,
	type LoadWorker,
	type NodeWork,
	type Phase,
} from './load-simulation.js';

const dataCentres = ['dc-a', 'dc-b', 'dc-c', 'dc-d'] as const;
const slots = 4;
/** Workers of one service differ in speed. */
const frontSlowness = [1 / 0.7, 1 / 0.7, 1 / 1.6] as const;
const depotSlowness = [1 / 0.5, 1, 1, 1 / 1.5] as const;
const frontsPerDataCentre = 13;
const depotsPerDataCentre = [4, 4, 3, 3] as const;
/** Part of a core that a node has, and one in as many hosts that has more. */
const processor = {share: 0.27, largeShare: 0.675, largeEvery: 8} as const;
const linkMbps = 11.9;

/** Processor time of a node that has served some hundred calls. */
export const nodeWork: NodeWork = {
	entryMs: 0.7,
	attemptMs: 0.6,
	gateMs: 0.7,
	workerMs: 0.6,
	millionBytesMs: 25,
	rest: {everyMs: 300, workMs: 13},
};

const stockCheck: LoadClass = {
	name: 'stock',
	service: 'depot',
	rank: 1,
	runMs: 27,
	targetMs: 120,
	deadlineMs: 300,
	retries: 0,
	perSecond: 0,
	bytes: 400,
};

/** Calls a second in each data centre at a load of 1, which takes about all slots of the service `front`. */
const perSecond = {read: 200, order: 87, sheet: 28, note: 28} as const;

const read: LoadClass = {
	name: 'read',
	workspace: {name: 'callers', rank: 1},
	service: 'front',
	rank: 1,
	runMs: 110,
	targetMs: 400,
	deadlineMs: 1000,
	retries: 1,
	perSecond: perSecond.read,
	bytes: 5000,
	responseBytes: 5000,
	worth: {inTarget: 0.98, late: 0.29},
	innerCall: {callClass: stockCheck, share: 0.7},
};

const order: LoadClass = {
	...read,
	name: 'order',
	runMs: 140,
	targetMs: 500,
	deadlineMs: 1200,
	perSecond: perSecond.order,
	bytes: 5500,
	responseBytes: 1500,
	worth: {inTarget: 2, late: 0.59},
	innerCall: undefined,
};

const sheet: LoadClass = {
	...order,
	name: 'sheet',
	service: 'depot',
	rank: 2,
	runMs: 88,
	targetMs: 800,
	perSecond: perSecond.sheet,
	bytes: 90_000,
	responseBytes: 90_000,
	isBulk: true,
	worth: {inTarget: 0.49, late: 0.22},
};

const note: LoadClass = {
	...order,
	name: 'note',
	service: 'depot',
	rank: 0,
	runMs: 88,
	targetMs: 250,
	deadlineMs: 800,
	perSecond: perSecond.note,
	bytes: 400,
	responseBytes: 400,
	worth: {inTarget: 1.9, late: 0.22},
};

const workers: readonly LoadWorker[] = dataCentres.flatMap((dataCentre, index) => [
	...Array.from({length: frontsPerDataCentre}, (_, place) =>
		workerOf(dataCentre, 'front', frontSlowness[place % frontSlowness.length], place),
	),
	...Array.from({length: depotsPerDataCentre[index]}, (_, place) =>
		workerOf(dataCentre, 'depot', depotSlowness[place % depotSlowness.length], place + 1),
	),
]);

function workerOf(
	dataCentre: string,
	service: string,
	slowness: number,
	place: number,
): LoadWorker {
	const isLarge = service === 'front' && place % processor.largeEvery === 0;
	const processorShare = isLarge ? processor.largeShare : processor.share;
	return {dataCentre, service, slots, slowness, processorShare, linkMbps, reportsLoad: true};
}

/**
 * Returns a load of 66 hosts, most of whose nodes have a quarter of a core. Runs of most calls keep their slot
 * while they wait for another service.
 *
 * @param changes - times at which the load differs.
 * @param sheetChanges - times at which that of bulk calls differs.
 */
export function overloadPlan(
	changes: readonly Phase[],
	sheetChanges: readonly Phase[] = changes,
	fields: Partial<LoadPlan> = {},
): LoadPlan {
	return {
		workers,
		classes: [
			{...read, changes},
			{...order, changes},
			{...sheet, changes: sheetChanges},
			{...note, changes},
		],
		policy: 'even-load',
		isLimiting: true,
		weighsBytes: true,
		nodeWork,
		durationMs: 12_000,
		seed: 3,
		...fields,
	};
}

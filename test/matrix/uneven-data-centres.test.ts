import {expect} from 'chai';
import {
	LoadSimulation,
	nodeWork,
	type LoadOutcome,
	type LoadPlan,
	type LoadWorker,
} from 'redwingmill-bench';

const shortCentre = 'dc-a';
const otherCentres = ['dc-b', 'dc-c', 'dc-d'] as const;
const replicasPerCentre = 3;
const seeds = [1, 2, 3, 4] as const;
/** Time in which the only replica of the short data centre is slow. */
const slow = {fromMs: 2000, toMs: 5000, factor: 3.7} as const;
/** Time in which all callers ask for more. */
const burst = {fromMs: 3000, toMs: 6000, factor: 1.4} as const;
/** Time after the burst in which callers are to be served as before. */
const recoveryMs = 2000;
const recoveredShare = 0.95;
const durationMs = 12_000;
/** Calls a second in each data centre: four fifths of what all replicas can run, twice what the only one of `dc-a` can. */
const perSecond = 150;

function workerIn(dataCentre: string, service: string): LoadWorker {
	return {
		dataCentre,
		service,
		slots: 9,
		slowness: 1,
		reportsLoad: true,
		processorShare: 0.54,
		...(dataCentre === shortCentre && service === 'lookup' && {slowPhases: [slow]}),
	};
}

function planOf(seed: number): LoadPlan {
	const replicas = otherCentres.flatMap((dataCentre) =>
		Array.from({length: replicasPerCentre}, () => workerIn(dataCentre, 'lookup')),
	);
	const others = Array.from({length: replicasPerCentre - 1}, () => workerIn(shortCentre, 'other'));
	return {
		workers: [workerIn(shortCentre, 'lookup'), ...others, ...replicas],
		classes: [
			{
				name: 'lookup',
				service: 'lookup',
				rank: 2,
				runMs: 120,
				targetMs: 400,
				deadlineMs: 1200,
				retries: 2,
				perSecond,
				bytes: 1400,
				changes: [burst],
			},
		],
		policy: 'even-load',
		isLimiting: true,
		weighsBytes: true,
		nodeWork,
		durationMs,
		seed,
	};
}

function worthOf(windows: LoadOutcome['windows']): number {
	return windows.reduce((sum, {worth}) => sum + worth, 0) / windows.length;
}

describe('callers of a data centre that is short of replicas', () => {
	for (const seed of seeds) {
		it(`are served as before soon after a burst, while others have room (seed ${seed})`, () => {
			const {windows} = new LoadSimulation(planOf(seed)).run();
			const calm = windows.filter(({fromMs}) => fromMs < slow.fromMs);
			const after = windows.filter(({fromMs}) => fromMs >= burst.toMs + recoveryMs);
			expect(after.length).to.be.above(0);
			for (const {worth} of after) {
				expect(worth).to.be.at.least(recoveredShare * worthOf(calm));
			}
		});
	}
});

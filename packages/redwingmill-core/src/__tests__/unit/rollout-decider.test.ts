import {expect} from 'chai';
import fc from 'fast-check';
import {
	planStages,
	RolloutDecider,
	RunTally,
	type RolloutBounds,
	type RolloutDecision,
	type RolloutOrder,
	type WorkerEvidence,
} from '../../index.js';

const bounds: RolloutBounds = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000};
const order: RolloutOrder = {
	service: 'diary',
	targetVersion: 'v2',
	durationMs: 20_000,
	era: 1,
	revision: 7,
};
const stepMs = 250;
const callsPerStep = 50;

/** A worker of a fake service, of whose runs every n-th fails. */
class FakeWorker {
	readonly node: string;
	readonly version: string;
	readonly tally = new RunTally();
	dispatched = 0;
	inProgress = 0;
	#runs: number;

	/** @param index - number of the worker, so that the workers' failures alternate. */
	constructor(index: number, version: string) {
		this.node = `${version}-${index}`;
		this.version = version;
		this.#runs = index;
	}

	run(count: number, {failEvery = Infinity, ranMs = 20} = {}): void {
		for (let run = 0; run < count; run++) {
			this.#runs += 1;
			this.dispatched += 1;
			this.tally.record({
				group: '/a',
				ranMs: ranMs * (1 + (this.#runs % 3) / 10),
				isFailure: this.#runs % failEvery === 0,
			});
		}
	}

	evidence(): WorkerEvidence {
		const {node, version, inProgress, dispatched} = this;
		const identity = {node, incarnation: 1, worker: node, service: 'diary'};
		return {...identity, version, inProgress, dispatched, routes: this.tally.routes};
	}
}

type Rollout = {
	readonly failEvery?: (elapsedMs: number) => number;
	readonly oldFailEvery?: (elapsedMs: number) => number;
	readonly ranMs?: number;
	/** Delivers the reports of a step. */
	readonly deliver?: (
		reports: readonly WorkerEvidence[],
		elapsedMs: number,
	) => readonly WorkerEvidence[];
	readonly untilMs?: number;
};

function isAny(): number {
	return Number.POSITIVE_INFINITY;
}

/** Runs a rollout of a service with 200 calls a second on 8 workers of each version. */
function runRollout({
	failEvery = isAny,
	oldFailEvery = isAny,
	ranMs,
	deliver = (reports) => reports,
	untilMs = order.durationMs,
}: Rollout): readonly RolloutDecision[] {
	const decider = new RolloutDecider(order, bounds, {elapsedMs: 0, share: 0, now: 0});
	const workersOf = (version: string) =>
		Array.from({length: 8}, (_, index) => new FakeWorker(index, version));
	const old = workersOf('v1');
	const target = workersOf('v2');
	const decisions: RolloutDecision[] = [];
	let credit = 0;
	let next = 0;
	let share = 0;
	for (let now = stepMs; now <= untilMs; now += stepMs) {
		credit += callsPerStep * share;
		for (let call = 0; call < callsPerStep; call++) {
			next += 1;
			if (call < Math.floor(credit)) {
				target[next % 8].run(1, {failEvery: failEvery(now), ranMs});
			} else {
				old[next % 8].run(1, {failEvery: oldFailEvery(now)});
			}
		}

		credit -= Math.floor(credit);
		const reports = [...old, ...target.filter(({dispatched}) => dispatched > 0)];
		for (const report of deliver(
			reports.map((worker) => worker.evidence()),
			now,
		)) {
			decider.onEvidence(report, now);
		}

		decisions.push(decider.decide(now));
		share = decisions.at(-1)?.share ?? 0;
	}

	return decisions;
}

describe('RolloutDecider', () => {
	it('completes a good version after canary, middle and full stage, before 95 % of the time', () => {
		const decisions = runRollout({});
		const shares = decisions.map(({share}) => share);
		expect(decisions.at(-1)?.state).to.equal('completed');
		expect(shares).to.deep.equal(shares.toSorted((a, b) => a - b));
		expect(decisions.findIndex(({state}) => state === 'completed') * stepMs).to.be.below(
			0.95 * order.durationMs,
		);
		const canarySteps = shares.filter((share) => share < 0.1).length;
		expect(canarySteps / shares.length).to.be.above(0.7);
	});

	it('keeps a target without evidence at the canary stage', () => {
		const decisions = runRollout({
			deliver: (reports) => reports.filter(({version}) => version === 'v1'),
		});
		expect(decisions.every(({state, share}) => state === 'running' && share < 0.1)).to.be.true;
	});

	it('does not complete a version while a part of the old workers is cut off', () => {
		const decisions = runRollout({
			deliver: (reports, elapsedMs) =>
				reports.filter(({node}) => elapsedMs < 10_000 || !['v1-0', 'v1-1', 'v1-2'].includes(node)),
		});
		expect(decisions.every(({state, share}) => state === 'running' && share < 0.1)).to.be.true;
	});

	it('does not complete a version while an old worker has a call in progress', () => {
		const decisions = runRollout({
			deliver: (reports) =>
				reports.map((each) => (each.node === 'v1-3' ? {...each, inProgress: 1} : each)),
		});
		expect(decisions.every(({state}) => state === 'running')).to.be.true;
	});

	it('leaves the last stage when no evidence of it arrives', () => {
		let isFull = false;
		const decisions = runRollout({
			deliver(reports, elapsedMs) {
				isFull ||= elapsedMs >= 17_500;
				return isFull ? [] : reports;
			},
		});
		expect(decisions.filter(({share}) => share === 1).length).to.be.at.most(3);
		expect(decisions.at(-1)?.share).to.be.below(0.1);
	});

	it('rolls back a version that fails, and one that turns bad', () => {
		expect(runRollout({failEvery: () => 5}).at(-1)?.state).to.equal('rolled-back');
		const late = runRollout({failEvery: (now) => (now > 10_000 ? 4 : isAny())});
		expect(late.at(-1)?.state).to.equal('rolled-back');
		expect(late.findIndex(({state}) => state === 'rolled-back') * stepMs).to.be.below(15_000);
	});

	it('rolls back a version that is several times slower', () => {
		expect(runRollout({ranMs: 80}).at(-1)?.state).to.equal('rolled-back');
	});

	it('does not roll back a version for failures that both versions have in the same time', () => {
		const disturbed = (now: number) => (now > 6000 && now < 9000 ? 3 : isAny());
		const decisions = runRollout({failEvery: disturbed, oldFailEvery: disturbed});
		expect(decisions.some(({state}) => state === 'rolled-back')).to.be.false;
	});

	it('ignores evidence of another service', () => {
		const decisions = runRollout({
			deliver: (reports) => reports.map((each) => ({...each, service: 'other'})),
		});
		expect(decisions.every(({reason}) => reason === 'waits for evidence')).to.be.true;
	});

	it('never changes a final state, whatever arrives afterwards', () => {
		const report = fc.record({node: fc.nat(5), runs: fc.nat(200), isBad: fc.boolean()});
		const isBad = fc.boolean();
		fc.assert(
			fc.property(isBad, fc.array(report, {maxLength: 20}), (wasBad, later) => {
				const decisions = runRollout({
					failEvery: () => (wasBad ? 3 : isAny()),
					untilMs: order.durationMs + later.length * stepMs,
					deliver(reports, elapsedMs) {
						const index = Math.floor((elapsedMs - order.durationMs) / stepMs) - 1;
						const drawn = later[index];
						if (drawn === undefined) {
							return reports;
						}

						const worker = new FakeWorker(drawn.node, 'v2');
						worker.run(drawn.runs, {failEvery: drawn.isBad ? 2 : isAny()});
						return [{...worker.evidence(), incarnation: 2}];
					},
				});
				const first = decisions.findIndex(({state}) => state !== 'running');
				expect(first).to.be.at.least(0);
				for (const decision of decisions.slice(first)) {
					expect(decision).to.equal(decisions[first]);
				}
			}),
			{seed: 11, numRuns: 12},
		);
	});

	it('decides the same when reports are repeated, reordered or followed by older ones', () => {
		const isBad = fc.boolean();
		const order = fc.array(fc.nat(1000), {minLength: 48, maxLength: 48});
		fc.assert(
			fc.property(isBad, order, (wasBad, keys) => {
				const failEvery = (now: number) => (wasBad && now > 8000 ? 6 : isAny());
				let earlier: readonly WorkerEvidence[] = [];
				const shuffled = runRollout({
					failEvery,
					deliver(reports) {
						const all = [...reports, ...reports, ...earlier];
						earlier = reports;
						return all
							.map((report, index) => ({report, key: keys[index] ?? 0}))
							.toSorted((a, b) => a.key - b.key)
							.map(({report}) => report);
					},
				});
				expect(shuffled).to.deep.equal(runRollout({failEvery}));
			}),
			{seed: 13, numRuns: 10},
		);
	});

	it('holds the stage that another decider announced until evidence arrives', () => {
		const start = {elapsedMs: 9000, share: 0.03, now: 500_000};
		const decider = new RolloutDecider(order, bounds, start);
		for (let passed = 0; passed < 3000; passed += stepMs) {
			expect(decider.decide(start.now + passed)).to.include({state: 'running', share: 0.03});
		}
	});
});

describe('planStages', () => {
	it('keeps a version that turns bad at the start of any stage below the exposure bound', () => {
		const durations = fc.integer({min: 8000, max: 60_000});
		const rates = fc.integer({min: 5, max: 2000});
		fc.assert(
			fc.property(durations, rates, (durationMs, callsPerSecond) => {
				const plan = planStages(durationMs, bounds, callsPerSecond);
				const {canaryShare, middleShare, middleAtMs, fullAtMs, completeByMs} = plan;
				const callsPerMs = callsPerSecond / 1000;
				const bound = bounds.exposureShare * durationMs * callsPerMs + bounds.exposureSlack;
				const middleEndMs = Math.min(fullAtMs, completeByMs);
				const early = canaryShare * middleAtMs + middleShare * (middleEndMs - middleAtMs);
				// Late evidence ends the last stage in 0.5 s, entries follow in 0.3 s, the test takes 50 runs.
				const fullMs = Number.isFinite(fullAtMs)
					? Math.min(durationMs - fullAtMs, 800 + 50 / callsPerMs)
					: 0;
				expect((early + fullMs) * callsPerMs).to.be.at.most(bound);
				expect(middleAtMs).to.be.within(0.6 * durationMs, completeByMs);
			}),
			{seed: 17, numRuns: 2000},
		);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {RolloutEvidence, RunTally, type WorkerEvidence} from '../../index.js';

function evidenceOf(fields: Partial<WorkerEvidence> = {}, runs = 1): WorkerEvidence {
	const tally = new RunTally();
	for (let run = 0; run < runs; run++) {
		tally.record({group: `/${run % 2}`, ranMs: 20, isFailure: run % 5 === 4});
	}

	return {
		node: '10.0.0.1:7000',
		incarnation: 1,
		worker: 'w-1',
		service: 'diary',
		version: 'v2',
		inProgress: 0,
		dispatched: runs,
		routes: tally.routes,
		...fields,
	};
}

describe('RunTally', () => {
	it('counts runs, failures and the logarithms of successful run times by route', () => {
		const tally = new RunTally();
		tally.record({group: '/a', ranMs: Math.E, isFailure: false});
		tally.record({group: '/a', ranMs: 5000, isFailure: true});
		tally.record({group: '/b', ranMs: 1, isFailure: false});
		expect(tally.routes).to.deep.equal([
			{group: '/a', runs: 2, failures: 1, logSum: 1, logSquareSum: 1},
			{group: '/b', runs: 1, failures: 0, logSum: 0, logSquareSum: 0},
		]);
	});

	it('keeps figures finite for runs that took no measurable time', () => {
		const tally = new RunTally();
		tally.record({group: '/a', ranMs: 0, isFailure: false});
		expect(Number.isFinite(tally.routes[0]?.logSum)).to.be.true;
	});

	it('counts nothing of another order after a reset', () => {
		const tally = new RunTally();
		tally.record({group: '/a', ranMs: 5, isFailure: false});
		tally.reset();
		expect(tally.routes).to.deep.equal([]);
	});

	it('hands out figures that later runs do not change', () => {
		const tally = new RunTally();
		tally.record({group: '/a', ranMs: 5, isFailure: false});
		const {routes} = tally;
		tally.record({group: '/a', ranMs: 5, isFailure: false});
		expect(routes[0]?.runs).to.equal(1);
	});
});

describe('RolloutEvidence', () => {
	it('ignores an older report that arrives after a newer one', () => {
		const evidence = new RolloutEvidence();
		evidence.apply(evidenceOf({}, 10));
		expect(evidence.apply(evidenceOf({}, 4))).to.equal('older');
		expect(evidence.sumOf('v2').runs).to.equal(10);
	});

	it('keeps the runs before a restart of the node beside those after it', () => {
		const evidence = new RolloutEvidence();
		evidence.apply(evidenceOf({}, 10));
		evidence.apply(evidenceOf({incarnation: 2}, 3));
		expect(evidence.sumOf('v2').runs).to.equal(13);
		expect([...evidence.present().values()].map(({incarnation}) => incarnation)).to.deep.equal([2]);
	});

	it('separates versions and routes', () => {
		const evidence = new RolloutEvidence();
		evidence.apply(evidenceOf({}, 10));
		evidence.apply(evidenceOf({node: '10.0.0.2:7000', version: 'v1'}, 4));
		expect([...evidence.versions]).to.have.members(['v1', 'v2']);
		expect(evidence.sumOf('v1').runs).to.equal(4);
		expect(evidence.sumOf('v2').routes.get('/0')?.runs).to.equal(5);
		expect(evidence.sumOf('v2').failures).to.equal(2);
	});

	it('takes a change of the calls in progress alone, so that a drained worker counts as drained', () => {
		const evidence = new RolloutEvidence();
		evidence.apply(evidenceOf({inProgress: 2}, 10));
		expect(evidence.apply(evidenceOf({inProgress: 0}, 10))).to.equal('newer');
		expect(evidence.sumOf('v2').inProgress).to.equal(0);
	});

	it('sums up the same whatever the order, loss and repetition of reports before the last', () => {
		const report = fc.record({node: fc.nat(3), incarnation: fc.nat(2), runs: fc.nat(30)});
		fc.assert(
			fc.property(
				fc.array(report, {minLength: 1, maxLength: 30}).chain((reports) =>
					fc.tuple(
						fc.constant(reports),
						fc.shuffledSubarray([...reports, ...reports], {
							minLength: reports.length * 2,
							maxLength: reports.length * 2,
						}),
					),
				),
				([reports, shuffled]) => {
					const sumOf = (received: typeof reports) => {
						const evidence = new RolloutEvidence();
						for (const {node, incarnation, runs} of received) {
							evidence.apply(evidenceOf({node: `n-${node}`, incarnation}, runs));
						}

						const {routes, ...sum} = evidence.sumOf('v2');
						const byRoute = [...routes.values()].map(({group, runs, failures}) => ({
							group,
							runs,
							failures,
						}));
						return {...sum, routes: byRoute.toSorted((a, b) => a.group.localeCompare(b.group))};
					};

					expect(sumOf(shuffled)).to.deep.equal(sumOf(reports));
				},
			),
			{seed: 7, numRuns: 200},
		);
	});
});

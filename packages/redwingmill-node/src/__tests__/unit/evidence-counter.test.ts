import {expect} from 'chai';
import {type RolloutOrder, type Worker} from 'redwingmill-core';
import {EvidenceCounter} from '../../call/evidence-counter.js';

const order: RolloutOrder = {
	service: 'coding',
	targetVersion: 'v2',
	durationMs: 30_000,
	era: 1,
	revision: 7,
};

function workerWith(fields: Partial<Worker> = {}): Worker {
	return {
		service: 'coding',
		address: '10.0.0.1:8080',
		slots: 4,
		state: 'ready',
		instance: 'i-1',
		startedAt: 1000,
		version: 'v1',
		...fields,
	};
}

function counterWith(worker: Worker = workerWith()): EvidenceCounter {
	const counter = new EvidenceCounter({node: '10.0.0.1:7300', incarnation: 5});
	counter.setWorker(worker);
	return counter;
}

describe('EvidenceCounter', () => {
	it('counts runs by route since the order, with the sums of their logarithms', () => {
		const counter = counterWith();
		counter.onRun('/codes/', 0, 10, true);
		counter.follow(order);
		counter.onDispatch();
		counter.onDispatch();
		counter.onRun('/codes/', 100, 110, false);
		counter.onRun('/codes/', 100, 150, true);
		const log = Math.log(10);
		expect(counter.evidence(3)).to.deep.equal({
			node: '10.0.0.1:7300',
			incarnation: 5,
			worker: 'i-1/1000',
			service: 'coding',
			version: 'v1',
			inProgress: 3,
			dispatched: 2,
			routes: [{group: '/codes/', runs: 2, failures: 1, logSum: log, logSquareSum: log * log}],
		});
	});

	it('leaves out runs that began while the worker was slow from its start', () => {
		const counter = counterWith();
		counter.follow(order);
		counter.setColdUntil(1000);
		counter.onRun('/codes/', 999, 2000, true);
		counter.onRun('/codes/', 1000, 2000, false);
		expect(counter.evidence(0)?.routes[0]).to.include({runs: 1, failures: 0});
	});

	it('keeps the counts of an order while it runs, and starts anew with another one', () => {
		const counter = counterWith();
		counter.follow(order);
		counter.onRun('/codes/', 0, 10, false);
		counter.follow({...order, era: 2});
		expect(counter.evidence(0)?.routes[0].runs).to.equal(1);
		counter.follow({...order, targetVersion: 'v3'});
		expect(counter.evidence(0)?.routes).to.deep.equal([]);
		counter.follow(undefined);
		expect(counter.evidence(0)).to.equal(undefined);
	});

	it('does not mix the runs of two processes of the worker', () => {
		const counter = counterWith();
		counter.follow(order);
		counter.onRun('/codes/', 0, 10, true);
		counter.setWorker(workerWith({startedAt: 2000, version: 'v2'}));
		expect(counter.evidence(0)).to.equal(undefined);
		counter.follow(order);
		expect(counter.evidence(0)).to.deep.include({worker: 'i-1/2000', version: 'v2', routes: []});
	});

	it('keeps its counts when the worker only announces another state', () => {
		const counter = counterWith();
		counter.follow(order);
		counter.onRun('/codes/', 0, 10, false);
		counter.setWorker(workerWith({state: 'draining'}));
		expect(counter.evidence(0)?.routes[0].runs).to.equal(1);
	});
});

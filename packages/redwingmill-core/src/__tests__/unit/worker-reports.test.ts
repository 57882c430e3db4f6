import {expect} from 'chai';
import fc from 'fast-check';
import {
	defaultGateLimits,
	Gate,
	parseStatedLoad,
	type GateCall,
	type WorkerNotice,
	type WorkerReport,
} from '../../index.js';
import {WorkerNotices} from '../../call/worker-notices.js';
import {WorkerReports} from '../../call/worker-reports.js';

const seed = 21;
const answered = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;

function reportWith(fields: Partial<WorkerReport>): WorkerReport {
	return {running: 0, waiting: 0, slots: 4, hostTime: 1, ...fields};
}

function noticeWith(fields: Partial<WorkerReport>): WorkerNotice {
	const load = {type: 'stated', report: reportWith(fields)} as const;
	return {limit: {type: 'none'}, isLeaving: false, load};
}

function gateWith(slots: number): Gate<string> {
	const gate = new Gate<string>(defaultGateLimits, {node: 'own', incarnation: 1}, 0);
	gate.setWorker({service: 'coding', address: 'worker', slots, state: 'ready', instance: 'i'}, 0);
	return gate;
}

function callWith(id: string, fields: Partial<GateCall> = {}): GateCall {
	return {
		id,
		service: 'coding',
		group: '',
		rank: 1,
		deadlineAt: 1e6,
		crashedNodes: [],
		fingerprint: () => id,
		...fields,
	};
}

describe('parseStatedLoad', () => {
	it('reads a load with the speed of the host', () => {
		expect(parseStatedLoad('3, 12,4,250')).to.deep.equal({
			type: 'stated',
			report: {running: 3, waiting: 12, slots: 4, hostTime: 2.5},
		});
	});

	it('ignores a load without the speed of the host', () => {
		expect(parseStatedLoad('3,12,4')).to.deep.equal({type: 'none'});
		expect(parseStatedLoad(undefined)).to.deep.equal({type: 'none'});
	});

	it('reads nothing from malformed text', () => {
		const texts = ['', '1', '1,2', '1,2,0,100', '-1,2,3,100', '1,2,3,0', '1,2,3,-5', '1,2,3,x'];
		const others = [
			'1,2,3,1e3',
			'1,2,3,100,5',
			'1,,3,100',
			'1,2,3,',
			'NaN,1,1,1',
			'1,2,3,Infinity',
		];
		for (const text of [...texts, ...others, ['1,2,3,100', '1,2,3,100']]) {
			expect(parseStatedLoad(text).type, String(text)).to.equal('malformed');
		}
	});

	it('returns finite figures or none for any text', () => {
		fc.assert(
			fc.property(fc.string({unit: 'grapheme'}), fc.array(fc.float()), (text, numbers) => {
				for (const value of [text, numbers.join(',')]) {
					const stated = parseStatedLoad(value);
					if (stated.type === 'stated') {
						expect(Object.values(stated.report).every((each) => Number.isFinite(each))).to.equal(
							true,
						);
					}
				}
			}),
			{seed},
		);
	});
});

describe('WorkerReports', () => {
	it('returns to the usual speed as the last report gets older', () => {
		const reports = new WorkerReports();
		expect(reports.hostTimeAt(0)).to.equal(undefined);
		reports.record(reportWith({hostTime: 5}), 0, 1000);
		expect(reports.hostTimeAt(1000)).to.equal(5);
		expect(reports.hostTimeAt(1100)).to.equal(3);
		expect(reports.hostTimeAt(5000)).to.equal(undefined);
	});

	it('smooths reports that follow each other closely', () => {
		const reports = new WorkerReports();
		reports.record(reportWith({hostTime: 1}), 0, 1000);
		reports.record(reportWith({hostTime: 3}), 0, 1000);
		expect(reports.hostTimeAt(1000)).to.equal(2);
	});

	it('counts the work done at the speeds that were reported during a run', () => {
		const reports = new WorkerReports();
		expect(reports.workAt(1234.56)).to.equal(1234.56);
		reports.record(reportWith({hostTime: 4}), 0, 2000);
		const started = reports.workAt(2000);
		for (let now = 2010; now <= 2400; now += 10) {
			reports.record(reportWith({hostTime: 4}), 0, now);
		}

		expect(reports.workAt(2400) - started).to.be.closeTo(100, 1);
	});

	it('bounds the figures of a worker that reports nonsense', () => {
		const reports = new WorkerReports();
		reports.record(reportWith({hostTime: 9999}), 0, 0);
		expect(reports.hostTimeAt(0)).to.equal(20);
	});
});

describe('WorkerNotices on reported loads', () => {
	it('reports every malformed load, and the first one of a worker process as such', () => {
		const notices = new WorkerNotices();
		const load = {type: 'malformed', text: 'x'.repeat(500)} as const;
		const notice: WorkerNotice = {limit: {type: 'none'}, isLeaving: false, load};
		const text = 'x'.repeat(80);
		expect(notices.apply(notice, 0, 1)).to.deep.equal([
			{type: 'load-malformed', text, isFirst: true},
		]);
		expect(notices.apply(notice, 1, 2)).to.deep.equal([
			{type: 'load-malformed', text, isFirst: false},
		]);
	});
});

describe('Gate with a worker that reports its load', () => {
	it('holds calls back while the worker still runs some whose callers have left', () => {
		const gate = gateWith(2);
		gate.submit(callWith('a'), 0);
		gate.onNotice(noticeWith({running: 2, waiting: 1}), 0, 10);
		gate.submit(callWith('b'), 10);
		expect(gate.runningCount).to.equal(1);
		expect(gate.waitingCount).to.equal(1);
		gate.tick(210);
		expect(gate.runningCount).to.equal(2);
	});

	it('always sends a call to a worker that runs none of its own', () => {
		const gate = gateWith(2);
		gate.submit(callWith('a'), 0);
		gate.onNotice(noticeWith({running: 90, waiting: 90}), 0, 10);
		gate.finish('a', answered, 10);
		gate.submit(callWith('b'), 10);
		expect(gate.runningCount).to.equal(1);
	});

	it('expects longer run times while the host is slow, and the usual ones later', () => {
		const gate = gateWith(1);
		gate.submit(callWith('a'), 0);
		gate.finish('a', answered, 50);
		expect(gate.loadAt(50)).to.not.have.property('hostTime');
		gate.submit(callWith('b'), 50);
		gate.onNotice(noticeWith({running: 1, hostTime: 4}), 50, 60);
		expect(gate.loadAt(60)).to.deep.include({hostTime: 4, runMs: 200, waitMs: 200});
		gate.finish('b', answered, 250);
		expect(gate.loadAt(2000).runMs).to.be.within(40, 75);
	});

	it('forgets the reports of an earlier worker process', () => {
		const gate = gateWith(1);
		gate.submit(callWith('a'), 0);
		gate.onNotice(noticeWith({running: 5, hostTime: 4}), 0, 10);
		gate.setWorker(
			{service: 'coding', address: 'worker', slots: 1, state: 'ready', instance: 'next'},
			20,
		);
		expect(gate.loadAt(20)).to.not.have.property('hostTime');
	});
});

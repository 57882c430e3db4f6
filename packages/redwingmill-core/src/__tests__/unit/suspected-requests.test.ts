import {expect} from 'chai';
import {SuspectedRequests, type CrashCounts} from '../../index.js';

const durationMs = 60_000;

function crashesAt(...nodes: readonly string[]): CrashCounts {
	return nodes.map((node) => ({node, incarnation: 1, count: 1}));
}

describe('SuspectedRequests', () => {
	it('keeps a quarantined request when thousands of bystanders are suspected', () => {
		const requests = new SuspectedRequests(durationMs, 3);
		requests.recordCrashes('poison', crashesAt('a', 'b', 'c'), 0, 0);
		for (let index = 0; index < 5000; index++) {
			requests.recordCrashes(`bystander ${index}`, crashesAt('a'), 0, 1);
		}

		expect(requests.suspicionOf('poison', [], 2)).to.equal('quarantined');
		expect(requests.suspicionOf('bystander 0', [], 2)).to.equal('none');
		expect(requests.suspicionOf('bystander 4999', [], 2)).to.equal('suspect');
	});

	it('remembers that a suspected request was cleared although thousands succeed after it', () => {
		const requests = new SuspectedRequests(durationMs, 3);
		requests.recordCrashes('bystander', crashesAt('a'), 0, 0);
		requests.clear('bystander', 1);
		for (let index = 0; index < 5000; index++) {
			requests.clear(`sound ${index}`, 2);
		}

		expect(requests.recordCrashes('bystander', crashesAt('a', 'b', 'c'), 0, 3)).to.equal(false);
		expect(requests.suspicionOf('bystander', [], 3)).to.equal('none');
	});

	it('quarantines a request again, and for longer, at its first crash after a quarantine', () => {
		const requests = new SuspectedRequests(durationMs, 3);
		const suspicionAt = (now: number) => requests.suspicionOf('poison', [], now);
		requests.recordCrashes('poison', crashesAt('a', 'b', 'c'), 0, 0);
		expect(suspicionAt(durationMs - 1)).to.equal('quarantined');
		expect(suspicionAt(durationMs)).to.equal('probation');
		requests.recordCrashes('poison', crashesAt('d'), 0, durationMs);
		expect(requests.remainingMs('poison', durationMs)).to.equal(2 * durationMs);
		expect(suspicionAt(3 * durationMs - 1)).to.equal('quarantined');
		expect(suspicionAt(3 * durationMs)).to.equal('probation');
		expect(suspicionAt(5 * durationMs)).to.equal('none');
	});

	it('has the same digest after the same crashes in another order, and another after fewer', () => {
		const [first, second] = [
			new SuspectedRequests(durationMs, 3),
			new SuspectedRequests(durationMs, 3),
		];
		first.recordCrashes('x', crashesAt('a'), 0, 0);
		first.recordCrashes('x', crashesAt('b'), 0, 1);
		first.recordCrashes('y', crashesAt('a', 'c'), 0, 2);
		second.recordCrashes('y', crashesAt('c', 'a'), 0, 0);
		expect(second.digestAt(3)).not.to.equal(first.digestAt(3));
		second.recordCrashes('x', crashesAt('b', 'a'), 0, 5);
		expect(second.digestAt(6)).to.equal(first.digestAt(6));
		expect(new SuspectedRequests(durationMs, 3).digestAt(0)).to.equal(0);
	});
});

import {expect} from 'chai';
import {EventLoopDelay, type DelayReport} from '../../observe/event-loop-delay.js';

const intervalMs = 100;

describe('event loop delay', () => {
	it('reports a late timer with the longest task since the last sample, at most once a second', () => {
		const reports: DelayReport[] = [];
		const delay = new EventLoopDelay((report) => {
			reports.push(report);
		});
		delay.sample(0, intervalMs);
		delay.recordTask('tick', 3);
		delay.recordTask('configuration-read', 240);
		delay.sample(400, intervalMs);
		delay.sample(800, intervalMs);
		expect(reports).to.deep.equal([
			{delayMs: 300, meanMs: 60, task: 'configuration-read', taskMs: 240},
		]);
		delay.sample(1500, intervalMs);
		expect(reports.length).to.equal(2);
		expect(reports[1]).to.deep.include({delayMs: 600, task: undefined, taskMs: 0});
	});

	it('sums the time of each task', () => {
		const delay = new EventLoopDelay(() => undefined);
		delay.recordTask('datagram', 2);
		delay.recordTask('datagram', 3);
		expect(delay.taskSeconds.get('datagram')).to.be.closeTo(0.005, 1e-9);
	});

	it('forgets a delay once timers are in time again', () => {
		const delay = new EventLoopDelay(() => undefined);
		delay.sample(0, intervalMs);
		delay.sample(600, intervalMs);
		for (let now = 700; now < 4000; now += intervalMs) {
			delay.sample(now, intervalMs);
		}

		expect(delay.meanMs).to.be.below(1);
	});
});

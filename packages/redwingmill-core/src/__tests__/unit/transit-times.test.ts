import {expect} from 'chai';
import {TransitTimes} from '../../call/transit-times.js';

function estimateAfter(samples: readonly number[]): number {
	const times = new TransitTimes();
	for (const sampleMs of samples) {
		times.record(sampleMs);
	}

	return times.expectedMs;
}

describe('the expected time of attempts on their way', () => {
	it('takes nothing off the time of calls while it is unknown', () => {
		expect(estimateAfter([])).to.equal(0);
	});

	it('covers most attempts when they vary', () => {
		const samples = Array.from({length: 200}, (_, index) => (index % 2 === 0 ? 20 : 60));
		expect(estimateAfter(samples)).to.be.within(50, 70);
	});

	it('follows the times down again after an overload', () => {
		const samples = [...Array.from({length: 50}, () => 200), ...Array.from({length: 50}, () => 10)];
		expect(estimateAfter(samples)).to.be.below(20);
	});

	it('does not take all time off calls after a peer was held up', () => {
		expect(estimateAfter([10, 10, 60_000])).to.be.below(100);
	});
});

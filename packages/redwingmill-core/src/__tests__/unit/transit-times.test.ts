import {expect} from 'chai';
import {TransitTimes} from '../../call/transit-times.js';

/** Records samples at this interval. Returns the estimate after the last. */
function estimateAfter(samples: readonly number[], intervalMs = 10): number {
	const times = new TransitTimes();
	for (const [index, sampleMs] of samples.entries()) {
		times.record(sampleMs, index * intervalMs);
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

	it('follows few attempts as soon as many', () => {
		expect(estimateAfter([200, 200, 200, 10, 10, 10, 10, 10], 500)).to.be.below(20);
	});

	it('says less of the present the longer no attempt was made', () => {
		const times = new TransitTimes();
		times.record(200, 0);
		expect(times.fadedMs(0)).to.equal(200);
		expect(times.fadedMs(12_000)).to.be.below(20);
		expect(times.expectedMs).to.equal(200);
	});

	it('does not take all time off calls after a peer was held up', () => {
		expect(estimateAfter([10, 10, 60_000])).to.be.below(100);
	});
});

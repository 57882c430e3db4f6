import {expect} from 'chai';
import {ForecastErrors} from '../../call/forecast-errors.js';

describe('the margin on expected ends', () => {
	it('is nothing while no call has waited, and again for a new worker', () => {
		const errors = new ForecastErrors();
		expect(errors.marginMs).to.equal(0);
		errors.record(100);
		errors.reset();
		expect(errors.marginMs).to.equal(0);
	});

	it('covers calls that are done late as often as early', () => {
		const errors = new ForecastErrors();
		for (let call = 0; call < 200; call += 1) {
			errors.record(call % 2 === 0 ? 80 : -80);
		}

		expect(errors.marginMs).to.be.within(70, 90);
	});

	it('is never negative when calls are done early', () => {
		const errors = new ForecastErrors();
		for (let call = 0; call < 200; call += 1) {
			errors.record(-80);
		}

		expect(errors.marginMs).to.equal(0);
	});
});

import {expect} from 'chai';
import {forecastLoad} from '../../index.js';

describe('forecastLoad', () => {
	it('trusts a new report and returns to the mean as it gets old', () => {
		const inputs = {callsPerSlot: 0, meanBusyShare: 0.8, runMs: 40};
		expect(forecastLoad({...inputs, ageMs: 0})).to.deep.equal({callsPerSlot: 0, certainty: 1});
		expect(forecastLoad({...inputs, ageMs: 40}).callsPerSlot).to.be.closeTo(0.506, 0.001);
		expect(forecastLoad({...inputs, ageMs: 4000}).callsPerSlot).to.be.closeTo(0.8, 0.001);
	});

	it('works off a reported queue at the rate that arriving calls leave over', () => {
		const inputs = {callsPerSlot: 2, meanBusyShare: 0.5, runMs: 40};
		expect(forecastLoad({...inputs, ageMs: 40}).callsPerSlot).to.equal(1.5);
		expect(forecastLoad({...inputs, ageMs: 80}).callsPerSlot).to.equal(1);
		expect(forecastLoad({...inputs, ageMs: 4000}).callsPerSlot).to.be.closeTo(0.5, 0.001);
	});

	it('works off a queue also where the mean says that no slot is ever free', () => {
		const inputs = {callsPerSlot: 2, meanBusyShare: 1, runMs: 40};
		expect(forecastLoad({...inputs, ageMs: 400}).callsPerSlot).to.be.closeTo(1.5, 0.001);
	});
});

import {expect} from 'chai';
import {RefusedCalls} from '../../index.js';

describe('RefusedCalls', () => {
	it('returns the time of the first try when a caller retries, even after several refusals', () => {
		const refused = new RefusedCalls();
		expect(refused.takeFirstTry('GET /pages/1', 0)).to.equal(0);
		refused.recordRefusal('GET /pages/1', 0, 5);
		expect(refused.takeFirstTry('GET /pages/2', 300)).to.equal(300);
		expect(refused.takeFirstTry('GET /pages/1', 300)).to.equal(0);
		refused.recordRefusal('GET /pages/1', 0, 305);
		expect(refused.takeFirstTry('GET /pages/1', 700)).to.equal(0);
		expect(refused.takeFirstTry('GET /pages/1', 800)).to.equal(800);
	});

	it('treats a request that comes after the retention period as new', () => {
		const refused = new RefusedCalls();
		refused.recordRefusal('GET /pages/1', 0, 5);
		expect(refused.takeFirstTry('GET /pages/1', 10_000)).to.equal(10_000);
	});

	it('evicts the oldest requests beyond its capacity', () => {
		const refused = new RefusedCalls();
		for (let call = 0; call < 20_000; call++) {
			refused.recordRefusal(`GET /${call}`, 0, 1);
		}

		expect(refused.takeFirstTry('GET /0', 2)).to.equal(2);
		expect(refused.takeFirstTry('GET /19999', 2)).to.equal(0);
	});
});

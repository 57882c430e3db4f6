import {expect} from 'chai';
import {fairLimitOf} from '../../call/fair-limit.js';

describe('the fair limit', () => {
	it('lets those that ask for little have all of it', () => {
		// Of 12, 8 are given: 1 and 1, and 6 to the third.
		expect(fairLimitOf([1, 10, 1], 8 / 12)).to.be.closeTo(6, 1e-9);
	});

	it('is the share for a single member', () => {
		expect(fairLimitOf([10], 0.3)).to.be.closeTo(3, 1e-9);
	});

	it('limits all alike when all ask for the same', () => {
		expect(fairLimitOf([4, 4], 0.5)).to.be.closeTo(2, 1e-9);
	});
});

import {expect} from 'chai';
import {Random} from '../../index.js';

const seedCount = 1000;

describe('Random', () => {
	it('gives the same sequence for one seed', () => {
		const sequence = () => {
			const random = new Random(7);
			return [random.fraction(), random.below(100), random.jitter(1000)];
		};

		expect(sequence()).to.deep.equal(sequence());
	});

	it('spreads the first numbers of seeds that are close to each other', () => {
		const buckets = Array.from({length: 10}, () => 0);
		for (let seed = 0; seed < seedCount; seed++) {
			buckets[Math.floor(new Random(seed).fraction() * buckets.length)] += 1;
		}

		for (const count of buckets) {
			expect(count).to.be.within(60, 140);
		}
	});
});

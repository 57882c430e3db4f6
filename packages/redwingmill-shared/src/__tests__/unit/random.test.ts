import {expect} from 'chai';
import {Random} from '../../index.js';

const seedCount = 1000;

describe('Random', () => {
	it('yields the same sequence for equal seeds', () => {
		const sequence = () => {
			const random = new Random(7);
			return [random.fraction(), random.below(100), random.jitter(1000)];
		};

		expect(sequence()).to.deep.equal(sequence());
	});

	it('distributes the first numbers of consecutive seeds evenly', () => {
		const buckets = Array.from({length: 10}, () => 0);
		for (let seed = 0; seed < seedCount; seed++) {
			buckets[Math.floor(new Random(seed).fraction() * buckets.length)] += 1;
		}

		for (const count of buckets) {
			expect(count).to.be.within(60, 140);
		}
	});
});

import {expect} from 'chai';
import {ConcurrencyLimit} from '../../call/concurrency-limit.js';

const slots = 8;

describe('concurrency limit', () => {
	it('falls while a worker sheds every call beyond fewer than its slots', () => {
		const limit = new ConcurrencyLimit(slots);
		for (let now = 0; now < 3000; now += 50) {
			const concurrency = 1 + ((now / 50) % limit.value);
			if (concurrency <= 4) {
				limit.onSuccess({at: now, concurrency});
			} else {
				limit.onShed({at: now, concurrency}, now);
			}
		}

		expect(limit.value).to.be.within(4, 5);
	});

	it('keeps the slots of a worker that sheds calls although it accepts others beside as many', () => {
		const limit = new ConcurrencyLimit(slots);
		for (let now = 0; now < 3000; now += 50) {
			const start = {at: now, concurrency: slots};
			if ((now / 50) % 2 === 0) {
				limit.onSuccess(start);
			} else {
				limit.onShed(start, now);
			}
		}

		expect(limit.value).to.equal(slots);
	});

	it('falls when the last call accepted beside as many is long past', () => {
		const limit = new ConcurrencyLimit(slots);
		limit.onSuccess({at: 0, concurrency: slots});
		limit.onShed({at: 900, concurrency: slots}, 900);
		expect(limit.value).to.equal(slots);
		limit.onShed({at: 1100, concurrency: slots}, 1100);
		expect(limit.value).to.be.below(slots);
	});
});

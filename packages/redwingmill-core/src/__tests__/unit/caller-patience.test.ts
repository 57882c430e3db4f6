import {expect} from 'chai';
import {CallerPatience} from '../../index.js';

describe('CallerPatience', () => {
	it('takes the longest time given for that of a first try', () => {
		const patience = new CallerPatience();
		expect(patience.waitedMs('/pages/', 1200, 0)).to.equal(0);
		expect(patience.waitedMs('/pages/', 900, 10)).to.equal(300);
		expect(patience.waitedMs('/pages/', 1190, 20)).to.equal(0);
		expect(patience.waitedMs('/codes/', 600, 20)).to.equal(0);
	});

	it('forgets what callers gave long ago', () => {
		const patience = new CallerPatience();
		patience.waitedMs('/pages/', 5000, 0);
		for (let now = 0; now <= 60_000; now += 1000) {
			patience.waitedMs('/pages/', 1200, now);
		}

		expect(patience.waitedMs('/pages/', 1200, 61_000)).to.equal(0);
		expect(patience.waitedMs('/pages/', 1000, 61_000)).to.equal(200);
	});
});

import {expect} from 'chai';
import {LinkPacer} from '../../index.js';

/** 1,250 bytes take a millisecond. */
const linkMbps = 10;
const partBytes = 12_500;

describe('LinkPacer', () => {
	it('spaces parts by the rate of the link', () => {
		const pacer = new LinkPacer(linkMbps);
		expect(pacer.delayMs(1000)).to.equal(0);
		pacer.onWritten(partBytes, 1000);
		const delayMs = pacer.delayMs(1000);
		expect(delayMs).to.be.within(1, 10);
		expect(pacer.delayMs(1000 + delayMs)).to.equal(0);
	});

	it('makes up for a part that was written late, but not for the time without any', () => {
		const late = new LinkPacer(linkMbps);
		late.onWritten(partBytes, 1000);
		late.onWritten(partBytes, 1030);
		expect(late.delayMs(1030)).to.equal(0);
		const idle = new LinkPacer(linkMbps);
		idle.onWritten(partBytes, 1000);
		idle.onWritten(partBytes, 5000);
		expect(idle.delayMs(5000)).to.be.above(0);
	});
});

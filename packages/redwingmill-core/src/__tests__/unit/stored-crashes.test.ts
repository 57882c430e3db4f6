import {expect} from 'chai';
import {mergeStoredCrashes, reportsOfStored, type SuspicionReport} from '../../index.js';

const hourMs = 3_600_000;

function reportOn(fingerprint: string, count: number, ageMs: number): SuspicionReport {
	return {isCleared: false, fingerprint, crashes: [{node: 'a', incarnation: 1, count}], ageMs};
}

describe('stored crashes', () => {
	it('keep the larger count and the later crash of two reports on a request', () => {
		const first = mergeStoredCrashes([], [reportOn('x', 3, 0)], hourMs);
		const merged = mergeStoredCrashes(first, [reportOn('x', 2, 500)], hourMs + 100);
		expect(merged).to.deep.equal([
			{fingerprint: 'x', crashes: [{node: 'a', incarnation: 1, count: 3}], crashedAt: hourMs},
		]);
		expect(reportsOfStored(merged, hourMs + 2000)).to.deep.equal([reportOn('x', 3, 2000)]);
	});

	it('lose requests that are forgotten by now, and the oldest beyond their number', () => {
		const old = mergeStoredCrashes([], [reportOn('old', 3, 0)], 0);
		const reports = Array.from({length: 60}, (_, index) => reportOn(`${index}`, 3, index));
		const kept = mergeStoredCrashes(old, reports, 3 * hourMs).map(({fingerprint}) => fingerprint);
		expect(kept).to.have.length(50);
		expect(kept).to.include('0').and.not.to.include('59').and.not.to.include('old');
	});

	it('are recent to a node whose clock was set back', () => {
		const stored = mergeStoredCrashes([], [reportOn('x', 3, 0)], hourMs);
		expect(reportsOfStored(stored, 0)).to.deep.equal([reportOn('x', 3, 0)]);
	});
});

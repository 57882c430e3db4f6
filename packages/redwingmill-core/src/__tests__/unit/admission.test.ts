import {expect} from 'chai';
import {decideAdmission, type AdmissionInputs} from '../../call/admission.js';

function inputsWith(fields: Partial<AdmissionInputs>): AdmissionInputs {
	return {now: 1000, deadlineAt: 2200, targetAt: 1200, waitMs: 0, runMs: 60, ...fields};
}

describe('judgeAdmission', () => {
	it('admits a call that finds a free slot', () => {
		expect(decideAdmission(inputsWith({})).type).to.equal('admitted');
	});

	it('admits a call that meets its target in spite of the queue', () => {
		expect(decideAdmission(inputsWith({waitMs: 100})).type).to.equal('admitted');
	});

	it('refuses a call whose answer would come after the target, and says when there is room', () => {
		const verdict = decideAdmission(inputsWith({waitMs: 200}));
		expect(verdict).to.deep.equal({type: 'refused', reason: 'queue-too-slow', retryAfterMs: 60});
	});

	it('lets a call that is late already wait for a moment', () => {
		expect(decideAdmission(inputsWith({targetAt: 900, waitMs: 50})).type).to.equal('admitted');
		expect(decideAdmission(inputsWith({targetAt: 900, waitMs: 150})).type).to.equal('refused');
	});

	it('lets a call without a target wait up to its deadline', () => {
		expect(decideAdmission(inputsWith({targetAt: undefined, waitMs: 1100})).type).to.equal(
			'admitted',
		);
		const late = decideAdmission(inputsWith({targetAt: undefined, waitMs: 1190}));
		expect(late).to.include({type: 'refused', reason: 'deadline-too-close'});
	});

	it('gives no slot to a call that ends before it could be run', () => {
		const verdict = decideAdmission(inputsWith({deadlineAt: 1020}));
		expect(verdict).to.include({type: 'refused', reason: 'deadline-too-close'});
	});
});

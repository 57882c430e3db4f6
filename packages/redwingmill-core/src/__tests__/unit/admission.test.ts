import {expect} from 'chai';
import {decideAdmission, type AdmissionInputs} from '../../call/admission.js';

function inputsWith(fields: Partial<AdmissionInputs>): AdmissionInputs {
	return {
		now: 1000,
		deadlineAt: 2200,
		targetAt: 1200,
		waitMs: 0,
		runMs: 60,
		marginMs: 0,
		...fields,
	};
}

describe('decideAdmission', () => {
	it('admits a call when a slot is free', () => {
		expect(decideAdmission(inputsWith({})).type).to.equal('admitted');
	});

	it('admits a call that can meet its target despite the queue', () => {
		expect(decideAdmission(inputsWith({waitMs: 100})).type).to.equal('admitted');
	});

	it('refuses a call that would miss its target and returns when to retry', () => {
		const decision = decideAdmission(inputsWith({waitMs: 200}));
		expect(decision).to.deep.equal({type: 'refused', reason: 'queue-too-slow', retryAfterMs: 60});
	});

	it('lets a call that has already missed its target wait briefly', () => {
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

	it('refuses a call whose deadline is too close for it to run, even if a slot is free', () => {
		const decision = decideAdmission(inputsWith({deadlineAt: 1020}));
		expect(decision).to.include({type: 'refused', reason: 'deadline-too-close'});
	});
});

import {expect} from 'chai';
import {formatAnswer, parseAnswer, type AnswerHeader} from '../../call/answer-header.js';
import {formatAttempt, parseAttempt, type AttemptHeader} from '../../call/attempt-header.js';

const attempt: AttemptHeader = {
	id: 'a;b/7',
	service: 'coding',
	group: '/codes;x/',
	rank: 1,
	deadlineMs: 500,
	targetMs: -20,
	caller: 'diary, main',
	ticket: 4,
	incarnation: 1_775_726_659_321_288,
	crashedNodes: ['10.0.0.1:7000', '10.0.0.2:7000'],
};

describe('headers between nodes', () => {
	it('gives back an attempt as it was', () => {
		expect(parseAttempt(formatAttempt(attempt))).to.deep.equal(attempt);
	});

	it('gives back an attempt that has only what it must have', () => {
		const {ticket, incarnation, targetMs, caller, ...rest} = attempt;
		const bare = {...rest, crashedNodes: []};
		const parsed = parseAttempt(formatAttempt(bare));
		expect(parsed).to.deep.equal({
			...bare,
			caller: undefined,
			ticket: undefined,
			incarnation: undefined,
			targetMs: undefined,
		});
	});

	it('takes nothing else for an attempt', () => {
		for (const text of [
			'',
			';',
			'id',
			'id;service;group;;;x;y',
			'id;service;group;;',
			'%;s;g;;;1;2',
		]) {
			expect(parseAttempt(text), text).to.equal(undefined);
		}
	});

	it('gives back an answer as it was', () => {
		const answers: readonly AnswerHeader[] = [
			{
				outcome: {type: 'ran'},
				ranMs: 12.5,
				retryAfterMs: undefined,
				load: {callsPerSlot: 1.5, waitMs: 20, runMs: 60, failureShare: 0.25},
			},
			{
				outcome: {type: 'not-run', reason: 'queue-too-slow'},
				retryAfterMs: 120,
				ranMs: undefined,
				load: undefined,
			},
			{
				outcome: {type: 'unknown', reason: 'worker-died'},
				retryAfterMs: undefined,
				ranMs: undefined,
				load: undefined,
			},
		];
		for (const answer of answers) {
			expect(parseAnswer(formatAnswer(answer))).to.deep.equal(answer);
		}
	});

	it('takes an answer that says nothing sure for one of a call that may have run', () => {
		for (const text of ['', 'done', 'not-run;because;;;;;']) {
			expect(parseAnswer(text).outcome.type, text).to.equal('unknown');
		}
	});
});

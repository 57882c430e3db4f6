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
	it('parses a formatted attempt back to an equal one', () => {
		expect(parseAttempt(formatAttempt(attempt))).to.deep.equal(attempt);
	});

	it('parses a formatted attempt without its optional fields', () => {
		const {ticket, incarnation, targetMs, caller, ...rest} = attempt;
		const minimal = {...rest, crashedNodes: []};
		const parsed = parseAttempt(formatAttempt(minimal));
		expect(parsed).to.deep.equal({
			...minimal,
			caller: undefined,
			ticket: undefined,
			incarnation: undefined,
			targetMs: undefined,
		});
	});

	it('parses a formatted attempt with the limit that the entry node knows of', () => {
		const limited = {...attempt, knownLimit: {worker: 'i-1;/1000', perSecond: 20.6}};
		expect(parseAttempt(formatAttempt(limited))).to.deep.equal(limited);
	});

	it('rejects malformed attempts', () => {
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

	it('parses a formatted answer back to an equal one', () => {
		const answers: readonly AnswerHeader[] = [
			{
				outcome: {type: 'ran'},
				ranMs: 12.5,
				retryAfterMs: undefined,
				load: {callsPerSlot: 1.5, waitMs: 20, runMs: 60, failureShare: 0.25},
				heldMs: 40.25,
			},
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
		const allowance = {perSecond: 20.6, waitMs: -40.5};
		const limited: AnswerHeader = {
			...answers[0],
			load: {callsPerSlot: 1, waitMs: 2, runMs: 3, failureShare: 0, allowance},
			notice: {worker: 'i-1;/1000', limitPerSecond: 20.6, isLeaving: true},
		};
		const shared: AnswerHeader = {
			...answers[0],
			load: {callsPerSlot: 1, waitMs: 2, runMs: 3, failureShare: 0, hostTime: 1.75},
		};
		const leaving: AnswerHeader = {
			...answers[1],
			notice: {worker: 'i-1/', limitPerSecond: undefined, isLeaving: true},
		};
		for (const answer of [...answers, limited, shared, leaving]) {
			expect(parseAnswer(formatAnswer(answer))).to.deep.equal(answer);
		}
	});

	it('reads a malformed identity of a worker as absent', () => {
		expect(parseAnswer('ran;;;;1;2;3;0;%;5;1;;').notice).to.equal(undefined);
	});

	it('parses an answer without a valid outcome as unknown, since the call may have run', () => {
		for (const text of ['', 'done', 'not-run;because;;;;;']) {
			expect(parseAnswer(text).outcome.type, text).to.equal('unknown');
		}
	});
});

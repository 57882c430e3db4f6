import {expect} from 'chai';
import {formatAttempt, parseAttempt, type AttemptHeader} from '../../call/attempt-header.js';

function attemptWith(fields: Partial<AttemptHeader> = {}): AttemptHeader {
	return {
		id: 'a-1',
		service: 'orders',
		group: '/orders/',
		rank: 1,
		deadlineMs: 900,
		targetMs: 300,
		crashedNodes: [],
		...fields,
	};
}

describe('attempt header', () => {
	const workspace = {name: 'bakery; "north"', rank: 2};
	const knownLimit = {worker: 'w/7', perSecond: 1.5};
	const cases: ReadonlyArray<readonly [string, Partial<AttemptHeader>]> = [
		['nothing optional', {}],
		['a limit', {knownLimit}],
		['a workspace', {workspace}],
		['a workspace and a limit', {workspace, knownLimit}],
		['a large answer without a workspace', {isBulk: true}],
		['all of them', {workspace, knownLimit, isBulk: true}],
	];
	for (const [what, fields] of cases) {
		it(`is read as it was written with ${what}`, () => {
			const parsed = parseAttempt(formatAttempt(attemptWith(fields)));
			expect(parsed).to.deep.include(attemptWith(fields));
			expect(parsed?.workspace).to.deep.equal(fields.workspace);
			expect(parsed?.knownLimit).to.deep.equal(fields.knownLimit);
		});
	}
});

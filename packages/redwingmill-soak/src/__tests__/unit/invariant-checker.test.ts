import {expect} from 'chai';
import {
	crashingPathOf,
	InvariantChecker,
	responseBodyOf,
	type CallResult,
	type Expectation,
	type ObservedRun,
	type SentCall,
} from '../../invariant-checker.js';

function sentCall(fields: Partial<SentCall> = {}): SentCall {
	return {
		id: 'c1',
		host: 0,
		incarnation: 1,
		method: 'POST',
		path: '/second/c1',
		body: 'x',
		isIdempotent: false,
		caller: 'first',
		sentAt: 0,
		timeoutMs: 2000,
		expects: {type: 'always', service: 'second'},
		...fields,
	};
}

function runOf(call: SentCall, fields: Partial<ObservedRun> = {}): ObservedRun {
	const {id, method, path, body, caller} = call;
	const service = 'second';
	return {id, method, path, body, caller, service, instance: 'i-1', isHeldUp: false, ...fields};
}

function response(
	status: number,
	fields: Partial<Extract<CallResult, {type: 'answer'}>> = {},
): CallResult {
	return {type: 'answer', status, id: 'c1', body: responseBodyOf('c1', 'second'), ...fields};
}

function checkerOf(...calls: readonly SentCall[]): InvariantChecker {
	const checker = new InvariantChecker();
	for (const call of calls) {
		checker.onSent(call);
	}

	return checker;
}

function violatedInvariantsOf({breaches}: InvariantChecker): readonly string[] {
	return breaches.map(({promise}) => promise);
}

function versionCall(id: string, version: number, sentAt: number, incarnation = 1): SentCall {
	const expects: Expectation = {type: 'version', service: 'second', version};
	return sentCall({
		id,
		path: `/version-${version}/`,
		isIdempotent: true,
		sentAt,
		incarnation,
		expects,
	});
}

describe('InvariantChecker', () => {
	it('accepts a call that ran once and got its own response', () => {
		const checker = checkerOf(sentCall());
		checker.onRun(runOf(sentCall()), 5);
		checker.onEnd('c1', response(200), 10);
		expect(checker.breaches).to.deep.equal([]);
		expect([...checker.ends]).to.deep.equal([['200', 1]]);
	});

	it('reports a second run of a call that is not idempotent', () => {
		const checker = checkerOf(sentCall());
		checker.onRun(runOf(sentCall()), 5);
		checker.onRun(runOf(sentCall()), 6);
		expect(violatedInvariantsOf(checker)).to.deep.equal(['ran-twice']);
	});

	it('accepts several runs of an idempotent call', () => {
		const call = sentCall({isIdempotent: true});
		const checker = checkerOf(call);
		checker.onRun(runOf(call), 5);
		checker.onRun(runOf(call), 6);
		expect(checker.breaches).to.deep.equal([]);
	});

	it('reports a refusal of a call that ran, whichever is observed first', () => {
		const before = checkerOf(sentCall());
		before.onRun(runOf(sentCall()), 5);
		before.onEnd('c1', response(503), 6);
		expect(violatedInvariantsOf(before)).to.deep.equal(['refused-but-ran']);
		const after = checkerOf(sentCall());
		after.onEnd('c1', response(429), 5);
		after.onRun(runOf(sentCall()), 6);
		expect(violatedInvariantsOf(after)).to.deep.equal(['refused-but-ran']);
	});

	it('reports responses that belong to another call or are truncated', () => {
		const mismatched = checkerOf(sentCall());
		mismatched.onEnd('c1', response(200, {id: 'c2'}), 5);
		expect(violatedInvariantsOf(mismatched)).to.deep.equal(['not-the-workers-answer']);
		const truncated = checkerOf(sentCall());
		truncated.onEnd('c1', response(200, {body: 'second ran'}), 5);
		expect(violatedInvariantsOf(truncated)).to.deep.equal(['not-the-workers-answer']);
	});

	it('reports runs of calls that were never sent or were altered on the way', () => {
		const changes = [{id: 'c9'}, {body: 'y'}, {method: 'PUT'}, {path: '/x/'}, {caller: 'third'}];
		for (const change of changes) {
			const checker = checkerOf(sentCall());
			checker.onRun(runOf(sentCall(), change), 5);
			expect(violatedInvariantsOf(checker), JSON.stringify(change)).to.deep.equal(['unasked']);
		}
	});

	it('reports a run by a worker of another service', () => {
		const checker = checkerOf(sentCall());
		checker.onRun(runOf(sentCall(), {service: 'third'}), 5);
		expect(violatedInvariantsOf(checker)).to.deep.equal(['wrong-service']);
	});

	it('reports runs at a worker that left, unless they may have been delayed', () => {
		const checker = checkerOf(sentCall());
		checker.onLeaveAcknowledged('i-1', 100);
		checker.onRun(runOf(sentCall()), 100);
		expect(checker.breaches).to.deep.equal([]);
		const late = checkerOf(sentCall());
		late.onLeaveAcknowledged('i-1', 100);
		late.onRun(runOf(sentCall()), 101);
		expect(violatedInvariantsOf(late)).to.deep.equal(['ran-after-leaving']);
		const delayed = checkerOf(sentCall());
		delayed.onLeaveAcknowledged('i-1', 100);
		delayed.onRun(runOf(sentCall(), {isHeldUp: true}), 101);
		expect(delayed.breaches).to.deep.equal([]);
	});

	it('reports a request that hosts in touch send on after its third crash', () => {
		const runs = (disruptedUntil: (host: number) => number, isHeldUp = false) => {
			const checker = new InvariantChecker(disruptedUntil);
			for (let index = 0; index < 7; index++) {
				const call = sentCall({id: `c${index}`, path: `/second/${crashingPathOf(1)}`});
				checker.onSent(call);
				checker.onRun(runOf(call, {isHeldUp}), 10_000 + (index < 3 ? index : index * 2000));
			}

			return violatedInvariantsOf(checker);
		};

		expect(runs(() => 0)).to.deep.equal(['sent-after-crashes']);
		expect(runs(() => 15_000)).to.deep.equal([]);
		expect(runs(() => 0, true)).to.deep.equal([]);
	});

	it('counts the crashes of a request by its caller and body as well as its path', () => {
		const checker = new InvariantChecker(() => 0);
		for (let index = 0; index < 14; index++) {
			const path = `/second/${crashingPathOf(1)}`;
			const fields = index % 2 === 0 ? {caller: 'other'} : {body: 'other'};
			const call = sentCall({id: `c${index}`, path, ...fields});
			checker.onSent(call);
			checker.onRun(runOf(call), 10_000 + (index < 6 ? index : index * 1000));
			// Three crashes and three runs after them are allowed to each of the two requests.
			expect(checker.breaches.length, `run ${index}`).to.equal(Math.max(0, index - 11));
		}

		expect(new Set(violatedInvariantsOf(checker))).to.deep.equal(new Set(['sent-after-crashes']));
	});

	it('reports a call pending beyond its timeout, unless its host was disrupted after it was sent', () => {
		const checker = checkerOf(sentCall({sentAt: 1000}));
		checker.checkPending(5000, () => -Infinity);
		checker.checkPending(6000, () => 1001);
		expect(checker.breaches).to.deep.equal([]);
		checker.checkPending(6000, () => 999);
		checker.checkPending(7000, () => 999);
		expect(violatedInvariantsOf(checker)).to.deep.equal(['held-too-long']);
	});

	it('reports an older version after a newer one within one incarnation of a node', () => {
		const calls = [versionCall('c1', 2, 0), versionCall('c2', 1, 11), versionCall('c3', 1, 9)];
		const checker = checkerOf(...calls, versionCall('c4', 1, 20, 2));
		const success = (id: string) => response(200, {id, body: responseBodyOf(id, 'second')});
		checker.onEnd('c1', success('c1'), 10);
		checker.onEnd('c3', success('c3'), 12);
		checker.onEnd('c4', success('c4'), 21);
		expect(checker.breaches).to.deep.equal([]);
		checker.onEnd('c2', success('c2'), 13);
		expect(violatedInvariantsOf(checker)).to.deep.equal(['version-went-back']);
	});

	it('reports status 404 for a route that every version has', () => {
		const checker = checkerOf(sentCall());
		checker.onEnd('c1', response(404), 5);
		expect(violatedInvariantsOf(checker)).to.deep.equal(['refused-as-unknown']);
	});

	it('reports calls that ran and were interrupted during the fault-free phase', () => {
		const results: readonly CallResult[] = [
			{type: 'broken'},
			response(502),
			response(504),
			{type: 'left'},
		];
		const violated = results.map((result) => {
			const checker = new InvariantChecker();
			checker.setFaultFree(true);
			checker.onSent(sentCall());
			checker.onRun(runOf(sentCall()), 5);
			checker.onEnd('c1', result, 6);
			return violatedInvariantsOf(checker).join(',');
		});
		expect(violated).to.deep.equal(['cut-while-calm', 'cut-while-calm', 'cut-while-calm', '']);
	});
});

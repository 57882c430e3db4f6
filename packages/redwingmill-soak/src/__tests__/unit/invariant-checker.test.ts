import {expect} from 'chai';
import {
	responseBodyOf,
	InvariantChecker,
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

function answer(
	status: number,
	fields: Partial<Extract<CallResult, {type: 'answer'}>> = {},
): CallResult {
	return {type: 'answer', status, id: 'c1', body: responseBodyOf('c1', 'second'), ...fields};
}

function checkerOf(...calls: readonly SentCall[]): InvariantChecker {
	const watch = new InvariantChecker();
	for (const call of calls) {
		watch.onSent(call);
	}

	return watch;
}

function violatedInvariantsOf({breaches}: InvariantChecker): readonly string[] {
	return breaches.map(({promise}) => promise);
}

function versionCall(id: string, version: number, sentAt: number, life = 1): SentCall {
	const expects: Expectation = {type: 'version', service: 'second', version};
	return sentCall({
		id,
		path: `/version-${version}/`,
		isIdempotent: true,
		sentAt,
		incarnation: life,
		expects,
	});
}

describe('PromiseWatch', () => {
	it('is content with one run and its own answer', () => {
		const watch = checkerOf(sentCall());
		watch.onRun(runOf(sentCall()), 5);
		watch.onEnd('c1', answer(200), 10);
		expect(watch.breaches).to.deep.equal([]);
		expect([...watch.ends]).to.deep.equal([['200', 1]]);
	});

	it('finds a second run of what may run once', () => {
		const watch = checkerOf(sentCall());
		watch.onRun(runOf(sentCall()), 5);
		watch.onRun(runOf(sentCall()), 6);
		expect(violatedInvariantsOf(watch)).to.deep.equal(['ran-twice']);
	});

	it('allows more runs of what may be repeated', () => {
		const call = sentCall({isIdempotent: true});
		const watch = checkerOf(call);
		watch.onRun(runOf(call), 5);
		watch.onRun(runOf(call), 6);
		expect(watch.breaches).to.deep.equal([]);
	});

	it('finds a refusal of what ran, whichever is seen first', () => {
		const before = checkerOf(sentCall());
		before.onRun(runOf(sentCall()), 5);
		before.onEnd('c1', answer(503), 6);
		expect(violatedInvariantsOf(before)).to.deep.equal(['refused-but-ran']);
		const after = checkerOf(sentCall());
		after.onEnd('c1', answer(429), 5);
		after.onRun(runOf(sentCall()), 6);
		expect(violatedInvariantsOf(after)).to.deep.equal(['refused-but-ran']);
	});

	it('finds answers that are another call’s, or cut short', () => {
		const foreign = checkerOf(sentCall());
		foreign.onEnd('c1', answer(200, {id: 'c2'}), 5);
		expect(violatedInvariantsOf(foreign)).to.deep.equal(['not-the-workers-answer']);
		const short = checkerOf(sentCall());
		short.onEnd('c1', answer(200, {body: 'second ran'}), 5);
		expect(violatedInvariantsOf(short)).to.deep.equal(['not-the-workers-answer']);
	});

	it('finds runs that nobody asked for, or that were changed on the way', () => {
		const changes = [{id: 'c9'}, {body: 'y'}, {method: 'PUT'}, {path: '/x/'}, {caller: 'third'}];
		for (const change of changes) {
			const watch = checkerOf(sentCall());
			watch.onRun(runOf(sentCall(), change), 5);
			expect(violatedInvariantsOf(watch), JSON.stringify(change)).to.deep.equal(['unasked']);
		}
	});

	it('finds a run by another service', () => {
		const watch = checkerOf(sentCall());
		watch.onRun(runOf(sentCall(), {service: 'third'}), 5);
		expect(violatedInvariantsOf(watch)).to.deep.equal(['wrong-service']);
	});

	it('finds runs at a worker that left, unless they were held up', () => {
		const watch = checkerOf(sentCall());
		watch.onLeaveAcknowledged('i-1', 100);
		watch.onRun(runOf(sentCall()), 100);
		expect(watch.breaches).to.deep.equal([]);
		const late = checkerOf(sentCall());
		late.onLeaveAcknowledged('i-1', 100);
		late.onRun(runOf(sentCall()), 101);
		expect(violatedInvariantsOf(late)).to.deep.equal(['ran-after-leaving']);
		const heldUp = checkerOf(sentCall());
		heldUp.onLeaveAcknowledged('i-1', 100);
		heldUp.onRun(runOf(sentCall(), {isHeldUp: true}), 101);
		expect(heldUp.breaches).to.deep.equal([]);
	});

	it('finds a call without an end, once its host was calm for long enough', () => {
		const watch = checkerOf(sentCall({sentAt: 1000}));
		watch.checkPending(5000, () => -Infinity);
		watch.checkPending(6000, () => 1001);
		expect(watch.breaches).to.deep.equal([]);
		watch.checkPending(6000, () => 999);
		watch.checkPending(7000, () => 999);
		expect(violatedInvariantsOf(watch)).to.deep.equal(['held-too-long']);
	});

	it('finds an older version after a newer one, in one life of a node', () => {
		const calls = [versionCall('c1', 2, 0), versionCall('c2', 1, 11), versionCall('c3', 1, 9)];
		const watch = checkerOf(...calls, versionCall('c4', 1, 20, 2));
		const ok = (id: string) => answer(200, {id, body: responseBodyOf(id, 'second')});
		watch.onEnd('c1', ok('c1'), 10);
		watch.onEnd('c3', ok('c3'), 12);
		watch.onEnd('c4', ok('c4'), 21);
		expect(watch.breaches).to.deep.equal([]);
		watch.onEnd('c2', ok('c2'), 13);
		expect(violatedInvariantsOf(watch)).to.deep.equal(['version-went-back']);
	});

	it('finds a refusal of a route that every version has', () => {
		const watch = checkerOf(sentCall());
		watch.onEnd('c1', answer(404), 5);
		expect(violatedInvariantsOf(watch)).to.deep.equal(['refused-as-unknown']);
	});

	it('finds calls that ran and were cut while only planned work went on', () => {
		const ends: readonly CallResult[] = [
			{type: 'broken'},
			answer(502),
			answer(504),
			{type: 'left'},
		];
		const found = ends.map((end) => {
			const watch = new InvariantChecker();
			watch.setFaultFree(true);
			watch.onSent(sentCall());
			watch.onRun(runOf(sentCall()), 5);
			watch.onEnd('c1', end, 6);
			return violatedInvariantsOf(watch).join(',');
		});
		expect(found).to.deep.equal(['cut-while-calm', 'cut-while-calm', 'cut-while-calm', '']);
	});
});

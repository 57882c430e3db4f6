import {expect} from 'chai';
import {defaultGateLimits, Gate, type GateCall, type GateEffect} from '../../index.js';

const targetMs = 60;
/** Run time that a gate assumes until the first call has finished. */
const initialRunMs = 20;

function gateWith(slots: number): Gate<string> {
	const gate = new Gate<string>(defaultGateLimits, {node: 'own', incarnation: 1}, 0);
	gate.setWorker({service: 'coding', address: 'worker', slots, state: 'ready'}, 0);
	return gate;
}

function callWith(id: string, fields: Partial<GateCall> = {}): GateCall {
	return {
		id,
		service: 'coding',
		group: '',
		rank: 1,
		deadlineAt: 1e6,
		crashedNodes: [],
		fingerprint: () => id,
		...fields,
	};
}

function refusals(effects: ReadonlyArray<GateEffect<string>>) {
	return effects.flatMap((effect) => {
		if (effect.type !== 'answer' || effect.answer.outcome.type !== 'not-run') {
			return [];
		}

		const {outcome, retryAfterMs} = effect.answer;
		return [{reason: outcome.reason, retryAfterMs}];
	});
}

/** Submits calls until one is refused, and returns the refusal. */
function fillWith(gate: Gate<string>, fields: Partial<GateCall>, name: string) {
	for (let index = 0; index < 100; index += 1) {
		const [refusal] = refusals(gate.submit(callWith(`${name} ${index}`, fields), 0));
		if (refusal) {
			return refusal;
		}
	}

	throw new Error('no call was refused');
}

describe('Gate with workspaces', () => {
	it('admits calls of a calm workspace while those of a hot one are refused', () => {
		const gate = gateWith(2);
		const hot = {workspace: {name: 'hot', rank: 1}, targetAt: targetMs};
		const calm = {workspace: {name: 'calm', rank: 1}, targetAt: targetMs};
		expect(fillWith(gate, hot, 'hot').reason).to.equal('queue-too-slow');
		const effects = gate.submit(callWith('calm', calm), 0);
		// The queue is full: a call of the hot workspace makes room.
		expect(effects).to.have.length(1);
		expect(effects[0]).to.have.property('key').that.matches(/^hot/v);
		expect(fillWith(gate, hot, 'hot again').reason).to.equal('queue-too-slow');
	});

	it('admits no more calls of a hot workspace than its share of the worker runs in time', () => {
		const gate = gateWith(1);
		const hot = {workspace: {name: 'hot', rank: 1}, targetAt: 1e6};
		const calm = {workspace: {name: 'calm', rank: 1}, targetAt: 1e6};
		const answered = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;
		// Of the calls that are sent, two thirds are of the calm workspace.
		for (let round = 0; round < 30; round += 1) {
			for (const [id, fields] of [
				['hot', hot],
				['calm 1', calm],
				['calm 2', calm],
			] as const) {
				gate.submit(callWith(`${id} ${round}`, fields), 0);
				gate.finish(`${id} ${round}`, answered, initialRunMs);
			}
		}

		gate.submit(callWith('running', calm), 0);
		gate.submit(callWith('queued', {...hot, targetAt: 1000}), 0);
		// A call behind it expects to wait for both, and for two calls of the other workspace for each.
		const within = {...hot, targetAt: 150, deadlineAt: 1000};
		const [refusal] = refusals(gate.submit(callWith('refused', {...within, targetAt: 50}), 0));
		expect(refusal).to.equal(undefined);
		gate.submit(callWith('second', {...hot, targetAt: 40}), 0);
		const [later] = refusals(gate.submit(callWith('third', {...hot, targetAt: 60}), 0));
		expect(later.reason).to.equal('queue-too-slow');
	});

	it('states a longer retry time for a rank behind which more work waits', () => {
		const gate = gateWith(2);
		const urgent = {workspace: {name: 'urgent', rank: 0}, targetAt: targetMs};
		const slow = {workspace: {name: 'slow', rank: 400}, targetAt: targetMs, deadlineAt: targetMs};
		gate.submit(callWith('running 1', urgent), 0);
		gate.submit(callWith('running 2', urgent), 0);
		for (let index = 0; index < 20; index += 1) {
			gate.submit(callWith(`queued ${index}`, {...slow, deadlineAt: 1000, targetAt: 1000}), 0);
		}

		const waiting = gate.waitingCount;
		const [ofSlow] = refusals(gate.submit(callWith('slow', slow), 0));
		const [ofUrgent] = refusals(gate.submit(callWith('urgent', {...urgent, deadlineAt: 5}), 0));
		expect(ofSlow.retryAfterMs).to.equal(Math.max(200, ((waiting + 1) * initialRunMs) / 2));
		expect(ofUrgent.retryAfterMs).to.equal(200);
	});

	it('states the retry time of a single call without workspaces', () => {
		const gate = gateWith(1);
		const plain = {targetAt: 1000};
		for (let index = 0; index < 4; index += 1) {
			gate.submit(callWith(`plain ${index}`, plain), 0);
		}

		gate.finish('plain 0', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 300);
		// Three calls of 300 ms each are ahead: one runs, two wait.
		const [refusal] = refusals(gate.submit(callWith('late', {targetAt: 1000}), 300));
		expect(refusal).to.deep.equal({reason: 'queue-too-slow', retryAfterMs: 500});
	});

	it('returns to the order without workspaces for a new worker process', () => {
		const gate = gateWith(1);
		gate.submit(callWith('keyed', {workspace: {name: 'a', rank: 2}}), 0);
		gate.finish('keyed', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 300);
		gate.setWorker(
			{service: 'coding', address: 'other', slots: 1, state: 'ready', instance: 'new'},
			400,
		);
		gate.submit(callWith('running'), 400);
		gate.submit(callWith('waiting', {targetAt: 1000}), 400);
		const [refusal] = refusals(gate.submit(callWith('refused', {deadlineAt: 410}), 400));
		expect(refusal.reason).to.equal('deadline-too-close');
	});
});

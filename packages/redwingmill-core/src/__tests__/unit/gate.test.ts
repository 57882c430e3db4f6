import {expect} from 'chai';
import fc from 'fast-check';
import {
	defaultGateLimits,
	Gate,
	type GateCall,
	type GateEffect,
	type GateLimits,
} from '../../index.js';

const seed = 5;

function gateWith(slots: number, limits: Partial<GateLimits> = {}): Gate<string> {
	const gate = new Gate<string>({...defaultGateLimits, ...limits}, 'own', 0);
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

function dispatched(effects: ReadonlyArray<GateEffect<string>>): string[] {
	return effects.flatMap((effect) => (effect.type === 'dispatch' ? [effect.call.id] : []));
}

function answers(effects: ReadonlyArray<GateEffect<string>>): string[] {
	return effects.flatMap((effect) => {
		if (effect.type !== 'answer') {
			return [];
		}

		const {outcome} = effect.answer;
		return [outcome.type === 'ran' ? 'ran' : `${outcome.type} ${outcome.reason}`];
	});
}

describe('Gate', () => {
	it('gives the worker no more calls than it has slots', () => {
		const gate = gateWith(2);
		const all = ['a', 'b', 'c'].flatMap((id) => gate.submit(callWith(id), 0));
		expect(dispatched(all)).to.deep.equal(['a', 'b']);
		const next = gate.finish('a', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 10);
		expect(dispatched(next)).to.deep.equal(['c']);
	});

	it('runs urgent calls first, and bulk calls in the end', () => {
		const gate = gateWith(1);
		gate.submit(callWith('first'), 0);
		gate.submit(callWith('bulk', {rank: 2}), 0);
		const order: string[] = [];
		let running = 'first';
		for (let index = 0; index < 40 && running !== 'bulk'; index++) {
			gate.submit(callWith(`urgent ${index}`, {rank: 0}), 0);
			[running] = dispatched(
				gate.finish(running, {type: 'answered', payload: '', bytes: 0, isFailure: false}, 0),
			);
			order.push(running);
		}

		expect(order[0]).to.equal('urgent 0');
		expect(order.at(-1)).to.equal('bulk');
	});

	it('keeps room for bulk calls in a queue full of urgent ones', () => {
		const gate = gateWith(2);
		for (let index = 0; index < 20; index++) {
			gate.submit(callWith(`urgent ${index}`, {rank: 0}), 0);
		}

		const effects = gate.submit(callWith('bulk', {rank: 2}), 0);
		expect(answers(effects)).to.deep.equal([]);
	});

	it('refuses at once what can no longer be run in time', () => {
		const gate = gateWith(1);
		gate.submit(callWith('slow'), 0);
		gate.finish('slow', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1000);
		gate.submit(callWith('running'), 1000);
		const effects = gate.submit(callWith('late', {deadlineAt: 1010}), 1000);
		expect(answers(effects)).to.deep.equal(['not-run deadline-too-close']);
	});

	it('runs a ticket once and gives its answer again', () => {
		const gate = gateWith(2);
		const ticket = gate.issueTicket();
		expect(dispatched(gate.submit(callWith('a', {ticket}), 0))).to.deep.equal(['a']);
		expect(gate.submit(callWith('b', {ticket}), 0)).to.deep.equal([]);
		const key = gate.keyOf({id: 'a', ticket});
		gate.finish(key, {type: 'answered', payload: 'result', bytes: 6, isFailure: false}, 5);
		expect(answers(gate.submit(callWith('c', {ticket}), 10))).to.deep.equal(['ran']);
	});

	it('says unknown, not not-run, of a ticket that it has forgotten', () => {
		const gate = gateWith(1, {ticketRetentionMs: 100});
		const ticket = gate.issueTicket();
		gate.submit(callWith('a', {ticket}), 0);
		gate.finish(
			gate.keyOf({id: 'a', ticket}),
			{type: 'answered', payload: '', bytes: 0, isFailure: false},
			1,
		);
		gate.tick(1000);
		const effects = gate.submit(callWith('b', {ticket}), 1001);
		expect(answers(effects)).to.deep.equal(['unknown evicted']);
		expect(dispatched(effects)).to.deep.equal([]);
	});

	it('refuses a ticket that it never gave out', () => {
		const effects = gateWith(1).submit(callWith('a', {ticket: 7}), 0);
		expect(answers(effects)).to.deep.equal(['not-run ticket-invalid']);
	});

	it('lets a ticket be used again when its call was not run', () => {
		const gate = gateWith(1);
		const ticket = gate.issueTicket();
		gate.submit(callWith('a', {ticket}), 0);
		gate.finish(gate.keyOf({id: 'a', ticket}), {type: 'shed'}, 1);
		expect(dispatched(gate.submit(callWith('b', {ticket}), 2))).to.deep.equal(['b']);
	});

	it('refuses a withdrawn attempt that arrives late', () => {
		const gate = gateWith(1);
		expect(gate.withdraw({id: 'a'}, 10, 100).type).to.equal('never-admitted');
		expect(answers(gate.submit(callWith('a'), 101))).to.deep.equal(['not-run withdrawn']);
	});

	it('does not claim that it never saw what it may have forgotten', () => {
		const gate = gateWith(1, {retentionMs: 100});
		gate.submit(callWith('a'), 0);
		gate.finish('a', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1);
		gate.tick(1000);
		expect(gate.withdraw({id: 'a'}, 1000, 1000).type).to.equal('forgotten');
	});

	it('quarantines a request that crashed two workers, and runs a suspect alone', () => {
		const gate = gateWith(3);
		gate.onCrashReport('poison', 'another', false, 0);
		gate.onCrashReport('innocent', 'another', false, 0);
		gate.submit(callWith('other'), 2);
		const held = gate.submit(callWith('poison 2', {fingerprint: () => 'poison'}), 2);
		expect(dispatched(held)).to.deep.equal([]);
		const alone = gate.finish(
			'other',
			{type: 'answered', payload: '', bytes: 0, isFailure: false},
			3,
		);
		expect(dispatched(alone)).to.deep.equal(['poison 2']);
		gate.finish('poison 2', {type: 'died'}, 4);
		const again = gate.submit(callWith('poison 3', {fingerprint: () => 'poison'}), 5);
		expect(answers(again)).to.deep.equal(['not-run quarantined']);
		const innocent = gate.submit(callWith('innocent 2', {fingerprint: () => 'innocent'}), 5);
		expect(dispatched(innocent)).to.deep.equal(['innocent 2']);
	});

	it('blames the worker for a request that ran well before', () => {
		const gate = gateWith(3);
		gate.submit(callWith('good', {fingerprint: () => 'usual'}), 0);
		gate.finish('good', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1);
		gate.submit(callWith('bad', {fingerprint: () => 'usual'}), 2);
		const effects = gate.finish('bad', {type: 'died'}, 3);
		expect(effects.some((effect) => effect.type === 'suspect')).to.equal(false);
		const contradiction = gate.onCrashReport('usual', 'another', false, 4);
		expect(contradiction).to.deep.equal([{type: 'suspect', fingerprint: 'usual', isCleared: true}]);
		const next = gate.submit(callWith('next', {fingerprint: () => 'usual'}), 5);
		expect(dispatched(next)).to.deep.equal(['next']);
	});

	it('does not quarantine for crashes of one worker alone', () => {
		const gate = gateWith(1);
		for (const id of ['one', 'two', 'three']) {
			const effects = gate.submit(callWith(id, {fingerprint: () => 'same'}), 0);
			expect(dispatched(effects)).to.deep.equal([id]);
			gate.finish(id, {type: 'died'}, 1);
		}
	});

	it("takes no worker's word that has run nothing well since it last died", () => {
		const gate = gateWith(2);
		const spread = (effects: ReadonlyArray<GateEffect<string>>) =>
			effects.flatMap((effect) => (effect.type === 'suspect' ? [effect.fingerprint] : []));
		gate.submit(callWith('never'), 0);
		expect(spread(gate.finish('never', {type: 'died'}, 1))).to.deep.equal([]);
		gate.submit(callWith('good'), 1000);
		gate.finish('good', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1001);
		gate.submit(callWith('a'), 1002);
		gate.submit(callWith('b'), 1002);
		expect(spread(gate.finish('a', {type: 'died'}, 1003))).to.deep.equal(['a']);
		expect(spread(gate.finish('b', {type: 'died'}, 1004))).to.deep.equal(['b']);
		gate.submit(callWith('c'), 5000);
		expect(spread(gate.finish('c', {type: 'died'}, 5001))).to.deep.equal([]);
	});

	it('lets a cleared request through again', () => {
		const gate = gateWith(1);
		gate.onCrashReport('same', 'first', false, 0);
		gate.onCrashReport('same', 'second', false, 0);
		const refused = gate.submit(callWith('one', {fingerprint: () => 'same'}), 1);
		expect(answers(refused)).to.deep.equal(['not-run quarantined']);
		gate.onCrashReport('same', 'third', true, 2);
		const effects = gate.submit(callWith('two', {fingerprint: () => 'same'}), 3);
		expect(dispatched(effects)).to.deep.equal(['two']);
	});

	it('hands back a call that others overtake instead of holding it to its end', () => {
		const gate = gateWith(1, {});
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('overtaken', {rank: 2, targetAt: 100, deadlineAt: 2000}), 0);
		gate.submit(callWith('urgent', {rank: 0}), 0);
		expect(answers(gate.tick(150))).to.deep.equal([]);
		expect(answers(gate.tick(250))).to.deep.equal(['not-run waited-too-long']);
	});

	it('gives a worker that has stopped answering one call now and then, and no more', () => {
		const gate = gateWith(2);
		for (const [index, id] of ['warm', 'a', 'b', 'c'].entries()) {
			gate.submit(callWith(id), index);
		}

		gate.finish('warm', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 50);
		expect(answers(gate.tick(400))).to.deep.equal([]);
		expect(answers(gate.tick(600))).to.deep.equal(['not-run worker-stalled']);
		expect(answers(gate.submit(callWith('d'), 610))).to.deep.equal([]);
		gate.finish('a', {type: 'timed-out'}, 700);
		expect(answers(gate.submit(callWith('e'), 720))).to.deep.equal(['not-run worker-stalled']);
		gate.finish('b', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 800);
		expect(answers(gate.submit(callWith('f'), 810))).to.deep.equal([]);
	});

	it('refuses what waits when the worker leaves, and lets what runs finish', () => {
		const gate = gateWith(1);
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('waiting'), 0);
		const worker = {service: 'coding', address: 'worker', slots: 1, state: 'draining'} as const;
		expect(answers(gate.setWorker(worker, 1))).to.deep.equal(['not-run draining']);
		expect(answers(gate.submit(callWith('new'), 2))).to.deep.equal(['not-run draining']);
		const done = gate.finish(
			'running',
			{type: 'answered', payload: '', bytes: 0, isFailure: false},
			3,
		);
		expect(answers(done)).to.deep.equal(['ran']);
		expect(gate.isIdle).to.equal(true);
	});

	it('never runs more than its slots, and answers every call once, in any order of events', () => {
		const anyEvent = fc.record({
			kind: fc.constantFrom('arrive' as const, 'finish' as const, 'shed' as const, 'tick' as const),
			rank: fc.constantFrom(0, 1, 2),
			afterMs: fc.nat({max: 50}),
		});
		fc.assert(
			fc.property(
				fc.array(anyEvent, {maxLength: 80}),
				fc.integer({min: 1, max: 4}),
				(events, slots) => {
					const gate = gateWith(slots);
					const running = new Set<string>();
					const answered = new Map<string, number>();
					let now = 0;
					const apply = (effects: ReadonlyArray<GateEffect<string>>) => {
						for (const effect of effects) {
							if (effect.type === 'dispatch') {
								running.add(effect.call.id);
							} else if (effect.type === 'answer') {
								running.delete(effect.key);
								answered.set(effect.key, (answered.get(effect.key) ?? 0) + 1);
							}
						}
					};

					for (const [index, {kind, rank, afterMs}] of events.entries()) {
						now += afterMs;
						const [first] = running;
						if (kind === 'arrive') {
							apply(gate.submit(callWith(`call ${index}`, {rank, deadlineAt: now + 200}), now));
						} else if (kind === 'tick') {
							apply(gate.tick(now));
						} else if (first !== undefined) {
							running.delete(first);
							apply(
								gate.finish(
									first,
									kind === 'shed'
										? {type: 'shed'}
										: {type: 'answered', payload: '', bytes: 0, isFailure: false},
									now,
								),
							);
						}

						expect(gate.runningCount).to.be.at.most(slots);
					}

					for (const [key, count] of answered) {
						expect(count, key).to.equal(1);
					}
				},
			),
			{seed, numRuns: 300},
		);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {
	defaultGateLimits,
	Gate,
	type CrashReport,
	type GateCall,
	type GateEffect,
	type GateLimits,
	type Worker,
} from '../../index.js';

const seed = 5;

function gateWith(slots: number, limits: Partial<GateLimits> = {}): Gate<string> {
	const gate = new Gate<string>(
		{...defaultGateLimits, ...limits},
		{node: 'own', incarnation: 1},
		0,
	);
	gate.setWorker({service: 'coding', address: 'worker', slots, state: 'ready'}, 0);
	return gate;
}

function workerOf(service: string, instance: string): Worker {
	return {service, address: 'worker', slots: 2, state: 'ready', instance};
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

function crashReport(fingerprint: string, node: string, count = 1): CrashReport {
	return {isCleared: false, fingerprint, crashes: [{node, incarnation: 1, count}], ageMs: 0};
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
	it('dispatches no more calls than the worker has slots', () => {
		const gate = gateWith(2);
		const all = ['a', 'b', 'c'].flatMap((id) => gate.submit(callWith(id), 0));
		expect(dispatched(all)).to.deep.equal(['a', 'b']);
		const next = gate.finish('a', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 10);
		expect(dispatched(next)).to.deep.equal(['c']);
	});

	it('dispatches urgent calls first without starving bulk calls', () => {
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

	it('reserves capacity for bulk calls in a queue full of urgent ones', () => {
		const gate = gateWith(2);
		for (let index = 0; index < 20; index++) {
			gate.submit(callWith(`urgent ${index}`, {rank: 0}), 0);
		}

		const effects = gate.submit(callWith('bulk', {rank: 2}), 0);
		expect(answers(effects)).to.deep.equal([]);
	});

	it('refuses at once a call that cannot meet its deadline', () => {
		const gate = gateWith(1);
		gate.submit(callWith('slow'), 0);
		gate.finish('slow', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1000);
		gate.submit(callWith('running'), 1000);
		const effects = gate.submit(callWith('late', {deadlineAt: 1010}), 1000);
		expect(answers(effects)).to.deep.equal(['not-run deadline-too-close']);
	});

	it('runs a call with a ticket once and returns its answer to repeated attempts', () => {
		const gate = gateWith(2);
		const ticket = gate.issueTicket();
		expect(dispatched(gate.submit(callWith('a', {ticket}), 0))).to.deep.equal(['a']);
		expect(gate.submit(callWith('b', {ticket}), 0)).to.deep.equal([]);
		const key = gate.keyOf({id: 'a', ticket});
		gate.finish(key, {type: 'answered', payload: 'result', bytes: 6, isFailure: false}, 5);
		expect(answers(gate.submit(callWith('c', {ticket}), 10))).to.deep.equal(['ran']);
	});

	it('answers unknown rather than not-run for a ticket that it has evicted', () => {
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

	it('refuses a ticket that it never issued', () => {
		const effects = gateWith(1).submit(callWith('a', {ticket: 7}), 0);
		expect(answers(effects)).to.deep.equal(['not-run ticket-invalid']);
	});

	it('lets a ticket be reused when its call was not run', () => {
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

	it('answers forgotten rather than never-admitted for an attempt that it may have evicted', () => {
		const gate = gateWith(1, {retentionMs: 100});
		gate.submit(callWith('a'), 0);
		gate.finish('a', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1);
		gate.tick(1000);
		expect(gate.withdraw({id: 'a'}, 1000, 1000).type).to.equal('forgotten');
	});

	it('quarantines a request that crashed two workers and runs suspected requests alone', () => {
		const gate = gateWith(3);
		gate.onCrashReport(crashReport('poison', 'another'), 'another', 0);
		gate.onCrashReport(crashReport('innocent', 'another'), 'another', 0);
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

	it('contradicts reports of crashes before a success, and counts those after it', () => {
		const gate = gateWith(3);
		gate.submit(callWith('good', {fingerprint: () => 'usual'}), 0);
		gate.finish('good', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 5);
		const earlier = {...crashReport('usual', 'another'), ageMs: 4};
		expect(gate.onCrashReport(earlier, 'another', 8)).to.deep.equal([
			{type: 'suspect', report: {isCleared: true, fingerprint: 'usual'}},
		]);
		gate.submit(callWith('bad', {fingerprint: () => 'usual'}), 9);
		const effects = gate.finish('bad', {type: 'died'}, 10);
		expect(effects.some((effect) => effect.type === 'suspect')).to.equal(true);
	});

	it('does not quarantine for crashes of one worker alone', () => {
		const gate = gateWith(1);
		for (const id of ['one', 'two', 'three']) {
			const effects = gate.submit(callWith(id, {fingerprint: () => 'same'}), 0);
			expect(dispatched(effects)).to.deep.equal([id]);
			gate.finish(id, {type: 'died'}, 1);
		}
	});

	it('reports no crash of a worker that has run nothing successfully since its last crash', () => {
		const gate = gateWith(2);
		const reportedBy = (effects: ReadonlyArray<GateEffect<string>>) =>
			effects.flatMap((effect) => (effect.type === 'suspect' ? [effect.report.fingerprint] : []));
		gate.submit(callWith('never'), 0);
		expect(reportedBy(gate.finish('never', {type: 'died'}, 1))).to.deep.equal([]);
		gate.submit(callWith('good'), 1000);
		gate.finish('good', {type: 'answered', payload: '', bytes: 0, isFailure: false}, 1001);
		gate.submit(callWith('a'), 1002);
		gate.submit(callWith('b'), 1002);
		expect(reportedBy(gate.finish('a', {type: 'died'}, 1003))).to.deep.equal(['a']);
		expect(reportedBy(gate.finish('b', {type: 'died'}, 1004))).to.deep.equal(['b']);
		gate.submit(callWith('c'), 5000);
		expect(reportedBy(gate.finish('c', {type: 'died'}, 5001))).to.deep.equal([]);
	});

	it('counts each crash of the same worker on a request, on this node and on others', () => {
		const gate = gateWith(1, {deathsToQuarantine: 3, isolatesSuspects: false});
		const runs = (id: string, result: 'sound' | 'crash', now: number) => {
			const effects = gate.submit(callWith(id, {fingerprint: () => result}), now);
			const answered = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;
			gate.finish(id, result === 'sound' ? answered : {type: 'died'}, now);
			return answers(effects);
		};

		for (const index of [1, 2, 3]) {
			expect(runs(`sound ${index}`, 'sound', index * 1000)).to.deep.equal([]);
			expect(runs(`crash ${index}`, 'crash', index * 1000 + 500)).to.deep.equal([]);
		}

		expect(runs('crash 4', 'crash', 9000)).to.deep.equal(['not-run quarantined']);
		const other = gateWith(1, {deathsToQuarantine: 3});
		other.onCrashReport(crashReport('crash', 'own', 3), 'own', 9000);
		const refused = other.submit(callWith('crash 5', {fingerprint: () => 'crash'}), 9001);
		expect(answers(refused)).to.deep.equal(['not-run quarantined']);
	});

	it('keeps a request suspected that a worker failed or gave up without crashing', () => {
		const gate = gateWith(1, {isolatesSuspects: false});
		const answered = {type: 'answered', payload: '', bytes: 0} as const;
		gate.onCrashReport(crashReport('poison', 'another'), 'another', 0);
		gate.submit(callWith('failed', {fingerprint: () => 'poison'}), 1);
		gate.finish('failed', {...answered, isFailure: true}, 2);
		gate.submit(callWith('expired', {fingerprint: () => 'poison'}), 3);
		gate.finish('expired', {...answered, isFailure: false, isExpired: true}, 4);
		gate.onCrashReport(crashReport('poison', 'third'), 'third', 5);
		const refused = gate.submit(callWith('next', {fingerprint: () => 'poison'}), 6);
		expect(answers(refused)).to.deep.equal(['not-run quarantined']);
	});

	it('reports every request that a crash ended, and every repeated crash, beyond the limit', () => {
		const gate = gateWith(16, {deathsToQuarantine: 9, isolatesSuspects: false});
		const crashOn = (ids: readonly string[], now: number) => {
			gate.submit(callWith(`sound ${now}`), now);
			gate.finish(
				`sound ${now}`,
				{type: 'answered', payload: '', bytes: 0, isFailure: false},
				now + 1,
			);
			for (const id of ids) {
				gate.submit(callWith(`${id} ${now}`, {fingerprint: () => id}), now + 2);
			}

			return ids.flatMap((id) =>
				gate
					.finish(`${id} ${now}`, {type: 'died'}, now + 3)
					.flatMap((effect) => (effect.type === 'suspect' ? [effect.report.fingerprint] : [])),
			);
		};

		const running = Array.from({length: 15}, (_, index) => `call ${index}`);
		expect(crashOn(running, 0)).to.deep.equal(running);
		for (const index of [1, 2, 3, 4, 5, 6]) {
			expect(crashOn(['poison'], index * 300), `crash ${index}`).to.deep.equal(['poison']);
		}
	});

	it('counts the crash of a worker that has run nothing yet if the request has crashed others', () => {
		const gate = gateWith(1, {deathsToQuarantine: 3, isolatesSuspects: false});
		gate.onCrashReport(crashReport('poison', 'another'), 'another', 0);
		gate.submit(callWith('first', {fingerprint: () => 'poison'}), 1);
		gate.finish('first', {type: 'died'}, 2);
		gate.submit(callWith('second', {fingerprint: () => 'poison'}), 3000);
		gate.finish('second', {type: 'died'}, 3001);
		const refused = gate.submit(callWith('third', {fingerprint: () => 'poison'}), 6000);
		expect(answers(refused)).to.deep.equal(['not-run quarantined']);
	});

	it('refuses a waiting request once reports show that it crashed enough workers', () => {
		const gate = gateWith(1, {deathsToQuarantine: 3, isolatesSuspects: false});
		gate.submit(callWith('running'), 0);
		expect(answers(gate.submit(callWith('poison'), 0))).to.deep.equal([]);
		gate.onCrashReport(crashReport('poison', 'another', 3), 'another', 1);
		const effects = gate.finish(
			'running',
			{type: 'answered', payload: '', bytes: 0, isFailure: false},
			2,
		);
		expect(dispatched(effects)).to.deep.equal([]);
		expect(answers(effects)).to.deep.equal(['ran', 'not-run quarantined']);
	});

	it('runs a request that is one crash short of quarantine alone', () => {
		const gate = gateWith(3, {deathsToQuarantine: 3, isolatesSuspects: false});
		const answered = {type: 'answered', payload: '', bytes: 0, isFailure: false} as const;
		gate.onCrashReport(crashReport('once', 'another', 1), 'another', 0);
		gate.onCrashReport(crashReport('twice', 'another', 2), 'another', 0);
		gate.submit(callWith('running'), 0);
		expect(dispatched(gate.submit(callWith('once'), 0))).to.deep.equal(['once']);
		expect(dispatched(gate.submit(callWith('twice'), 0))).to.deep.equal([]);
		gate.finish('running', answered, 1);
		expect(dispatched(gate.finish('once', answered, 2))).to.deep.equal(['twice']);
		expect(dispatched(gate.submit(callWith('later'), 3))).to.deep.equal([]);
		expect(dispatched(gate.finish('twice', answered, 4))).to.deep.equal(['later']);
	});

	it('admits a quarantined request again after it was cleared', () => {
		const gate = gateWith(1);
		gate.onCrashReport(crashReport('same', 'first'), 'first', 0);
		gate.onCrashReport(crashReport('same', 'second'), 'second', 0);
		const refused = gate.submit(callWith('one', {fingerprint: () => 'same'}), 1);
		expect(answers(refused)).to.deep.equal(['not-run quarantined']);
		gate.onCrashReport({isCleared: true, fingerprint: 'same'}, 'third', 2);
		const effects = gate.submit(callWith('two', {fingerprint: () => 'same'}), 3);
		expect(dispatched(effects)).to.deep.equal(['two']);
	});

	it('refuses an overtaken call after a limited wait instead of holding it until its deadline', () => {
		const gate = gateWith(1, {});
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('overtaken', {rank: 2, targetAt: 100, deadlineAt: 2000}), 0);
		gate.submit(callWith('urgent', {rank: 0}), 0);
		expect(answers(gate.tick(150))).to.deep.equal([]);
		expect(answers(gate.tick(250))).to.deep.equal(['not-run waited-too-long']);
	});

	it('dispatches only occasional probes to a worker that has stopped answering', () => {
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

	it('refuses waiting calls and lets running ones finish when the worker drains', () => {
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

	// Guards against waiting calls that run at the worker that has taken over the address (review/6).
	it('refuses waiting calls when a worker of another service takes over the address', () => {
		const gate = gateWith(1, {isolatesSuspects: true});
		gate.onCrashReport(crashReport('held', 'other'), 'other', 0);
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('held', {rank: 0}), 0);
		gate.submit(callWith('waiting'), 0);
		expect(gate.waitingCount).to.equal(2);
		const effects = gate.setWorker(workerOf('diary', 'two'), 1);
		expect(dispatched(effects)).to.deep.equal([]);
		expect(answers(effects)).to.deep.equal(['not-run worker-absent', 'not-run worker-absent']);
		expect(dispatched(gate.finish('running', {type: 'died'}, 2))).to.deep.equal([]);
		expect(gate.isIdle).to.equal(true);
	});

	it('keeps waiting calls when another instance of their service takes over the address', () => {
		const gate = gateWith(1);
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('waiting'), 0);
		expect(dispatched(gate.setWorker(workerOf('coding', 'two'), 1))).to.deep.equal(['waiting']);
	});

	// Guards against calls that a rollout has assigned to one version and that run at another (review/6).
	it('refuses waiting calls when another version of their service takes over the address', () => {
		const gate = gateWith(1);
		gate.setWorker({...workerOf('coding', 'one'), slots: 1, version: 'v1'}, 0);
		gate.submit(callWith('running'), 0);
		gate.submit(callWith('waiting'), 0);
		const effects = gate.setWorker({...workerOf('coding', 'two'), version: 'v2'}, 1);
		expect(dispatched(effects)).to.deep.equal([]);
		expect(answers(effects)).to.deep.equal(['not-run worker-absent']);
	});

	// Guards against a restarted worker that is out of use because calls of its earlier process end.
	for (const type of ['misdirected', 'unreachable', 'died'] as const) {
		it(`keeps using a worker when a call of an earlier process ends as ${type}`, () => {
			const gate = gateWith(1);
			gate.setWorker(workerOf('coding', 'one'), 0);
			gate.submit(callWith('earlier'), 0);
			gate.setWorker(workerOf('coding', 'two'), 1);
			gate.submit(callWith('own'), 1);
			const isWorkerGone = (key: string) =>
				gate.finish(key, {type}, 2).some((effect) => effect.type === 'worker-gone');
			expect(isWorkerGone('earlier')).to.equal(false);
			expect(isWorkerGone('own')).to.equal(true);
		});
	}

	it('runs calls only at workers of their service, in any order of events', () => {
		const anyEvent = fc.record({
			kind: fc.constantFrom(
				'arrive' as const,
				'finish' as const,
				'replace' as const,
				'tick' as const,
			),
			service: fc.constantFrom('coding', 'diary'),
			state: fc.constantFrom('ready' as const, 'ready' as const, 'absent' as const),
		});
		fc.assert(
			fc.property(fc.array(anyEvent, {maxLength: 60}), (events) => {
				const gate = gateWith(2);
				let current = 'coding';
				const running = new Set<string>();
				const check = (effects: ReadonlyArray<GateEffect<string>>) => {
					for (const effect of effects) {
						if (effect.type === 'dispatch') {
							expect(effect.call.service).to.equal(current);
							running.add(effect.call.id);
						}
					}
				};

				for (const [now, {kind, service, state}] of events.entries()) {
					const [first] = running;
					switch (kind) {
						case 'arrive': {
							check(gate.submit(callWith(`call ${now}`, {service}), now));
							break;
						}

						case 'replace': {
							current = service;
							check(gate.setWorker({...workerOf(service, `at ${now}`), state}, now));
							break;
						}

						case 'finish': {
							running.delete(first);
							check(gate.finish(first, {type: 'lost'}, now));
							break;
						}

						case 'tick': {
							check(gate.tick(now));
							break;
						}
					}
				}
			}),
			{seed, numRuns: 300},
		);
	});

	it('never exceeds its slots and answers no call twice, in any order of events', () => {
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

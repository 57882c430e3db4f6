import {expect} from 'chai';
import fc from 'fast-check';
import {CallQueue, RankQueue, type CallWorkspace, type GateCall} from '../../index.js';

const capacity = 16;
const runMs = 10;
const seed = 11;

type CallFields = {
	readonly id?: string;
	readonly rank?: number;
	readonly workspace?: CallWorkspace;
};

function callOf({id = 'call', rank = 0, workspace}: CallFields = {}): GateCall {
	return {
		id,
		service: 'service',
		group: '/',
		rank,
		workspace,
		deadlineAt: 10_000,
		crashedNodes: [],
		fingerprint: () => id,
	};
}

function workspaceOf(name: string, rank = 0): CallWorkspace {
	return {name, rank};
}

function newQueue(): CallQueue {
	return new CallQueue(() => runMs);
}

/** Adds calls of one workspace, all due at the same time. */
function addMany(queue: CallQueue, count: number, fields: CallFields, dueAt = 100): void {
	for (let index = 0; index < count; index += 1) {
		const call = callOf({...fields, id: `${fields.workspace?.name} ${index}`});
		queue.onAsked(call);
		queue.add(call, dueAt);
	}
}

function pickNames(queue: CallQueue, count: number): Array<string | undefined> {
	return Array.from({length: count}, () => queue.pick()?.workspace?.name);
}

const operation = fc.oneof(
	fc.record({type: fc.constant('add' as const), rank: fc.nat(4), dueAt: fc.nat(50)}),
	fc.record({type: fc.constant('pick' as const)}),
	fc.record({type: fc.constant('displace' as const), rank: fc.nat(4)}),
	fc.record({type: fc.constant('remove' as const), dueAt: fc.nat(50)}),
);

describe('CallQueue', () => {
	it('orders calls without workspaces exactly as RankQueue does', () => {
		fc.assert(
			fc.property(fc.array(operation, {maxLength: 200}), (operations) => {
				const queue = newQueue();
				const reference = new RankQueue<GateCall>();
				for (const [index, each] of operations.entries()) {
					switch (each.type) {
						case 'add': {
							const {rank, dueAt} = each;
							const call = callOf({id: `${index}`, rank});
							queue.onAsked(call);
							expect(queue.hasRoom(call, capacity)).to.equal(reference.hasRoom(rank, capacity));
							expect([...queue.ahead(call, dueAt)]).to.deep.equal([
								...reference.ahead(rank, dueAt),
							]);
							queue.add(call, dueAt);
							reference.add(call, rank, dueAt);
							break;
						}

						case 'pick': {
							expect(queue.pick()).to.equal(reference.pick());
							break;
						}

						case 'displace': {
							const call = callOf({rank: each.rank});
							expect(queue.displace(call, capacity)).to.equal(
								reference.displace(each.rank, capacity),
							);
							break;
						}

						case 'remove': {
							const isSelected = ({id}: GateCall) => Number(id) % 7 === each.dueAt % 7;
							expect(queue.removeWhere(isSelected)).to.deep.equal(
								reference.removeWhere(isSelected),
							);
							break;
						}
					}

					expect(queue.size).to.equal(reference.size);
					expect(queue.hasMostUrgent).to.equal(reference.hasMostUrgent);
				}
			}),
			{seed},
		);
	});

	it('orders calls by the rank of the workspace before that of the route', () => {
		const queue = newQueue();
		queue.add(callOf({id: 'low', rank: 0, workspace: workspaceOf('low', 700)}), 10);
		queue.add(callOf({id: 'high, late route', rank: 2, workspace: workspaceOf('high', 3)}), 90);
		queue.add(callOf({id: 'high, first route', rank: 0, workspace: workspaceOf('high', 3)}), 90);
		expect([queue.pick()?.id, queue.pick()?.id, queue.pick()?.id]).to.deep.equal([
			'high, first route',
			'high, late route',
			'low',
		]);
	});

	it('keeps a share of the picks for workspaces of ranks with high numbers', () => {
		const queue = newQueue();
		const ranks = [5, 300, 600, 1000];
		const picks = new Map<string | undefined, number>();
		for (let pick = 0; pick < 320; pick += 1) {
			for (const rank of ranks) {
				queue.add(callOf({workspace: workspaceOf(`rank ${rank}`, rank)}), 100);
			}

			const name = queue.pick()?.workspace?.name;
			picks.set(name, (picks.get(name) ?? 0) + 1);
		}

		expect(picks.get('rank 300')).to.be.at.least(320 / 8);
		expect(picks.get('rank 600')).to.be.at.least(320 / 32);
		expect(picks.get('rank 1000')).to.be.at.least(320 / 32);
		expect(picks.get('rank 5')).to.be.at.least(320 / 2);
	});

	it('lets a hot workspace wait behind its own calls', () => {
		const queue = newQueue();
		addMany(queue, 30, {workspace: workspaceOf('hot')}, 50);
		pickNames(queue, 10);
		addMany(queue, 2, {workspace: workspaceOf('calm')}, 100);
		expect(pickNames(queue, 5).filter((name) => name === 'calm')).to.have.length(2);
	});

	it('expects a call of a calm workspace to precede most calls of a hot one', () => {
		const queue = newQueue();
		addMany(queue, 20, {workspace: workspaceOf('hot')}, 50);
		const ahead = [...queue.ahead({rank: 0, workspace: workspaceOf('calm')}, 100)];
		const ownAhead = [...queue.ahead({rank: 0, workspace: workspaceOf('hot')}, 100)];
		expect(ahead.length).to.be.at.most(3);
		expect(ownAhead).to.have.length(20);
	});

	it('serves no workspace of a rank less than half as often as the whole rank', () => {
		const queue = newQueue();
		const asked = new Map<string, number>();
		const served = new Map<string, number>();
		let phase = 0;
		const ask = (name: string, count: number) => {
			addMany(queue, count, {workspace: workspaceOf(name)}, 100);
			asked.set(name, (asked.get(name) ?? 0) + count);
		};

		// The hot workspace alone asks for four times what is served; the calm ones for less than a share.
		for (let round = 0; round < 400; round += 1) {
			ask('hot', 8);
			for (let index = 0; index < 12; index += 1) {
				phase += 0.35;
				if (phase >= 1) {
					phase -= 1;
					ask(`calm ${index}`, 1);
				}
			}

			for (const name of pickNames(queue, 6)) {
				served.set(name!, (served.get(name!) ?? 0) + 1);
			}

			// Calls that weren't picked in time are refused.
			queue.removeWhere(() => true);
		}

		const sum = (counts: Map<string, number>) => [...counts.values()].reduce((a, b) => a + b, 0);
		const whole = sum(served) / sum(asked);
		for (const [name, count] of asked) {
			expect((served.get(name) ?? 0) / count, name).to.be.at.least(whole / 2);
		}
	});

	it('displaces a call of the workspace that holds most', () => {
		const queue = newQueue();
		addMany(queue, 10, {rank: 2, workspace: workspaceOf('hot')});
		addMany(queue, 6, {rank: 2, workspace: workspaceOf('calm')});
		const urgent = callOf({rank: 0, workspace: workspaceOf('calm')});
		expect(queue.displace(urgent, capacity)?.workspace?.name).to.equal('hot');
		const equal = callOf({rank: 2, workspace: workspaceOf('other')});
		expect(queue.displace(equal, capacity)?.workspace?.name).to.equal('hot');
		const own = callOf({rank: 2, workspace: workspaceOf('hot')});
		expect(queue.displace(own, capacity)).to.equal(undefined);
		expect(queue.size).to.equal(14);
	});

	it('keeps the calls that wait when the first one of a workspace arrives', () => {
		const queue = newQueue();
		queue.add(callOf({id: 'later', rank: 1}), 90);
		queue.add(callOf({id: 'earlier', rank: 1}), 40);
		queue.add(callOf({id: 'keyed', rank: 1, workspace: workspaceOf('a', 1)}), 60);
		expect(queue.size).to.equal(3);
		expect([queue.pick()?.id, queue.pick()?.id, queue.pick()?.id]).to.deep.equal([
			'earlier',
			'keyed',
			'later',
		]);
	});
});

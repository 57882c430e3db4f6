import {expect} from 'chai';
import fc from 'fast-check';
import {hashOf, PersistentMap} from '../../index.js';

const keys = fc.integer({min: 0, max: 40}).map((number) => `10.0.0.${number}:7620`);
const changes = fc.array(
	fc.oneof(
		fc.record({type: fc.constant('with' as const), entries: fc.array(fc.tuple(keys, fc.nat()))}),
		fc.record({type: fc.constant('without' as const), keys: fc.array(keys)}),
	),
);

describe('a persistent map', () => {
	it('holds what a map holds after the same changes, and earlier states stay as they were', () => {
		fc.assert(
			fc.property(changes, (sequence) => {
				let map = PersistentMap.empty<number>();
				const model = new Map<string, number>();
				const states: Array<{map: PersistentMap<number>; entries: Map<string, number>}> = [];
				for (const change of sequence) {
					if (change.type === 'with') {
						map = map.withAll(change.entries);
						for (const [key, value] of change.entries) {
							model.set(key, value);
						}
					} else {
						map = map.without(change.keys);
						for (const key of change.keys) {
							model.delete(key);
						}
					}

					states.push({map, entries: new Map(model)});
				}

				for (const state of states) {
					expect(new Map(state.map)).to.deep.equal(state.entries);
					expect(state.map.size).to.equal(state.entries.size);
					expect([...state.map.keys()].every((key) => state.map.has(key))).to.equal(true);
				}
			}),
			{seed: 20_261_204},
		);
	});

	it('is the same object after a change of nothing', () => {
		const map = PersistentMap.empty<number>().with('a', 1);
		expect(map.withAll([])).to.equal(map);
		expect(map.without(['b'])).to.equal(map);
	});
});

describe('the hash of a text', () => {
	it('differs for all addresses of a large mesh', () => {
		const addresses = Array.from(
			{length: 65_536},
			(_, index) =>
				`10.${index % 16}.${Math.floor(index / 4096)}.${index % 256}:${7600 + (Math.floor(index / 256) % 16)}`,
		);
		const distinct = new Set(addresses);
		const hashes = new Set([...distinct].map((address) => hashOf(address)));
		expect(hashes.size).to.equal(distinct.size);
	});
});

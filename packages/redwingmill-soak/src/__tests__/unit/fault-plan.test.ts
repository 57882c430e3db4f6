import {expect} from 'chai';
import {planFaults} from '../../fault-plan.js';

const scope = {hosts: 6, durationMs: 15_000};

describe('planFaults', () => {
	it('draws the same faults from the same seed and different ones from another', () => {
		expect(planFaults(7, scope)).to.deep.equal(planFaults(7, scope));
		expect(planFaults(7, scope)).not.to.deep.equal(planFaults(8, scope));
	});

	it('draws overlapping faults, ordered by start, that end within the duration', () => {
		const faults = planFaults(11, scope);
		const ends = faults.map(({atMs, forMs}) => atMs + forMs);
		expect(Math.max(...ends)).to.be.at.most(scope.durationMs);
		const starts = faults.map(({atMs}) => atMs);
		expect(starts).to.deep.equal(starts.toSorted((a, b) => a - b));
		expect(starts.some((atMs, index) => index > 0 && atMs < ends[index - 1])).to.equal(true);
	});

	it('draws every kind of fault over many seeds', () => {
		const kinds = new Set<string>();
		for (let seed = 0; seed < 200; seed++) {
			for (const {fault} of planFaults(seed, scope)) {
				switch (fault.type) {
					case 'link': {
						kinds.add(`${fault.purpose} ${fault.behaviour.type}`);
						break;
					}

					case 'process':
					case 'worker': {
						kinds.add(`${fault.type} ${fault.fault}`);
						break;
					}

					case 'notice': {
						kinds.add(`notice ${fault.notice.type}`);
						break;
					}

					case 'change':
					case 'endless-request':
					case 'store-return':
					case 'silent-connections':
					case 'power-loss': {
						kinds.add(fault.type);
						break;
					}
				}
			}
		}

		// Five behaviours of four streams, four of datagrams, four process faults, six worker faults,
		// two notices, `change`, `store-return`, `silent-connections`, `endless-request` and `power-loss`.
		expect(kinds.size).to.equal(5 * 4 + 4 + 4 + 6 + 2 + 5);
	});
});

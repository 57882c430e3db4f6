import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {allowanceOfNode, RetryBudget} from '../../index.js';

const windowMs = 10_000;
const seed = 11;

describe('RetryBudget', () => {
	it('allows the slack and, beyond it, a share of the first attempts', () => {
		const budget = new RetryBudget(windowMs);
		const allowance = {share: 0.2, slack: 2};
		expect([1, 2, 3].map(() => budget.tryTake(allowance, 0))).to.deep.equal([true, true, false]);
		for (let call = 0; call < 5; call++) {
			budget.recordFirstAttempt(1);
		}

		expect(budget.tryTake(allowance, 2)).to.equal(true);
		expect(budget.tryTake(allowance, 2)).to.equal(false);
	});

	it('ignores retries that are older than the window', () => {
		const budget = new RetryBudget(windowMs);
		expect(budget.tryTake({share: 0, slack: 1}, 0)).to.equal(true);
		expect(budget.tryTake({share: 0, slack: 1}, windowMs - 1)).to.equal(false);
		expect(budget.tryTake({share: 0, slack: 1}, windowMs + 1)).to.equal(true);
	});

	it('is unused only once its last retry is older than the window', () => {
		const budget = new RetryBudget(windowMs);
		expect(budget.isUnusedAt(0)).to.equal(true);
		budget.tryTake({share: 0, slack: 1}, 0);
		expect(budget.isUnusedAt(windowMs - 1)).to.equal(false);
		expect(budget.isUnusedAt(windowMs + 1)).to.equal(true);
	});

	it('gives each node its part of the slack, and none to one that does not know the mesh', () => {
		const allowance = {share: 0.2, slack: 56};
		expect(allowanceOfNode(allowance, 8)).to.deep.equal({share: 0.2, slack: 7});
		expect(allowanceOfNode(allowance, undefined)).to.deep.equal({share: 0.2, slack: 0});
	});

	it('keeps the mesh within its budget in every window without coordination between nodes', () => {
		const random = new Random(seed);
		const nodes = Array.from({length: 9}, () => new RetryBudget(windowMs));
		const [share, slack] = [0.2, 56];
		const firsts: number[] = [];
		const retries: number[] = [];
		for (let now = 0; now < 60_000; now += 5) {
			const node = nodes[random.below(nodes.length)];
			// Bursts and pauses, with far more failures than the budget allows.
			if (now % 20_000 < 8000) {
				node.recordFirstAttempt(now);
				firsts.push(now);
			}

			if (node.tryTake({share, slack: slack / nodes.length}, now)) {
				retries.push(now);
			}
		}

		for (let from = 0; from < 50_000; from += 500) {
			const within = (times: readonly number[]) =>
				times.filter((time) => time >= from && time < from + windowMs).length;
			// First attempts that are up to one window old may pay for a retry.
			const earlier = firsts.filter((time) => time >= from - windowMs && time < from).length;
			const allowed = share * Math.max(within(firsts), earlier) + slack;
			expect(within(retries), `from ${from}`).to.be.at.most(allowed + nodes.length);
		}
	});
});

import {expect} from 'chai';
import {compareScarcity, scarceLoads, sharesOf, type ScarcityResult} from 'redwingmill-bench';

const seeds = [1, 2] as const;
/** A workspace is served at least this share as often as its whole rank. */
const leastShare = 0.5;

/** Expects that no workspace of a rank is served less than half as often as the whole rank. */
function expectFair(result: ScarcityResult, rank: number): void {
	const prefix = `rank ${rank} `;
	const whole = sharesOf(result, prefix).served;
	for (const [name, {served}] of result) {
		if (name.startsWith(prefix)) {
			expect(served, name).to.be.at.least(whole * leastShare);
		}
	}
}

function expectOrdered(result: ScarcityResult): void {
	const [first, second, third] = [0, 1, 2].map((rank) => sharesOf(result, `rank ${rank} `).served);
	expect(first).to.be.at.least(second);
	expect(second).to.be.at.least(third);
	expect(third).to.be.above(0);
}

describe('workspaces under scarce capacity', () => {
	it('keep urgent calls in time beside a burst of bulk calls, of which more arrive in time', () => {
		const {before, after} = compareScarcity(scarceLoads.bulkBurst, seeds);
		expect(after.get('note')!.inTarget).to.be.at.least(0.99);
		expect(after.get('note')!.inTarget).to.be.at.least(before.get('note')!.inTarget);
		expect(after.get('sheet')!.inTarget).to.be.above(before.get('sheet')!.inTarget);
		expect(after.get('sheet')!.served).to.be.above(before.get('sheet')!.served);
	});

	it('let a hot workspace bear the effects of its own load', () => {
		const {before, after} = compareScarcity(scarceLoads.hotWorkspace, seeds);
		expectFair(after, 1);
		for (const [name, shares] of after) {
			if (name !== 'rank 1 workspace 0') {
				expect(shares.inTarget, name).to.be.above(before.get(name)!.inTarget);
				expect(shares.served, name).to.be.at.least(after.get('rank 1 workspace 0')!.served);
			}
		}
	});

	for (const load of ['storm', 'halfSlow', 'dataCentreLost'] as const) {
		it(`serve urgent ranks first and each workspace of a rank alike: ${load}`, () => {
			const {after} = compareScarcity(scarceLoads[load], seeds);
			expectOrdered(after);
			for (const rank of [0, 1, 2]) {
				expectFair(after, rank);
			}
		});
	}

	it('are all served while half of the workers are slow, if the others can do the work', () => {
		const {after} = compareScarcity(scarceLoads.halfSlow, seeds);
		expect(sharesOf(after, 'rank').served).to.be.at.least(0.99);
	});
});

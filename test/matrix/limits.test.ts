import {expect} from 'chai';
import {limitLoads, LoadSimulation, type LimitLoad, type LoadPlan} from 'redwingmill-bench';

const durationMs = 40_000;

function run(load: LimitLoad, fields: Partial<LoadPlan> = {}) {
	const plan: LoadPlan = limitLoads[load];
	return new LoadSimulation({...plan, durationMs, ...fields}).run();
}

function servedShare(outcome: ReturnType<typeof run>, group: string): number {
	const {inTarget, late, unserved} = outcome.classes.get(group)!;
	return (inTarget + late) / (inTarget + late + unserved);
}

describe('workers that state limits, under load', () => {
	for (const load of Object.keys(limitLoads) as LimitLoad[]) {
		it(`get no more than they tolerate: ${load}`, () => {
			const {limits} = run(load);
			expect(limits.over).to.equal(0);
			expect(limits.afterLeaving).to.equal(0);
		});
	}

	for (const load of ['one-and-a-half', 'fourfold', 'some', 'falling', 'restarts'] as const) {
		it(`get at least 95 % of what they allow, the more urgent calls first: ${load}`, () => {
			const outcome = run(load);
			expect(outcome.limits.usedShare).to.be.at.least(0.95);
			expect(servedShare(outcome, 'lookup')).to.be.at.least(servedShare(outcome, 'page'));
		});
	}

	it('answer the most urgent calls in time while these fit into the limits', () => {
		const {inTarget, late, unserved} = run('one-and-a-half').classes.get('lookup')!;
		expect(inTarget / (inTarget + late + unserved)).to.be.at.least(0.9);
	});

	it('refuse at once what they cannot take', () => {
		expect(run('fourfold').limits.refusalMs).to.be.at.most(20);
	});

	it('leave their calls to workers without a limit', () => {
		expect(servedShare(run('some'), 'page')).to.be.at.least(0.99);
	});

	it('would get too many if nobody read their limits', () => {
		expect(run('one-and-a-half', {limitKnowledge: 'none'}).limits.over).to.be.greaterThan(100);
		expect(run('leaving', {limitKnowledge: 'none'}).limits.afterLeaving).to.be.greaterThan(100);
	});
});

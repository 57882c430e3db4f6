import {expect} from 'chai';
import * as fc from 'fast-check';
import {
	countsScheme,
	quotaConditions,
	QuotaMesh,
	sumResults,
	type QuotaCondition,
	type QuotaFault,
	type QuotaPlan,
	type QuotaResult,
} from 'redwingmill-bench';

/** Share of the calls owed below the quota that has to be admitted, while no node fails. */
const leastAdmitted = 0.97;
const propertySeed = 20_261_204;
const serverRestartSeed = 19;
const conditions = Object.keys(quotaConditions) as QuotaCondition[];
const faultless = new Set<QuotaCondition>(['usual', 'hot', 'near-limit', 'skewed', 'raised']);

describe('quotas over all nodes', () => {
	for (const condition of conditions) {
		describe(condition, () => {
			let workspaces: ReadonlyMap<string, QuotaResult>;

			before(() => {
				const plan = {...quotaConditions[condition], seed: 1};
				workspaces = new QuotaMesh(plan, countsScheme).run().workspaces;
			});

			it('never exceed the bound in any window', () => {
				for (const [name, {over, worstWindow}] of workspaces) {
					expect({name, over}, `window of ${worstWindow}`).to.deep.equal({name, over: 0});
				}
			});

			if (faultless.has(condition)) {
				it('admit what is owed below the quota', () => {
					const {owed, delivered} = sumResults([...workspaces.values()]);
					expect(delivered / owed).to.be.at.least(leastAdmitted);
				});
			}
		});
	}

	it('never exceed the bound when the server of each data centre restarts while demand rises', () => {
		// Guards against calls that no server counts; the small quota tolerates only 25 of them.
		const plan = {...quotaConditions['rolling-restart'], seed: serverRestartSeed};
		const {workspaces} = new QuotaMesh(plan, countsScheme).run();
		expect(workspaces.get('10+0')?.over).to.equal(0);
	});

	it('stay within the bound under random demand, loss, duplication, cuts and restarts', () => {
		fc.assert(
			fc.property(arbitraryPlan(), (plan) => {
				const {workspaces} = new QuotaMesh(plan, countsScheme).run();
				for (const [name, {over}] of workspaces) {
					expect({name, over}).to.deep.equal({name, over: 0});
				}
			}),
			{seed: propertySeed, numRuns: 25},
		);
	}).timeout(120_000);
});

function arbitraryPlan(): fc.Arbitrary<QuotaPlan> {
	const nodes = 24;
	const fault: fc.Arbitrary<QuotaFault> = fc
		.record({
			type: fc.constantFrom('cut' as const, 'stop' as const),
			from: fc.integer({min: 14_000, max: 24_000}),
			lengthMs: fc.integer({min: 4000, max: 9000}),
			nodes: fc.uniqueArray(fc.nat(nodes - 1), {minLength: 1, maxLength: 8}),
		})
		.map(({lengthMs, ...rest}) => ({...rest, until: rest.from + lengthMs}));
	const workspace = fc
		.record({
			perSecond: fc.integer({min: 2, max: 200}),
			burstSeconds: fc.constantFrom(0, 0.5, 1, 2),
			hotFactor: fc.constantFrom(1, 1.5, 3, 7.5),
			hotFrom: fc.integer({min: 14_000, max: 24_000}),
		})
		.map(({perSecond, burstSeconds, hotFactor, hotFrom}) => ({
			quota: {perSecond, burst: Math.round(perSecond * burstSeconds)},
			demandAt: (now: number) => (perSecond / 1.6) * (now >= hotFrom ? hotFactor : 1),
		}));
	return fc
		.record({
			dataCentres: fc.integer({min: 1, max: 4}),
			workspaces: fc.array(workspace, {minLength: 1, maxLength: 4}),
			faults: fc.array(fault, {maxLength: 3}),
			loss: fc.constantFrom(0, 0.02, 0.1),
			duplication: fc.constantFrom(0, 0.1),
			seed: fc.nat(1_000_000),
		})
		.map((plan) => ({
			...plan,
			nodes,
			durationMs: 35_000,
			bounds: {windowMs: 5000, overShare: 0.1, slack: 20},
			workspaces: plan.workspaces.map((each, index) => ({...each, name: `w${index}`})),
		}));
}

import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {
	evenLoadPolicy,
	EvenLoadSimulation,
	presentPolicy,
	standardEvenLoads,
	type EvenLoadOutcome,
	type EvenLoadPolicy,
} from 'redwingmill-bench';
import {choicePolicies, EndpointChooser} from 'redwingmill-core';

const seed = 3;
/** Attempts and percentiles of two runs with different choices differ by chance. */
const chance = 1.01;
/** Loads of 0.7 to 0.95 of capacity without a time over it. */
const steadyLoads = [
	'load 0.7',
	'load 0.85',
	'load 0.95',
	'host times 0.85',
	'52 replicas',
	'60 of one centre',
	'13 slots',
	'1 slot',
	'1 entry',
	'200 entries',
	'reports 50 ms',
	'reports 1000 ms',
] as const;
const changingLoads = ['bursts', 'demand moved', 'cold replicas'] as const;

/** Returns the outcomes of the policy in use so far and of `even-load`. */
function outcomesOf(name: string): {present: EvenLoadOutcome; even: EvenLoadOutcome} {
	const plan = standardEvenLoads.find((each) => each.name === name)!;
	const run = (policy: typeof presentPolicy) =>
		new EvenLoadSimulation({...plan, seed}, policy).run();
	return {present: run(presentPolicy), even: run(evenLoadPolicy)};
}

describe('policy even-load beside the lowest estimate', () => {
	for (const name of [...steadyLoads, ...changingLoads]) {
		describe(`under ${name}`, () => {
			let outcomes: ReturnType<typeof outcomesOf>;
			before(() => {
				outcomes = outcomesOf(name);
			});

			it('lets replicas queue beside a free slot for at most half of the time', () => {
				const {present, even} = outcomes;
				expect(even.queuesBesideFree).to.be.at.most(present.queuesBesideFree / 2);
			});

			it('answers the slowest hundredth of calls no later', () => {
				const {present, even} = outcomes;
				expect(even.p99Ms).to.be.at.most(present.p99Ms * chance);
			});

			it('sends no more attempts', () => {
				const {present, even} = outcomes;
				expect(even.attempts).to.be.at.most(present.attempts * chance);
			});

			it('answers no fewer calls', () => {
				const {present, even} = outcomes;
				expect(even.refused).to.be.at.most(present.refused + 0.001);
			});
		});
	}
});

/** Returns the policy that the settings of the platform's deployment name. */
function deployedPolicy(): EvenLoadPolicy {
	const template = readFileSync('deploy/settings.jsonc', 'utf8');
	const name = /"choice": "(?<name>[^"]+)"/v.exec(template)?.groups?.name;
	const policy = choicePolicies.find((each) => each === name);
	expect(policy, 'policy in deploy/settings.jsonc').to.not.equal(undefined);
	return {
		name: 'deployed',
		newChooser(dataCentre, random) {
			const options = {policy: policy!, slowStartMs: 0, dataCentre, followsHostTimes: false};
			return new EndpointChooser(options, random);
		},
	};
}

describe('the deployed policy among many entries that hold the same reports', () => {
	for (const name of ['52 replicas', '60 of one centre', '200 entries']) {
		it(`answers 99 of 100 calls within their target under ${name}`, () => {
			const plan = standardEvenLoads.find((each) => each.name === name)!;
			const {p99Ms} = new EvenLoadSimulation({...plan, seed}, deployedPolicy()).run();
			expect(p99Ms).to.be.at.most(plan.targetMs);
		});
	}
});

describe('the deployed policy under more load than the replicas can run', () => {
	const plan = standardEvenLoads.find(({name}) => name === '52 replicas')!;

	for (const load of [1.2, 1.5]) {
		describe(`of ${load} times their capacity`, () => {
			let outcome: EvenLoadOutcome;
			before(() => {
				const overload = {...plan, load, durationMs: 3000, seed};
				outcome = new EvenLoadSimulation(overload, deployedPolicy()).run();
			});

			it('asks at most two gates each time that a caller sends a call', () => {
				expect(outcome.attemptsPerTry).to.be.at.most(2);
			});

			it('leaves no more than a twentieth of the capacity unused by calls that are refused', () => {
				expect(outcome.refused).to.be.at.most(1 - 0.95 / load);
			});
		});
	}
});

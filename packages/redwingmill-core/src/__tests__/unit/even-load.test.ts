import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {EndpointChooser, type ChoicePolicy, type Endpoint, type WorkerLoad} from '../../index.js';

const none: ReadonlySet<string> = new Set();
const choices = 4000;

function endpointsOf(count: number, dataCentre = 'dc-a'): Endpoint[] {
	return Array.from({length: count}, (_, index) => ({
		node: `${dataCentre}-${index}`,
		gateAddress: `${dataCentre}-${index}`,
		dataCentre,
		incarnation: 1,
		service: 'coding',
		slots: 4,
	}));
}

function loadOf(fields: Partial<WorkerLoad> = {}): WorkerLoad {
	return {callsPerSlot: 0.5, waitMs: 0, runMs: 40, failureShare: 0, ...fields};
}

function chooserWith(policy: ChoicePolicy = 'even-load', followsHostTimes = true): EndpointChooser {
	const options = {policy, slowStartMs: 0, dataCentre: 'dc-a', followsHostTimes};
	return new EndpointChooser(options, new Random(7));
}

/** Returns the share of choices that each endpoint gets while none of them is carried out. */
function sharesOf(chooser: EndpointChooser, endpoints: readonly Endpoint[], now: number): number[] {
	const counts = new Map<Endpoint | undefined, number>();
	for (let choice = 0; choice < choices; choice++) {
		const chosen = chooser.choose(endpoints, none, now);
		counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
	}

	return endpoints.map((endpoint) => (counts.get(endpoint) ?? 0) / choices);
}

describe('policy even-load', () => {
	it('spreads calls over replicas that reported the same, so that nodes do not crowd one of them', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(4);
		for (const endpoint of endpoints) {
			chooser.onLoad(endpoint, loadOf(), 0);
		}

		for (const share of sharesOf(chooser, endpoints, 10)) {
			expect(share).to.be.within(0.22, 0.28);
		}
	});

	it('gives a replica that is twice as slow half as many calls while both are busy', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(2);
		chooser.onLoad(endpoints[0], loadOf({runMs: 80, callsPerSlot: 0.8}), 0);
		chooser.onLoad(endpoints[1], loadOf({runMs: 40, callsPerSlot: 0.8}), 0);
		const [slow, fast] = sharesOf(chooser, endpoints, 1000);
		expect(fast / slow).to.be.within(1.8, 2.2);
	});

	it('leaves a slow replica to busier times, so that no call is late while a fast one has room', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(2);
		chooser.onLoad(endpoints[0], loadOf({runMs: 80, callsPerSlot: 0.1}), 0);
		chooser.onLoad(endpoints[1], loadOf({runMs: 40, callsPerSlot: 0.1}), 0);
		const [slow] = sharesOf(chooser, endpoints, 1000);
		expect(slow).to.be.below(0.1);
	});

	it('avoids a replica whose answer showed that it is full, until that is out of date', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(2);
		for (const endpoint of endpoints) {
			chooser.onLoad(endpoint, loadOf(), 0);
		}

		const [full] = endpoints;
		chooser.onSent(full, 1000);
		chooser.onFinished(full, loadOf({callsPerSlot: 1}), 1040);
		expect(sharesOf(chooser, endpoints, 1042)[0]).to.be.below(0.1);
		for (const endpoint of endpoints) {
			chooser.onLoad(endpoint, loadOf(), 1500);
		}

		expect(sharesOf(chooser, endpoints, 2000)[0]).to.be.above(0.4);
	});

	it('spreads its own calls in progress, so that they do not queue at one replica', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(2);
		for (let call = 0; call < 4; call++) {
			chooser.onSent(endpoints[0], 0);
		}

		expect(sharesOf(chooser, endpoints, 1)[0]).to.be.below(0.01);
	});

	it('avoids a replica that fails its calls, although it is the fastest', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(3);
		for (const [index, endpoint] of endpoints.entries()) {
			const isFailing = index === 0;
			chooser.onLoad(
				endpoint,
				loadOf({runMs: isFailing ? 4 : 40, failureShare: isFailing ? 1 : 0}),
				0,
			);
		}

		expect(sharesOf(chooser, endpoints, 5)[0]).to.be.below(0.01);
	});

	it('keeps calls in the data centre while it has free slots, since bytes to others are expensive', () => {
		const chooser = chooserWith();
		const local = endpointsOf(2);
		const remote = endpointsOf(2, 'dc-b');
		const all = [...local, ...remote];
		for (const endpoint of all) {
			chooser.onLoad(endpoint, loadOf(), 0);
		}

		expect(sharesOf(chooser, all, 10).slice(2)).to.deep.equal([0, 0]);
	});

	it('sends a call to another data centre if the local one would answer too late', () => {
		const chooser = chooserWith();
		const [local] = endpointsOf(1);
		const [remote] = endpointsOf(1, 'dc-b');
		chooser.onLoad(local, loadOf({callsPerSlot: 20}), 0);
		chooser.onLoad(remote, loadOf(), 0);
		const chosen = chooser.choose([local, remote], none, 1, {group: 'a', targetAt: 100});
		expect(chosen).to.equal(remote);
	});

	it('ramps up a replica whose node has just started, so that a cold process is not swamped', () => {
		const options = {policy: 'even-load', slowStartMs: 4000, dataCentre: 'dc-a'} as const;
		const chooser = new EndpointChooser(options, new Random(7));
		const endpoints = endpointsOf(4);
		chooser.retain(endpoints.slice(1), 0);
		chooser.retain(endpoints, 10_000);
		expect(sharesOf(chooser, endpoints, 10_100)[0]).to.be.below(0.05);
		expect(sharesOf(chooser, endpoints, 12_000)[0]).to.be.within(0.1, 0.18);
		expect(sharesOf(chooser, endpoints, 14_000)[0]).to.be.within(0.22, 0.28);
	});

	describe('at a node with a worker of its own', () => {
		const endpoints = endpointsOf(4);
		const [own] = endpoints;

		/** Returns the share of calls that the own worker gets, with a load of `fields` in place of a low one. */
		function ownShareWith(
			fields: Partial<WorkerLoad>,
			profile: {readonly runMs?: number; readonly targetAt?: number} = {},
		): number {
			const options = {
				policy: 'even-load',
				slowStartMs: 0,
				dataCentre: 'dc-a',
				ownNode: {node: own.node, load: () => loadOf(fields)},
			} as const;
			const chooser = new EndpointChooser(options, new Random(7));
			for (const endpoint of endpoints) {
				chooser.onLoad(endpoint, loadOf(endpoint === own ? fields : {}), 0);
				chooser.onRunTime(endpoint, 'a', profile.runMs ?? 40);
			}

			let count = 0;
			for (let choice = 0; choice < choices; choice++) {
				const call = {group: 'a', targetAt: profile.targetAt};
				count += chooser.choose(endpoints, none, 10, call) === own ? 1 : 0;
			}

			return count / choices;
		}

		it('runs calls there while it has room, so that no second node is involved', () => {
			expect(ownShareWith({})).to.equal(1);
			expect(ownShareWith({callsPerSlot: 0.75}, {targetAt: 70})).to.equal(1);
		});

		const reasons: Readonly<Record<string, Partial<WorkerLoad>>> = {
			'is full': {callsPerSlot: 1},
			'has a queue': {callsPerSlot: 0.6, waitMs: 30},
			'is slow': {runMs: 100},
			'fails calls that others do not fail': {failureShare: 0.2},
			'is limited': {allowance: {perSecond: 5, waitMs: 0}},
		};
		for (const [reason, load] of Object.entries(reasons)) {
			it(`spreads calls when its own worker ${reason}`, () => {
				expect(ownShareWith(load)).to.be.below(0.5);
			});
		}

		it('spreads calls whose target leaves little time beyond the run', () => {
			expect(ownShareWith({}, {runMs: 40, targetAt: 50})).to.be.within(0.2, 0.3);
		});
	});

	it('takes over from the usual policies where workers say how long work takes on their hosts', () => {
		const endpoints = endpointsOf(2);
		const crowd = (chooser: EndpointChooser, hostTime?: number) => {
			chooser.onLoad(endpoints[0], loadOf({hostTime}), 0);
			chooser.onLoad(endpoints[1], loadOf({callsPerSlot: 0.75, hostTime}), 0);
			return sharesOf(chooser, endpoints, 1)[0];
		};

		expect(crowd(chooserWith('expected-completion'))).to.equal(1);
		expect(crowd(chooserWith('expected-completion'), 1)).to.be.within(0.3, 0.8);
		expect(crowd(chooserWith('expected-completion', false), 1)).to.equal(1);
	});
});

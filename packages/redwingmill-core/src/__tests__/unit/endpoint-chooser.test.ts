import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {EndpointChooser, type ChoiceOptions, type Endpoint} from '../../index.js';

const none: ReadonlySet<string> = new Set();

function endpointsOf(count: number, dataCentre = 'dc-a'): Endpoint[] {
	return Array.from({length: count}, (_, index) => ({
		node: `${dataCentre}-${index}`,
		gateAddress: `${dataCentre}-${index}`,
		dataCentre,
		incarnation: 1,
		service: 'coding',
		slots: 2,
	}));
}

function chooserWith(options: Partial<ChoiceOptions> = {}): EndpointChooser {
	return new EndpointChooser(
		{policy: 'two-choices', slowStartMs: 0, dataCentre: 'dc-a', ...options},
		new Random(3),
	);
}

function shares(chooser: EndpointChooser, endpoints: readonly Endpoint[], now: number) {
	const counts = new Map<string, number>();
	for (let pick = 0; pick < 1000; pick++) {
		const node = chooser.choose(endpoints, none, now)?.node ?? 'none';
		counts.set(node, (counts.get(node) ?? 0) + 1);
	}

	return counts;
}

describe('EndpointChooser', () => {
	it('chooses the less loaded of two endpoints', () => {
		const chooser = chooserWith();
		const [busy, idle] = endpointsOf(2);
		chooser.onSent(busy, 0);
		chooser.onSent(busy, 0);
		expect(shares(chooser, [busy, idle], 0).get(idle.node)).to.equal(1000);
	});

	it('chooses local endpoints while they have capacity and remote ones when they do not', () => {
		const chooser = chooserWith();
		const local = endpointsOf(2);
		const remote = endpointsOf(2, 'dc-b');
		const all = [...local, ...remote];
		expect([...shares(chooser, all, 0).keys()].every((node) => node.startsWith('dc-a'))).to.equal(
			true,
		);
		for (const endpoint of local) {
			for (let call = 0; call < 6; call++) {
				chooser.onSent(endpoint, 0);
			}
		}

		expect([...shares(chooser, all, 0).keys()].some((node) => node.startsWith('dc-b'))).to.equal(
			true,
		);
	});

	it('ejects an endpoint after consecutive failures, but never more than half of all endpoints', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(4);
		const fail = (endpoint: Endpoint) => {
			for (let failure = 0; failure < 3; failure++) {
				chooser.onFailure(endpoint, 0);
			}
		};

		fail(endpoints[0]);
		expect(shares(chooser, endpoints, 1).has(endpoints[0].node)).to.equal(false);
		expect(shares(chooser, endpoints, 60_000).has(endpoints[0].node)).to.equal(true);
		for (const endpoint of endpoints) {
			fail(endpoint);
		}

		expect(shares(chooser, endpoints, 60_001).size).to.equal(4);
	});

	it('ramps up the share of a new endpoint', () => {
		const chooser = chooserWith({slowStartMs: 10_000});
		const endpoints = endpointsOf(3);
		chooser.retain(endpoints.slice(0, 2), 0);
		chooser.retain(endpoints, 1000);
		expect(shares(chooser, endpoints, 1000).get(endpoints[2].node) ?? 0).to.be.below(100);
		expect(shares(chooser, endpoints, 20_000).get(endpoints[2].node) ?? 0).to.be.above(200);
	});

	it('never chooses an endpoint that was already tried', () => {
		const chooser = chooserWith();
		const endpoints = endpointsOf(2);
		const tried = new Set([endpoints[0].node]);
		expect(chooser.choose(endpoints, tried, 0)).to.equal(endpoints[1]);
		expect(chooser.choose(endpoints.slice(0, 1), tried, 0)).to.equal(undefined);
	});
});

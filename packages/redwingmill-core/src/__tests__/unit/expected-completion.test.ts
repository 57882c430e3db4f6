import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {EndpointChooser, type Endpoint} from '../../index.js';

const none: ReadonlySet<string> = new Set();
const idle = {callsPerSlot: 0, waitMs: 0, runMs: 60, failureShare: 0};

function endpointIn(dataCentre: string): Endpoint {
	const node = `node in ${dataCentre}`;
	return {node, gateAddress: node, dataCentre, incarnation: 1, service: 'diary', slots: 6};
}

function chooserIn(dataCentre: string): EndpointChooser {
	const options = {policy: 'expected-completion', slowStartMs: 0, dataCentre} as const;
	return new EndpointChooser(options, new Random(3));
}

describe('EndpointChooser by expected completion', () => {
	const local = endpointIn('dc-a');
	const remote = endpointIn('dc-b');
	const both = [remote, local];

	it('stays in the own data centre while it answers in time there', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 80}, 0);
		chooser.onLoad(remote, idle, 0);
		expect(chooser.choose(both, none, 0, {group: '/', targetAt: 250})).to.equal(local);
	});

	it('leaves it when its queue would make the call late', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 300}, 0);
		chooser.onLoad(remote, idle, 0);
		expect(chooser.choose(both, none, 0, {group: '/', targetAt: 250})).to.equal(remote);
		// A queue that was told is worked off as time passes.
		expect(chooser.choose(both, none, 900, {group: '/', targetAt: 1150})).to.equal(local);
	});

	it('keeps a large call in its data centre that a small one leaves', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 200}, 0);
		chooser.onLoad(remote, {...idle, waitMs: 100}, 0);
		const needs = {group: '/', targetAt: 250};
		expect(chooser.choose(both, none, 0, {...needs, bytes: 1000})).to.equal(remote);
		expect(chooser.choose(both, none, 0, {...needs, bytes: 10_000})).to.equal(local);
		// Refused there, it is better served elsewhere than not at all.
		const refused = new Set([local.node]);
		expect(chooser.choose(both, refused, 0, {...needs, bytes: 10_000})).to.equal(remote);
	});

	it('does not send everything to the endpoint that was emptiest last', () => {
		const chooser = chooserIn('dc-c');
		chooser.onLoad(local, {...idle, callsPerSlot: 1}, 0);
		chooser.onLoad(remote, {...idle, callsPerSlot: 0.8}, 0);
		const chosen = new Map<string, number>();
		for (let call = 0; call < 40; call++) {
			const endpoint = chooser.choose(both, none, 0, {group: '/'})!;
			chooser.onSent(endpoint);
			chosen.set(endpoint.node, (chosen.get(endpoint.node) ?? 0) + 1);
		}

		expect(Math.min(...chosen.values())).to.be.above(10);
	});

	it('leaves it, however late, when nothing there can serve the call', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(remote, {...idle, waitMs: 400}, 0);
		for (let failure = 0; failure < 3; failure++) {
			chooser.onFailure(local, 0);
		}

		expect(chooser.choose(both, none, 10, {group: '/', targetAt: 0})).to.equal(remote);
	});

	it('tells short calls from long ones at a slow worker', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, runMs: 90}, 0);
		chooser.onLoad(remote, {...idle, runMs: 30}, 0);
		// Chosen once, so that the workers' speeds are known, then told the run times.
		chooser.choose(both, none, 0, {group: 'short'});
		chooser.onRunTime(local, 'short', 15);
		chooser.onRunTime(local, 'long', 150);
		expect(chooser.choose(both, none, 0, {group: 'short', targetAt: 60})).to.equal(local);
		expect(chooser.choose(both, none, 0, {group: 'long', targetAt: 160})).to.equal(remote);
	});

	it('avoids an endpoint that fails part of its calls, but for better reasons goes there', () => {
		const chooser = chooserIn('dc-c');
		for (const endpoint of both) {
			chooser.onLoad(endpoint, idle, 0);
		}

		for (let call = 0; call < 10; call++) {
			chooser.onFailure(local, 0);
			chooser.onSuccess(local);
		}

		expect(chooser.choose(both, none, 0, {group: '/'})).to.equal(remote);
		chooser.onLoad(remote, {...idle, waitMs: 2000}, 0);
		expect(chooser.choose(both, none, 0, {group: '/'})).to.equal(local);
	});
});

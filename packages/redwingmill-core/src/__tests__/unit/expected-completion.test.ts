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

describe('EndpointChooser with the policy expected-completion', () => {
	const local = endpointIn('dc-a');
	const remote = endpointIn('dc-b');
	const both = [remote, local];

	it('chooses a local endpoint that is expected to answer in time', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 80}, 0);
		chooser.onLoad(remote, idle, 0);
		expect(chooser.choose(both, none, 0, {group: '/', targetAt: 250})).to.equal(local);
	});

	it('chooses a remote endpoint when the local queue would make the call miss its target', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 300}, 0);
		chooser.onLoad(remote, idle, 0);
		expect(chooser.choose(both, none, 0, {group: '/', targetAt: 250})).to.equal(remote);
		// A reported queue is assumed to shrink as time passes.
		expect(chooser.choose(both, none, 900, {group: '/', targetAt: 1150})).to.equal(local);
	});

	it('keeps a large call local in a state in which a small one goes to another data centre', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 200}, 0);
		chooser.onLoad(remote, {...idle, waitMs: 100}, 0);
		const profile = {group: '/', targetAt: 250};
		expect(chooser.choose(both, none, 0, {...profile, bytes: 1000})).to.equal(remote);
		expect(chooser.choose(both, none, 0, {...profile, bytes: 10_000})).to.equal(local);
		// Once refused locally, it goes to the other data centre all the same.
		const refused = new Set([local.node]);
		expect(chooser.choose(both, refused, 0, {...profile, bytes: 10_000})).to.equal(remote);
	});

	it('ignores a load that was reported before the one that it knows', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, waitMs: 300}, 100);
		chooser.onLoad(remote, idle, 100);
		// A digest brings an older report than the answer to a call has.
		chooser.onLoad(local, idle, 60);
		expect(chooser.choose(both, none, 100, {group: '/', targetAt: 350})).to.equal(remote);
	});

	it('counts the calls that it sent after a load was reported, although the report came later', () => {
		const chooser = chooserIn('dc-c');
		chooser.onLoad(local, {...idle, callsPerSlot: 1}, 0);
		chooser.onLoad(remote, {...idle, callsPerSlot: 1}, 0);
		for (let call = 0; call < 6; call++) {
			chooser.onSent(local, 100);
		}

		chooser.onLoad(local, {...idle, callsPerSlot: 1}, 50);
		chooser.onLoad(remote, {...idle, callsPerSlot: 1}, 50);
		expect(chooser.choose(both, none, 110, {group: '/'})).to.equal(remote);
	});

	it('does not send all calls to the endpoint whose last report showed the lowest load', () => {
		const chooser = chooserIn('dc-c');
		chooser.onLoad(local, {...idle, callsPerSlot: 1}, 0);
		chooser.onLoad(remote, {...idle, callsPerSlot: 0.8}, 0);
		const chosen = new Map<string, number>();
		for (let call = 0; call < 40; call++) {
			const endpoint = chooser.choose(both, none, 0, {group: '/'})!;
			chooser.onSent(endpoint, 0);
			chosen.set(endpoint.node, (chosen.get(endpoint.node) ?? 0) + 1);
		}

		expect(Math.min(...chosen.values())).to.be.above(10);
	});

	it('chooses a remote endpoint, even one that is late, when every local one is ejected', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(remote, {...idle, waitMs: 400}, 0);
		for (let failure = 0; failure < 3; failure++) {
			chooser.onFailure(local, 0);
		}

		expect(chooser.choose(both, none, 10, {group: '/', targetAt: 0})).to.equal(remote);
	});

	it('keeps short calls at a slow local worker and sends long ones to a fast remote one', () => {
		const chooser = chooserIn('dc-a');
		chooser.onLoad(local, {...idle, runMs: 90}, 0);
		chooser.onLoad(remote, {...idle, runMs: 30}, 0);
		// The first choice computes the workers' relative speeds, by which run times are then scaled.
		chooser.choose(both, none, 0, {group: 'short'});
		chooser.onRunTime(local, 'short', 15);
		chooser.onRunTime(local, 'long', 150);
		expect(chooser.choose(both, none, 0, {group: 'short', targetAt: 60})).to.equal(local);
		expect(chooser.choose(both, none, 0, {group: 'long', targetAt: 160})).to.equal(remote);
	});

	it('avoids an endpoint that fails some of its calls unless the other one has a long queue', () => {
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

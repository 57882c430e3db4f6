import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {measureTraffic} from '../support/control-traffic.js';
import {
	documentOf,
	FakeDirectoryMesh,
	fullReachability,
	type DirectoryNode,
} from '../support/fake-directory-mesh.js';

const seed = 20_261_204;
const dataCentres = ['a', 'b', 'c', 'd', 'e'];
const nodesPerDataCentre = 16;
/** Nodes start within this time of each other. */
const startSpreadMs = 300;
/** Required time until every node knows every other one after all have started. */
const startBoundMs = 4000;
/** Time after which no node may route calls to one that stopped responding. */
const silenceBoundMs = 5000;
/** Time after which nodes that can reach each other again must route calls to each other. */
const returnBoundMs = 5000;
/** Required time in which a change is in force, or a worker's new state known, on every node. */
const changeBoundMs = 2000;
const allowedBytesPerSecond = 9000;

function addressesOf(count = nodesPerDataCentre): string[] {
	return dataCentres.flatMap((dataCentre) =>
		Array.from({length: count}, (_, index) => `${dataCentre}/${index}`),
	);
}

/** Nodes 0 and 1 of each data centre have the widest links. */
function linkMbpsOf(address: string): number {
	return 100 - Number(address.split('/')[1]);
}

function start(mesh: FakeDirectoryMesh, address: string): DirectoryNode {
	return mesh.start(address, {linkMbps: linkMbpsOf(address)});
}

function startedMesh(): FakeDirectoryMesh {
	const mesh = new FakeDirectoryMesh(seed);
	const random = new Random(seed);
	mesh.writeConfiguration(documentOf(1));
	for (const address of addressesOf()) {
		mesh.clock.after(random.below(startSpreadMs), () => {
			start(mesh, address);
		});
	}

	mesh.run(startSpreadMs + startBoundMs);
	return mesh;
}

/** Returns the nodes that don't route to exactly the expected endpoints, with what differs. */
function differences(mesh: FakeDirectoryMesh, expected: readonly string[]): string[] {
	const wanted = expected.toSorted();
	return [...mesh.nodes.values()]
		.filter(({isUp}) => isUp)
		.flatMap(({address}) => {
			const endpoints = new Set(mesh.endpointsOf(address));
			const missing = wanted.filter((each) => !endpoints.has(each));
			const surplus = [...endpoints].filter((each) => !wanted.includes(each));
			return missing.length + surplus.length === 0
				? []
				: [`${address}: -${missing.join(',')} +${surplus.join(',')}`];
		});
}

describe('a large mesh', () => {
	it('is known to every node soon after all have started together', () => {
		expect(differences(startedMesh(), addressesOf())).to.deep.equal([]);
	});

	it('starts with few reads of the configuration in the store', () => {
		const mesh = startedMesh();
		// The first nodes find a registry of a small mesh, which all of its nodes watch.
		expect(mesh.configurationReads).to.be.below(addressesOf().length / 2);
		expect([...mesh.nodes.values()].every(({versions}) => versions.at(-1) === 1)).to.equal(true);
	});

	it('lists the registry again at its watchers, hardly ever at the other nodes', () => {
		const mesh = startedMesh();
		const before = mesh.storeCalls;
		mesh.run(60_000);
		const watcherLists = 3 * 2 * dataCentres.length;
		expect(mesh.storeCalls - before).to.be.at.least(watcherLists / 2);
		expect(mesh.storeCalls - before).to.be.at.most(2 * watcherLists + addressesOf().length);
	});

	it('stays known to every node while datagrams are lost', () => {
		const mesh = startedMesh();
		mesh.lossShare = 0.05;
		for (let second = 0; second < 20; second++) {
			mesh.run(1000);
			expect(differences(mesh, addressesOf())).to.deep.equal([]);
		}
	});

	it('keeps the control traffic of each node within the allowance', () => {
		const mesh = startedMesh();
		mesh.run(5000);
		const {perSecond} = measureTraffic(mesh, 10_000);
		for (const address of addressesOf()) {
			if (linkMbpsOf(address) < 99) {
				expect(perSecond.get(address)!.bytes, address).to.be.below(allowedBytesPerSecond);
			}
		}
	});

	it('learns of the draining of a worker in every data centre', () => {
		const mesh = startedMesh();
		mesh.announceWorker('c/9', 'draining');
		mesh.run(150);
		expect(
			differences(
				mesh,
				addressesOf().filter((address) => address !== 'c/9'),
			),
		).to.deep.equal([]);
	});

	it('learns of the draining of a worker although datagrams are lost', () => {
		const mesh = startedMesh();
		mesh.lossShare = 0.3;
		mesh.announceWorker('c/9', 'draining');
		mesh.run(changeBoundMs);
		for (const {address} of mesh.nodes.values()) {
			expect(mesh.endpointsOf(address), address).not.to.include('c/9');
		}
	});

	for (const crashed of [['b/9'], ['b/0'], ['b/0', 'b/1'], ['b/0', 'b/1', 'b/2', 'b/3']]) {
		it(`stops routing to ${crashed.join(', ')} after a crash, and to no other node`, () => {
			const mesh = startedMesh();
			for (const address of crashed) {
				mesh.kill(address);
			}

			mesh.run(silenceBoundMs);
			const alive = addressesOf().filter((address) => !crashed.includes(address));
			expect(differences(mesh, alive)).to.deep.equal([]);
			for (const address of crashed) {
				start(mesh, address);
			}

			mesh.run(returnBoundMs);
			expect(differences(mesh, addressesOf())).to.deep.equal([]);
		});
	}

	it('stops routing to a data centre that is cut off, and routes to it again afterwards', () => {
		const mesh = startedMesh();
		const isInside = (address: string) => address.startsWith('d/');
		mesh.reachability = {
			...fullReachability,
			isLinked: (from, to) => isInside(from) === isInside(to),
			canReachStore: (address) => !isInside(address),
		};
		mesh.run(silenceBoundMs);
		for (const {address} of mesh.nodes.values()) {
			const expected = addressesOf().filter((each) => isInside(each) === isInside(address));
			expect(mesh.endpointsOf(address), address).to.deep.equal(expected.toSorted());
		}

		mesh.reachability = fullReachability;
		mesh.run(returnBoundMs);
		expect(differences(mesh, addressesOf())).to.deep.equal([]);
	});

	it('keeps routing to a node whose heartbeats do not reach the watchers', () => {
		const mesh = startedMesh();
		const watchers = new Set(['b/0', 'b/1']);
		mesh.reachability = {
			...fullReachability,
			isLinked: (from, to) => !(from === 'b/9' && watchers.has(to)),
		};
		for (let second = 0; second < 10; second++) {
			mesh.run(1000);
			const others = addressesOf().filter((address) => address.startsWith('b/'));
			for (const address of others.filter((each) => !watchers.has(each))) {
				expect(mesh.endpointsOf(address), address).to.include('b/9');
			}
		}
	});

	it('learns of a node that starts while the store is unreachable', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, canReachStore: () => false};
		mesh.kill('e/9');
		mesh.run(500);
		start(mesh, 'e/9');
		mesh.run(silenceBoundMs + returnBoundMs);
		expect(differences(mesh, addressesOf())).to.deep.equal([]);
	});

	it('stops routing to a watcher that leaves, and its digests cause no more requests', () => {
		const mesh = startedMesh();
		mesh.dispatch(mesh.nodes.get('a/0')!, {type: 'leave-requested'});
		mesh.run(1000);
		let requests = 0;
		mesh.onSent = (_from, _to, {type}) => {
			requests += type === 'record-request' ? 1 : 0;
		};

		mesh.run(3000);
		const others = addressesOf().filter((address) => address !== 'a/0');
		for (const address of others) {
			expect(mesh.endpointsOf(address), address).to.deep.equal(others.toSorted());
		}

		expect(requests).to.equal(0);
	});

	it('puts a change in force on every node within the bound, beside losses', () => {
		const mesh = startedMesh();
		mesh.lossShare = 0.05;
		for (let version = 2; version < 8; version++) {
			mesh.writeConfiguration(documentOf(version));
			mesh.run(changeBoundMs);
			for (const {address, versions} of mesh.nodes.values()) {
				expect(versions.at(-1), address).to.equal(version);
			}
		}
	});

	it('recovers when all nodes lose power at once', () => {
		const mesh = startedMesh();
		for (const address of addressesOf()) {
			mesh.kill(address);
		}

		mesh.run(1000);
		for (const address of addressesOf()) {
			start(mesh, address);
		}

		mesh.run(startBoundMs);
		expect(differences(mesh, addressesOf())).to.deep.equal([]);
	});
});

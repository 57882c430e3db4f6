import {expect} from 'chai';
import fc from 'fast-check';
import {documentOf, FakeDirectoryMesh, fullReachability} from '../support/fake-directory-mesh.js';

const seed = 20_261_204;
const addresses = ['a/1', 'a/2', 'a/3', 'b/1', 'b/2', 'b/3', 'c/1', 'c/2', 'c/3'] as const;
/** Time in which a change must be in force everywhere. */
const boundMs = 2000;
/** Time after which a silent node must be out of every choice. */
const timeoutBoundMs = 2500;

function startedMesh(): FakeDirectoryMesh {
	const mesh = new FakeDirectoryMesh(seed);
	mesh.writeConfiguration(documentOf(1));
	for (const address of addresses) {
		mesh.start(address);
	}

	mesh.run(1000);
	return mesh;
}

function heldVersions(mesh: FakeDirectoryMesh): Array<number | undefined> {
	return [...mesh.nodes.values()].map((node) => node.versions.at(-1));
}

describe('nodes that find each other through the store', () => {
	it('all know each other within a second of a common start', () => {
		const mesh = startedMesh();
		for (const address of addresses) {
			expect(mesh.endpointsOf(address), address).to.deep.equal([...addresses]);
		}
	});

	it('ask the store a few times, and leave it alone afterwards', () => {
		const mesh = startedMesh();
		expect(mesh.storeCalls).to.equal(2 * addresses.length);
		mesh.run(5000);
		expect(mesh.storeCalls).to.equal(2 * addresses.length);
	});

	it('hear of a worker that drains, or comes, at once', () => {
		const mesh = startedMesh();
		mesh.announceWorker('a/1', 'draining');
		mesh.run(10);
		expect(mesh.endpointsOf('c/3')).not.to.include('a/1');
		mesh.announceWorker('a/1', 'ready');
		mesh.run(10);
		expect(mesh.endpointsOf('c/3')).to.include('a/1');
	});

	it('hear of it also when datagrams get lost', () => {
		const mesh = startedMesh();
		mesh.lossShare = 0.3;
		mesh.announceWorker('a/1', 'draining');
		mesh.run(boundMs);
		for (const address of addresses) {
			expect(mesh.endpointsOf(address), address).not.to.include('a/1');
		}
	});

	it('leave out a node that falls silent, and take it back when it speaks', () => {
		const mesh = startedMesh();
		mesh.nodes.get('b/2')!.isPaused = true;
		mesh.run(timeoutBoundMs);
		expect(mesh.endpointsOf('a/1')).not.to.include('b/2');
		mesh.nodes.get('b/2')!.isPaused = false;
		mesh.run(1500);
		expect(mesh.endpointsOf('a/1')).to.include('b/2');
		expect(mesh.endpointsOf('b/2')).to.deep.equal([...addresses]);
	});

	it('find a node that restarts while the store is away, and give it the configuration', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, canReachStore: () => false};
		mesh.kill('a/1');
		mesh.run(500);
		mesh.start('a/1');
		mesh.run(boundMs);
		expect(mesh.endpointsOf('a/1')).to.deep.equal([...addresses]);
		expect(mesh.endpointsOf('c/1')).to.deep.equal([...addresses]);
		expect(mesh.nodes.get('a/1')!.directory.blackboard.serving.state).to.equal('serving');
	});

	it('follow a node whose clock went back before its restart', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, canReachStore: () => false};
		mesh.kill('a/1');
		mesh.start('a/1', {incarnation: 0, service: 'diary'});
		mesh.run(boundMs);
		expect(mesh.endpointsOf('c/1', 'diary')).to.deep.equal(['a/1']);
		expect(mesh.endpointsOf('c/1')).not.to.include('a/1');
	});

	it('stop using a node that stops, while its own proxy goes on', () => {
		const mesh = startedMesh();
		mesh.dispatch(mesh.nodes.get('a/1')!, {type: 'stop-requested'});
		mesh.run(10);
		expect(mesh.endpointsOf('b/1')).to.include('a/1');
		mesh.dispatch(mesh.nodes.get('a/1')!, {type: 'leave-requested'});
		mesh.run(10);
		expect(mesh.endpointsOf('b/1')).not.to.include('a/1');
		expect(mesh.endpointsOf('a/1')).to.include('a/1');
	});

	it('start with a few addresses when the store is away from the start', () => {
		const mesh = new FakeDirectoryMesh(seed);
		mesh.writeConfiguration(documentOf(1));
		mesh.start('a/1');
		mesh.run(500);
		mesh.reachability = {...fullReachability, canReachStore: () => false};
		mesh.start('a/2', {seeds: ['a/1']});
		mesh.run(boundMs);
		expect(mesh.endpointsOf('a/2')).to.deep.equal(['a/1', 'a/2']);
	});
});

describe('the configuration in a mesh of thirty nodes', () => {
	const dataCentres = ['a', 'b', 'c'];
	const places = Array.from({length: 10}, (_, index) => index);
	const many = dataCentres.flatMap((dataCentre) => places.map((place) => `${dataCentre}/${place}`));
	/** Those with the widest links, two in each data centre. */
	const watchers = dataCentres.flatMap((dataCentre) => [`${dataCentre}/4`, `${dataCentre}/7`]);

	function startedLargeMesh(): FakeDirectoryMesh {
		const mesh = new FakeDirectoryMesh(seed);
		mesh.writeConfiguration(documentOf(1));
		for (const address of many) {
			mesh.start(address, {linkMbps: watchers.includes(address) ? 100 : 5});
		}

		mesh.run(3000);
		return mesh;
	}

	function watching(mesh: FakeDirectoryMesh): string[] {
		return [...mesh.nodes.values()]
			.filter(({isUp, directory}) => isUp && directory.blackboard.watch.isOn)
			.map(({address}) => address);
	}

	it('is watched by the two nodes of each data centre with the widest links', () => {
		expect(watching(startedLargeMesh())).to.deep.equal(watchers);
	});

	it('is in force everywhere in time, and the store hands each change out six times', () => {
		const mesh = startedLargeMesh();
		const before = mesh.configurationReads;
		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		expect(heldVersions(mesh)).to.deep.equal(many.map(() => 8));
		expect(mesh.configurationReads - before).to.equal(watchers.length);
	});

	it('is in force in time when all who watch the store die as it changes', () => {
		const mesh = startedLargeMesh();
		for (const address of watchers) {
			mesh.kill(address);
		}

		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		for (const {address, isUp, versions} of mesh.nodes.values()) {
			expect(isUp ? versions.at(-1) : 8, address).to.equal(8);
		}
	});

	it('comes from the other data centres where those who watch the store hear nothing', () => {
		const mesh = startedLargeMesh();
		mesh.reachability = {
			...fullReachability,
			receivesWatchEvents: (address) => !address.startsWith('a'),
		};
		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		expect(heldVersions(mesh)).to.deep.equal(many.map(() => 8));
	});

	it('is read from the store by a node that hears of it and can ask nobody', () => {
		const mesh = startedLargeMesh();
		const isMute = (from: string, to: string) => from === 'a/0' && to !== 'a/0';
		mesh.reachability = {...fullReachability, isLinked: (from, to) => !isMute(from, to)};
		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		expect(mesh.nodes.get('a/0')!.versions).to.deep.equal([1, 8]);
	});

	it('is watched by others where those who did lose the store', () => {
		const mesh = startedLargeMesh();
		const isCut = (address: string) => watchers.includes(address);
		mesh.reachability = {...fullReachability, canReachStore: (address) => !isCut(address)};
		for (const address of watchers) {
			mesh.dispatch(mesh.nodes.get(address)!, {type: 'store-contact', isStoreReachable: false});
		}

		mesh.run(boundMs);
		const others = watching(mesh).filter((address) => !isCut(address));
		expect(new Set(others.map(([dataCentre]) => dataCentre)).size).to.equal(dataCentres.length);
		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		expect(heldVersions(mesh)).to.deep.equal(many.map(() => 8));
	});
});

describe('the configuration from the store', () => {
	it('is in force everywhere in time, also where the watch brought nothing', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, receivesWatchEvents: (address) => address === 'b/1'};
		mesh.writeConfiguration(documentOf(8));
		mesh.run(boundMs);
		expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 8));
	});

	it('reaches nodes that are cut off from the store through the others', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, canReachStore: (address) => address.startsWith('c')};
		mesh.writeConfiguration(documentOf(8));
		mesh.run(2 * boundMs);
		expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 8));
	});

	it('comes from another node when the one that told of it dies before it is asked', () => {
		const mesh = startedMesh();
		mesh.reachability = {...fullReachability, canReachStore: () => false};
		mesh.kill('a/1');
		mesh.run(100);
		mesh.start('a/1', {seeds: ['a/2']});
		mesh.run(100);
		mesh.kill('a/2');
		mesh.run(boundMs);
		expect(mesh.nodes.get('a/1')!.versions).to.deep.equal([1]);
	});

	it('never goes back, whatever comes in whatever order', () => {
		const mesh = startedMesh();
		mesh.writeConfiguration(documentOf(9));
		mesh.run(50);
		const node = mesh.nodes.get('a/1')!;
		mesh.dispatch(node, {type: 'configuration-read', document: documentOf(5), origin: 'store'});
		mesh.dispatch(node, {type: 'configuration-read', document: documentOf(1), origin: 'node'});
		expect(node.versions).to.deep.equal([1, 9]);
	});

	it('keeps the promises through any sequence of cuts, losses, deaths and changes', () => {
		const anyStep = fc.record({
			fault: fc.constantFrom(
				'write' as const,
				'kill' as const,
				'cut data centre' as const,
				'cut store' as const,
				'lose' as const,
				'drain' as const,
				'heal' as const,
			),
			node: fc.nat({max: addresses.length - 1}),
			afterMs: fc.integer({min: 1, max: 1500}),
		});
		fc.assert(
			fc.property(fc.array(anyStep, {maxLength: 15}), (steps) => {
				const mesh = startedMesh();
				const draining = new Set<string>();
				let version = 1;
				for (const {fault, node, afterMs} of steps) {
					const address = addresses[node];
					switch (fault) {
						case 'write': {
							version += 1 + node;
							mesh.writeConfiguration(documentOf(version));
							break;
						}

						case 'kill': {
							mesh.kill(address);
							mesh.start(address);
							draining.delete(address);
							break;
						}

						case 'cut data centre': {
							const [cut] = address;
							const isCut = (each: string) => each.startsWith(cut);
							const isLinked = (from: string, to: string) => isCut(from) === isCut(to);
							mesh.reachability = {...mesh.reachability, isLinked};
							break;
						}

						case 'cut store': {
							const hasStore = (each: string) => !each.startsWith(address[0]);
							mesh.reachability = {
								...mesh.reachability,
								canReachStore: hasStore,
								receivesWatchEvents: hasStore,
							};
							break;
						}

						case 'lose': {
							mesh.lossShare = 0.2;
							break;
						}

						case 'drain': {
							mesh.announceWorker(address, 'draining');
							draining.add(address);
							break;
						}

						case 'heal': {
							mesh.reachability = fullReachability;
							mesh.lossShare = 0;
							break;
						}
					}

					mesh.run(afterMs);
				}

				mesh.reachability = fullReachability;
				mesh.lossShare = 0;
				mesh.run(2 * boundMs);
				const expected = addresses.filter((address) => !draining.has(address));
				for (const node of mesh.nodes.values()) {
					const ordered = [...node.versions].toSorted((a, b) => a - b);
					expect(node.versions, node.address).to.deep.equal(ordered);
					expect(node.versions.at(-1), node.address).to.equal(version);
					expect(mesh.endpointsOf(node.address), node.address).to.deep.equal(expected);
				}
			}),
			{seed, numRuns: 150},
		);
	});
});

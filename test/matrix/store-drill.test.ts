import {expect} from 'chai';
import fc from 'fast-check';
import {type SuspicionReport} from 'redwingmill-core';
import {documentOf, FakeDirectoryMesh, fullReachability} from '../support/fake-directory-mesh.js';

const seed = 20_261_204;
/** Required time after the return of the store until what it lost is written again. */
const rewriteBoundMs = 2000;
const largeMeshNodes = 60;
const report: SuspicionReport = {
	isCleared: false,
	fingerprint: 'GET /codes/1',
	crashes: [{node: 'a/1', incarnation: 1, count: 3}],
	ageMs: 0,
};

function addressesOf(count: number): string[] {
	const dataCentres = ['a', 'b', 'c'];
	return Array.from(
		{length: count},
		(_, index) => `${dataCentres[index % dataCentres.length]}/${Math.floor(index / 3)}`,
	);
}

function startedMesh(count: number): FakeDirectoryMesh {
	const mesh = new FakeDirectoryMesh(seed);
	mesh.writeConfiguration(documentOf(1));
	for (const address of addressesOf(count)) {
		mesh.start(address);
	}

	mesh.run(4000);
	return mesh;
}

function heldVersions(mesh: FakeDirectoryMesh): Array<number | undefined> {
	return [...mesh.nodes.values()].map(({versions}) => versions.at(-1));
}

describe('a store that returns from an older copy', () => {
	for (const count of [9, largeMeshNodes]) {
		const addresses = addressesOf(count);

		it(`has the records of ${count} nodes again within the bound, with one write each`, () => {
			const mesh = new FakeDirectoryMesh(seed);
			const empty = mesh.takeCopy();
			mesh.writeConfiguration(documentOf(1));
			for (const address of addresses) {
				mesh.start(address);
			}

			mesh.run(4000);
			const before = mesh.storeCalls;
			mesh.returnFrom({...empty, document: documentOf(1)});
			mesh.run(rewriteBoundMs);
			expect(mesh.registeredNodes).to.deep.equal(addresses.toSorted());
			expect(mesh.storeCalls - before).to.be.at.most(2 * count);
		});

		it(`takes no version back from ${count} nodes, and its next one is taken at once`, () => {
			const mesh = startedMesh(count);
			const copy = mesh.takeCopy();
			mesh.writeConfiguration(documentOf(5));
			mesh.run(rewriteBoundMs);
			mesh.returnFrom(copy);
			mesh.run(rewriteBoundMs);
			expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 5));
			mesh.writeConfiguration(documentOf(6));
			mesh.run(rewriteBoundMs);
			expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 6));
		});

		it(`keeps the calls of ${count} nodes going`, () => {
			const mesh = startedMesh(count);
			const copy = mesh.takeCopy();
			mesh.run(1000);
			mesh.returnFrom(copy);
			for (let step = 0; step < 30; step++) {
				mesh.run(100);
				for (const {address, directory} of mesh.nodes.values()) {
					expect(mesh.endpointsOf(address).length, address).to.equal(count);
					expect(directory.blackboard.serving.state).to.equal('serving');
				}
			}
		});
	}

	it('gives a node that starts in that moment the version that the others hold', () => {
		const mesh = startedMesh(9);
		const copy = mesh.takeCopy();
		mesh.writeConfiguration(documentOf(5));
		mesh.run(rewriteBoundMs);
		mesh.kill('a/1');
		mesh.returnFrom(copy);
		const node = mesh.start('a/1');
		mesh.run(rewriteBoundMs);
		expect(node.versions.at(-1)).to.equal(5);
		expect(node.directory.blackboard.serving.state).to.equal('serving');
	});

	it('keeps the crashes on quarantined requests that it had acknowledged', () => {
		const mesh = startedMesh(9);
		const copy = mesh.takeCopy();
		mesh.dispatch(mesh.nodes.get('a/1')!, {type: 'request-quarantined', report});
		mesh.run(1000);
		expect(mesh.storedFingerprints).to.deep.equal([report.fingerprint]);
		mesh.returnFrom(copy);
		expect(mesh.storedFingerprints).to.deep.equal([]);
		mesh.run(rewriteBoundMs);
		expect(mesh.storedFingerprints).to.deep.equal([report.fingerprint]);
	});

	it('keeps them also when the node that saved them has gone', () => {
		const mesh = startedMesh(9);
		const copy = mesh.takeCopy();
		mesh.dispatch(mesh.nodes.get('a/1')!, {type: 'request-quarantined', report});
		mesh.run(1000);
		mesh.start('b/9');
		mesh.run(1000);
		mesh.kill('a/1');
		mesh.returnFrom(copy);
		mesh.run(rewriteBoundMs);
		expect(mesh.storedFingerprints).to.deep.equal([report.fingerprint]);
	});

	it('is met in any order with cuts, restarts, further returns and changes without a step back', () => {
		const action = fc.oneof(
			fc.record({type: fc.constant('copy' as const)}),
			fc.record({type: fc.constant('return' as const)}),
			fc.record({type: fc.constant('change' as const)}),
			fc.record({type: fc.constant('restart' as const), node: fc.nat(8)}),
			fc.record({type: fc.constant('cut' as const), dataCentre: fc.constantFrom('a', 'b', 'c')}),
			fc.record({type: fc.constant('heal' as const)}),
		);
		const steps = fc.array(fc.record({action, afterMs: fc.integer({min: 0, max: 1500})}), {
			maxLength: 12,
		});
		const addresses = addressesOf(9);
		fc.assert(
			fc.property(steps, (sequence) => {
				const mesh = startedMesh(9);
				let copy = mesh.takeCopy();
				let version = 1;
				let cut: string | undefined;
				const isInside = (address: string) => address.startsWith(`${cut ?? '-'}/`);
				mesh.reachability = {
					...fullReachability,
					isLinked: (from, to) => isInside(from) === isInside(to),
					canReachStore: (address) => !isInside(address),
				};
				for (const {action: next, afterMs} of sequence) {
					mesh.run(afterMs);
					switch (next.type) {
						case 'copy': {
							copy = mesh.takeCopy();
							break;
						}

						case 'return': {
							const {storedState} = mesh;
							mesh.returnFrom(copy);
							// The operator writes its configuration again.
							mesh.run(300);
							if (storedState) {
								mesh.writeConfiguration(storedState);
							}

							break;
						}

						case 'change': {
							version += 1;
							mesh.writeConfiguration(documentOf(version));
							break;
						}

						case 'restart': {
							mesh.kill(addresses[next.node]);
							mesh.start(addresses[next.node]);
							break;
						}

						case 'cut': {
							cut = next.dataCentre;
							break;
						}

						case 'heal': {
							cut = undefined;
							break;
						}
					}
				}

				cut = undefined;
				mesh.run(5000);
				for (const {address, versions} of mesh.nodes.values()) {
					expect(versions, address).to.deep.equal(versions.toSorted((a, b) => a - b));
					expect(versions.at(-1), address).to.equal(version);
					expect(mesh.endpointsOf(address), address).to.deep.equal(addresses.toSorted());
				}

				expect(mesh.registeredNodes).to.deep.equal(addresses.toSorted());
			}),
			{seed, numRuns: 40},
		);
	});
});

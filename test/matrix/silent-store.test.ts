import {expect} from 'chai';
import fc from 'fast-check';
import {
	documentOf,
	FakeDirectoryMesh,
	fullReachability,
	type StoreCopy,
} from '../support/fake-directory-mesh.js';

const seed = 20_261_204;
/** Time after a disturbance of their connections from which nodes have to keep the bound again. */
const recoveryMs = 3000;
/** Required time from the confirmation of a version until it is in force everywhere. */
const boundMs = 2000;

function addressesOf(count: number): string[] {
	const dataCentres = ['a', 'b', 'c'];
	return Array.from(
		{length: count},
		(_, index) => `${dataCentres[index % dataCentres.length]}/${Math.floor(index / 3)}`,
	);
}

function startedMesh(addresses: readonly string[]): FakeDirectoryMesh {
	const mesh = new FakeDirectoryMesh(seed);
	mesh.writeConfiguration(documentOf(1));
	for (const address of addresses) {
		mesh.start(address);
	}

	mesh.run(4000);
	return mesh;
}

function heldVersions(mesh: FakeDirectoryMesh): Array<number | undefined> {
	return [...mesh.nodes.values()].map(({versions}) => versions.at(-1));
}

const faults = ['silence', 'return', 'cut', 'heal', 'restart', 'none'] as const;

/** Plays a fault; `address` is the node that restarts, or lies in the data centre that is cut off. */
function play(
	mesh: FakeDirectoryMesh,
	fault: (typeof faults)[number],
	address: string,
	copy: StoreCopy,
): void {
	switch (fault) {
		case 'silence': {
			mesh.silenceConnections();
			break;
		}

		case 'return': {
			mesh.returnFrom(copy, {leavesPolls: true});
			break;
		}

		case 'cut': {
			const isInside = (each: string) => each.startsWith(address[0]);
			const isLinked = (from: string, to: string) => isInside(from) === isInside(to);
			mesh.reachability = {...fullReachability, isLinked};
			break;
		}

		case 'heal': {
			mesh.reachability = fullReachability;
			break;
		}

		case 'restart': {
			mesh.kill(address);
			mesh.start(address);
			break;
		}

		case 'none': {
			break;
		}
	}
}

describe('a version confirmed while connections to the store are silent', () => {
	for (const count of [1, 2, 3, 9, 11, 60]) {
		it(`is in force on ${count} nodes within the bound, whenever they fell silent`, () => {
			const addresses = addressesOf(count);
			const mesh = startedMesh(addresses);
			for (const [index, silentAfterMs] of [10, 160, 500, 1500, 3500, 6000].entries()) {
				const version = 2 * index + 3;
				mesh.writeConfiguration(documentOf(version - 1));
				mesh.run(silentAfterMs);
				mesh.silenceConnections();
				mesh.writeConfiguration(documentOf(version));
				mesh.run(recoveryMs);
				const expected = Array.from({length: count}, () => version);
				expect(heldVersions(mesh), `${silentAfterMs} ms`).to.deep.equal(expected);
				mesh.run(5000);
			}
		});
	}

	it('is in force also in a data centre that is cut off from the others', () => {
		const addresses = addressesOf(9);
		const mesh = startedMesh(addresses);
		const isSameSide = (from: string, to: string) => from.startsWith('a') === to.startsWith('a');
		mesh.reachability = {...fullReachability, isLinked: isSameSide};
		mesh.run(6000);
		mesh.writeConfiguration(documentOf(2));
		mesh.run(200);
		mesh.silenceConnections();
		mesh.writeConfiguration(documentOf(3));
		mesh.run(recoveryMs);
		expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 3));
	});

	it('costs no more requests than polls of four seconds and one for each node and change', () => {
		const mesh = startedMesh(addressesOf(9));
		const before = mesh.configurationReads;
		mesh.writeConfiguration(documentOf(2));
		mesh.run(20_000);
		expect(mesh.configurationReads - before).to.equal(9);
	});
});

describe('a poll that is left hanging', () => {
	it('does not delay the next version after the store has returned from an older copy', () => {
		const addresses = addressesOf(9);
		const mesh = startedMesh(addresses);
		const copy = mesh.takeCopy();
		mesh.writeConfiguration(documentOf(2));
		mesh.run(1000);
		mesh.returnFrom(copy, {leavesPolls: true});
		mesh.run(50);
		mesh.writeConfiguration(documentOf(3));
		mesh.run(boundMs);
		expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => 3));
	});

	it('is abandoned once other nodes have a version that it does not deliver', () => {
		const mesh = startedMesh(addressesOf(9));
		const node = mesh.nodes.get('a/1')!;
		node.poll!.isSilenced = true;
		const hung = node.poll;
		mesh.writeConfiguration(documentOf(2));
		mesh.run(1000);
		expect(node.versions.at(-1)).to.equal(2);
		expect(node.poll).to.not.equal(hung);
	});

	it('is abandoned rarely by a node that cannot get a version that others announce', () => {
		const mesh = startedMesh(addressesOf(9));
		const before = mesh.configurationReads;
		const node = mesh.nodes.get('a/1')!;
		const {storeEra} = mesh;
		for (let second = 0; second < 10; second++) {
			mesh.dispatch(node, {
				type: 'datagram',
				from: 'nobody',
				datagram: {
					type: 'pulse',
					incarnation: 1,
					revision: 1,
					version: 9,
					isWatching: true,
					crashDigest: 0,
					storeEra,
				},
			});
			mesh.run(1000);
		}

		expect(mesh.configurationReads - before).to.be.at.most(6);
	});

	it('never leaves nodes behind under any series of silences, returns, cuts, restarts and changes', () => {
		const addresses = addressesOf(9);
		const anyStep = fc.record({
			fault: fc.constantFrom(...faults),
			where: fc.nat(addresses.length - 1),
			pauseMs: fc.integer({min: 0, max: 2500}),
		});
		fc.assert(
			fc.property(fc.array(anyStep, {minLength: 1, maxLength: 8}), (steps) => {
				const mesh = startedMesh(addresses);
				let version = 1;
				for (const {fault, where, pauseMs} of steps) {
					const copy = mesh.takeCopy();
					version += 1;
					mesh.writeConfiguration(documentOf(version));
					mesh.run(pauseMs);
					play(mesh, fault, addresses[where], copy);
				}

				version += 1;
				mesh.writeConfiguration(documentOf(version));
				mesh.run(recoveryMs + boundMs);
				expect(heldVersions(mesh)).to.deep.equal(addresses.map(() => version));
				for (const {versions} of mesh.nodes.values()) {
					expect(versions).to.deep.equal(versions.toSorted((a, b) => a - b));
				}
			}),
			{seed, numRuns: 40},
		);
	}).timeout(60_000);
});

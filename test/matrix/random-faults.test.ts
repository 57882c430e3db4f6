import {expect} from 'chai';
import fc from 'fast-check';
import {type FakeMesh} from '../support/fake-mesh.js';
import {
	dataCentres,
	runningMesh,
	nodeSettingsFor,
	configurationTextWith,
} from '../support/fixtures.js';

/** One thing that happens to the mesh; the numbers pick nodes, data centres and times. */
type Step =
	| {readonly type: 'apply'; readonly deadlineMs: number}
	| {readonly type: 'kill' | 'restart' | 'pause' | 'resume'; readonly node: number}
	| {readonly type: 'drain' | 'undrain'; readonly node: number}
	| {readonly type: 'platform-down' | 'platform-up' | 'drop-watches'}
	| {readonly type: 'isolate' | 'join' | 'cut-platform'; readonly dataCentre: number}
	| {readonly type: 'wait'; readonly durationMs: number};

const convergenceBoundMs = 19_000;
/** Time for endpoint news after recovery, two lost heartbeats included. */
const settleMs = 9000;
const fixedSeed = 4711;
const runs = 150;
const sites = nodeSettingsFor();

const anyNode = fc.nat({max: sites.length - 1});
const anyDataCentre = fc.nat({max: dataCentres.length - 1});
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc.record({type: fc.constant('apply' as const), deadlineMs: fc.integer({min: 1, max: 9999})}),
	fc.record({
		type: fc.constantFrom('kill' as const, 'restart' as const, 'pause' as const, 'resume' as const),
		node: anyNode,
	}),
	fc.record({type: fc.constantFrom('drain' as const, 'undrain' as const), node: anyNode}),
	fc.record({
		type: fc.constantFrom(
			'platform-down' as const,
			'platform-up' as const,
			'drop-watches' as const,
		),
	}),
	fc.record({
		type: fc.constantFrom('isolate' as const, 'join' as const, 'cut-platform' as const),
		dataCentre: anyDataCentre,
	}),
	fc.record({type: fc.constant('wait' as const), durationMs: fc.integer({min: 1, max: 8000})}),
);

function perform(mesh: FakeMesh, step: Step): void {
	switch (step.type) {
		case 'apply': {
			mesh.apply(configurationTextWith(step.deadlineMs));
			break;
		}

		case 'kill':
		case 'restart':
		case 'pause':
		case 'resume':
		case 'drain':
		case 'undrain': {
			performOnNode(mesh, step.type, sites[step.node].address);
			break;
		}

		case 'platform-down':
		case 'platform-up': {
			mesh.setPlatformDown(step.type === 'platform-down');
			break;
		}

		case 'drop-watches': {
			mesh.dropWatches();
			break;
		}

		case 'isolate':
		case 'join': {
			mesh.setIsolated(dataCentres[step.dataCentre], step.type === 'isolate');
			break;
		}

		case 'cut-platform': {
			for (const site of sites.filter((each) => each.dataCentre === dataCentres[step.dataCentre])) {
				mesh.addressesWithoutPlatform.add(site.address);
			}

			mesh.refreshWatches();
			break;
		}

		case 'wait': {
			mesh.run(step.durationMs);
			break;
		}
	}
}

function performOnNode(
	mesh: FakeMesh,
	type: 'kill' | 'restart' | 'pause' | 'resume' | 'drain' | 'undrain',
	address: string,
): void {
	const node = mesh.nodes.get(address);
	if (node === undefined) {
		return;
	}

	switch (type) {
		case 'kill': {
			mesh.kill(node);
			break;
		}

		case 'restart': {
			mesh.kill(node);
			mesh.start(node.settings);
			break;
		}

		case 'pause': {
			mesh.pause(node);
			break;
		}

		case 'resume': {
			mesh.resume(node);
			break;
		}

		case 'drain':
		case 'undrain': {
			mesh.announce(node, type === 'drain' ? 'draining' : 'ready');
			break;
		}
	}
}

/** Ends every fault: the operator does nothing, hosts and networks come back. */
function heal(mesh: FakeMesh): void {
	mesh.addressesWithoutPlatform.clear();
	mesh.partitionedPairs.clear();
	mesh.setPlatformDown(false);
	for (const node of mesh.nodes.values()) {
		if (!node.isAlive) {
			mesh.start(node.settings);
		} else if (node.isPaused) {
			mesh.resume(node);
		}
	}
}

function newestVersionNumber(mesh: FakeMesh): number {
	const object = mesh.store.read('ConfigurationText', 'main');
	return object?.kind === 'ConfigurationText' ? object.spec.version.number : 0;
}

describe('any sequence of faults', () => {
	it('breaks no promise, and the newest text is in force once the faults end', () => {
		fc.assert(
			fc.property(fc.nat(), fc.array(anyStep, {maxLength: 25}), (seed, sequence) => {
				const mesh = runningMesh(seed);
				for (const step of sequence) {
					perform(mesh, step);
				}

				heal(mesh);
				const newest = newestVersionNumber(mesh);
				const isRecovered = mesh.run(convergenceBoundMs, () => mesh.isInForce(newest));
				expect(mesh.checker.violations).to.deep.equal([]);
				mesh.run(settleMs);
				expect(mesh.isRosterComplete(), 'every node knows all others').to.equal(true);
				expect(isRecovered, `version ${newest} in force`).to.equal(true);
			}),
			{seed: fixedSeed, numRuns: runs},
		);
	});
});

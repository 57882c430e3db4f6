import {expect} from 'chai';
import {documentOf, FakeDirectoryMesh, fullReachability} from '../support/fake-directory-mesh.js';
import {RolloutTraffic, type RolloutTrafficOptions} from '../support/rollout-traffic.js';

const bounds = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000};
const service = 'coding';
const durationMs = 20_000;
const good: RolloutTrafficOptions = {service, callsPerSecond: 300, failureShareAt: () => 0};

function failingBy(share: number, fromMs = 0): RolloutTrafficOptions {
	return {...good, failureShareAt: (elapsedMs) => (elapsedMs >= fromMs ? share : 0)};
}

/** Runs an order with the product's own decisions and returns the mesh and its traffic. */
function runOrder(
	options: RolloutTrafficOptions,
	seed: number,
	faults: ReadonlyArray<readonly [atMs: number, apply: (mesh: FakeDirectoryMesh) => void]> = [],
) {
	const mesh = new FakeDirectoryMesh(seed);
	mesh.rolloutBounds = bounds;
	mesh.writeConfiguration(documentOf(1));
	for (const dataCentre of ['a', 'b', 'c']) {
		for (let index = 1; index <= 7; index += 1) {
			mesh.start(`${dataCentre}/${index}`, {linkMbps: 10});
		}
	}

	mesh.run(5000);
	const orderedAt = mesh.clock.now;
	mesh.orderRollout(service, 'v2', durationMs);
	mesh.run(100);
	const traffic = new RolloutTraffic(mesh, seed, options);
	for (const [atMs, apply] of faults) {
		mesh.run(orderedAt + atMs - mesh.clock.now);
		apply(mesh);
	}

	mesh.run(orderedAt + durationMs - mesh.clock.now);
	const status = mesh.storedStatus(service)?.state;
	const bound = bounds.exposureShare * traffic.calls + bounds.exposureSlack;
	mesh.run(2000);
	return {mesh, traffic, status, bound};
}

/** Calls sent to the new version later than the bound allows after its 50th failure. */
function lateCalls({failuresAt, newCallsAt}: RolloutTraffic): number {
	const fiftieth = failuresAt.at(49) ?? Number.POSITIVE_INFINITY;
	return newCallsAt.filter((at) => at > fiftieth + bounds.rollbackMs).length;
}

const killDecider = (mesh: FakeDirectoryMesh) => {
	const [node] = mesh.nodes.values();
	const decider = node.directory.blackboard.rollouts.held.get(service)?.stage.decider ?? '';
	mesh.kill(decider);
};

const cutOff = (mesh: FakeDirectoryMesh) => {
	mesh.reachability = {
		...fullReachability,
		isLinked: (from, to) => from.startsWith('c/') === to.startsWith('c/'),
		canReachStore: (address) => !address.startsWith('c/'),
	};
};

const loseStore = (mesh: FakeDirectoryMesh) => {
	mesh.reachability = {...fullReachability, canReachStore: () => false};
};

describe('a rollout decided by its traffic', () => {
	it('is completed before its deadline on a good version', () => {
		for (let seed = 1; seed <= 5; seed += 1) {
			const {status, traffic} = runOrder(good, seed);
			expect(status, `seed ${seed}`).to.equal('completed');
			expect(traffic.refused).to.equal(0);
		}
	});

	it('is completed on a good version also when its decider is killed or the store is down for a while', () => {
		const regainStore = (mesh: FakeDirectoryMesh) => {
			mesh.reachability = fullReachability;
		};

		for (let seed = 1; seed <= 3; seed += 1) {
			expect(runOrder(good, seed, [[5000, killDecider]]).status).to.equal('completed');
			const {status} = runOrder(good, seed, [
				[3000, loseStore],
				[0.8 * durationMs, regainStore],
			]);
			expect(status).to.equal('completed');
		}
	});

	const badVersions: ReadonlyArray<readonly [string, RolloutTrafficOptions]> = [
		['fails in 20 % of its runs', failingBy(0.2)],
		['fails in 60 % of its runs', failingBy(0.6)],
		['fails in all runs after half of the time', failingBy(1, durationMs / 2)],
		['fails in 60 % of its runs from the last stage on', failingBy(0.6, 0.9 * durationMs)],
		['is three times slower', {...good, slowness: 3}],
	];
	const faults: ReadonlyArray<
		readonly [string, ReadonlyArray<readonly [number, (mesh: FakeDirectoryMesh) => void]>]
	> = [
		['without faults', []],
		['while its decider is killed', [[3000, killDecider]]],
		['while its decider is killed in the last stage', [[0.92 * durationMs, killDecider]]],
		['while a data centre is cut off', [[3000, cutOff]]],
		['while the store is down', [[3000, loseStore]]],
	];
	for (const [version, options] of badVersions) {
		for (const [circumstance, applied] of faults) {
			it(`stays within its bounds if the version ${version}, ${circumstance}`, () => {
				for (let seed = 1; seed <= 2; seed += 1) {
					const {traffic, bound, mesh} = runOrder(options, seed, applied);
					expect(traffic.newCalls, `seed ${seed}`).to.be.at.most(bound);
					expect(lateCalls(traffic), `seed ${seed}`).to.equal(0);
					mesh.reachability = fullReachability;
					mesh.run(8000);
					expect(mesh.storedStatus(service)?.state, `seed ${seed}`).not.to.equal('completed');
				}
			});
		}
	}
});

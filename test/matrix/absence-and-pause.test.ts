import {expect} from 'chai';
import {acceptsCalls} from 'redwingmill-core';
import {configurationTextWith, runningMesh} from '../support/fixtures.js';

const seed = 11;
const convergenceBoundMs = 19_000;
const pauseMs = 8000;

describe('a data centre whose nodes are all unresponsive', () => {
	it('delays a version until it counts as absent, and is then left out and listed in the acceptance', () => {
		const mesh = runningMesh(seed);
		for (const node of mesh.liveNodes().filter((each) => each.settings.dataCentre === 'dc-c')) {
			mesh.kill(node);
		}

		mesh.apply(configurationTextWith(2000));
		expect(
			mesh.run(3000, () => mesh.isInForce(2)),
			'not in force within 3 s, while the data centre is awaited',
		).to.equal(false);
		const isInForce = mesh.run(convergenceBoundMs - 3000, () => mesh.isInForce(2));
		expect(isInForce, 'in force within the bound').to.equal(true);
		const acceptance = mesh.store.read('Acceptance', 'main');
		expect(acceptance?.kind === 'Acceptance' && acceptance.spec.absent).to.deep.equal(['dc-c']);
		expect(mesh.checker.violations).to.deep.equal([]);
	});

	it('activates the newest version after it returns', () => {
		const mesh = runningMesh(seed);
		const paused = mesh.liveNodes().filter((each) => each.settings.dataCentre === 'dc-c');
		for (const node of paused) {
			mesh.pause(node);
		}

		mesh.apply(configurationTextWith(2000));
		mesh.run(convergenceBoundMs);
		for (const node of paused) {
			mesh.resume(node);
		}

		expect(mesh.run(convergenceBoundMs, () => mesh.isInForce(2))).to.equal(true);
		expect(mesh.checker.violations).to.deep.equal([]);
	});
});

describe('a paused node', () => {
	it('accepts no calls after it resumes until it holds the version in force', () => {
		const mesh = runningMesh(seed);
		const node = mesh.liveNodes().find((each) => each !== mesh.relayOf(each.settings.dataCentre));
		expect(node).to.not.equal(undefined);
		if (node === undefined) {
			return;
		}

		mesh.pause(node);
		mesh.apply(configurationTextWith(2000));
		mesh.run(pauseMs + 3000);
		mesh.resume(node);
		const states: string[] = [];
		const isCurrent = () => {
			const {configuration, serving} = node.blackboard;
			const isStale = configuration.held?.version.number === 1;
			if (isStale && acceptsCalls(serving.state)) {
				states.push(serving.state);
			}

			return !isStale && serving.state === 'serving';
		};

		mesh.run(1);
		isCurrent();
		expect(
			mesh.run(convergenceBoundMs, isCurrent),
			'serves with the new version within the bound',
		).to.equal(true);
		expect(states, 'states in which it accepted calls with the old version').to.deep.equal([]);
	});

	it('serves with the version it holds when its data centre is partitioned', () => {
		const mesh = runningMesh(seed);
		for (const node of mesh.liveNodes().filter((each) => each.settings.dataCentre === 'dc-a')) {
			mesh.addressesWithoutPlatform.add(node.settings.address);
			mesh.pause(node);
		}

		mesh.setIsolated('dc-a', true);
		mesh.refreshWatches();
		mesh.run(pauseMs);
		for (const node of mesh.liveNodes()) {
			mesh.resume(node);
		}

		const isServing = () =>
			mesh.liveNodes().every(({blackboard}) => acceptsCalls(blackboard.serving.state));
		expect(mesh.run(convergenceBoundMs, isServing)).to.equal(true);
	});
});

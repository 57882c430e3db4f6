import {expect} from 'chai';
import {type FakeMesh} from '../support/fake-mesh.js';
import {configurationTextWith, runningMesh} from '../support/fixtures.js';

const seed = 7;

/**
 * Returns a mesh in which version 2 is staged on every node and accepted, but the platform goes down
 * before the acceptance reaches any node but the relay of dc-a, which alone activates it.
 */
function meshWithOneActivatedNode(): FakeMesh {
	const mesh = runningMesh(seed);
	const activatedNode = mesh.relayOf('dc-a');
	mesh.intercept = (transfer) => {
		const isAcceptance =
			(transfer.type === 'observe' && transfer.object.kind === 'Acceptance') ||
			(transfer.type === 'message' && transfer.message.type === 'acceptance');
		if (!isAcceptance) {
			return {type: 'deliver'};
		}

		const isForActivatedNode = transfer.type === 'observe' && transfer.to === activatedNode;
		return isForActivatedNode ? {type: 'deliver'} : {type: 'deliver', delayMs: 60_000};
	};

	mesh.apply(configurationTextWith(2000));
	mesh.run(3000, () => activatedNode?.blackboard.configuration.held?.version.number === 2);
	mesh.setPlatformDown(true);
	return mesh;
}

describe('a node that restarts while the platform is down', () => {
	it('accepts no calls until it knows whether its staged version was accepted', () => {
		const mesh = meshWithOneActivatedNode();
		const activatedNode = mesh.relayOf('dc-a');
		expect(activatedNode?.blackboard.configuration.held?.version.number).to.equal(2);
		if (activatedNode === undefined) {
			return;
		}

		for (const node of mesh.liveNodes()) {
			if (node !== activatedNode) {
				expect(node.blackboard.configuration.held?.version.number).to.equal(1);
			}
		}

		mesh.kill(activatedNode);
		const restarted = mesh.start(activatedNode.settings);
		mesh.run(20_000);
		expect(restarted.blackboard.serving.state).to.equal('starting');
		expect(mesh.checker.violations).to.deep.equal([]);

		mesh.setPlatformDown(false);
		mesh.intercept = undefined;
		mesh.run(19_000, () => mesh.isInForce(2));
		expect(restarted.blackboard.configuration.held?.version.number).to.equal(2);
		expect(restarted.blackboard.serving.state).to.equal('serving');
		expect(mesh.checker.violations).to.deep.equal([]);
	});

	it('serves with the version of its peers when no version is staged', () => {
		const mesh = runningMesh(seed);
		mesh.setPlatformDown(true);
		mesh.run(1000);
		const node = mesh.liveNodes().find((each) => each !== mesh.relayOf(each.settings.dataCentre));
		expect(node).to.not.equal(undefined);
		if (node === undefined) {
			return;
		}

		mesh.kill(node);
		const restarted = mesh.start(node.settings);
		expect(mesh.run(19_000, () => restarted.blackboard.serving.state === 'serving')).to.equal(true);
		expect(restarted.blackboard.configuration.held?.version.number).to.equal(1);
	});
});

import {expect} from 'chai';
import {type FakeMesh} from '../support/fake-mesh.js';
import {runningMesh, configurationTextWith} from '../support/fixtures.js';

const seed = 7;

/**
 * Version 2 is staged everywhere. It is accepted, but the platform goes down before any relay hears
 * of it, except that of dc-a, which activates it on itself alone and dies.
 */
function meshWithOneActivatedNode(): FakeMesh {
	const mesh = runningMesh(seed);
	const witness = mesh.relayOf('dc-a');
	mesh.intercept = (crossing) => {
		const isAcceptance =
			(crossing.type === 'observe' && crossing.object.kind === 'Acceptance') ||
			(crossing.type === 'message' && crossing.message.type === 'acceptance');
		if (!isAcceptance) {
			return {type: 'deliver'};
		}

		const isForWitness = crossing.type === 'observe' && crossing.to === witness;
		return isForWitness ? {type: 'deliver'} : {type: 'deliver', delayMs: 60_000};
	};

	mesh.apply(configurationTextWith(2000));
	mesh.run(3000, () => witness?.blackboard.configuration.held?.version.number === 2);
	mesh.setPlatformDown(true);
	return mesh;
}

describe('a node that restarts while the platform is down', () => {
	it('takes no calls until the fate of a staged version is known', () => {
		const mesh = meshWithOneActivatedNode();
		const witness = mesh.relayOf('dc-a');
		expect(witness?.blackboard.configuration.held?.version.number).to.equal(2);
		if (witness === undefined) {
			return;
		}

		for (const node of mesh.liveNodes()) {
			if (node !== witness) {
				expect(node.blackboard.configuration.held?.version.number).to.equal(1);
			}
		}

		mesh.kill(witness);
		const restarted = mesh.start(witness.settings);
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

	it('comes up from its peers when nothing is in doubt', () => {
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

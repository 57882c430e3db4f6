import {expect} from 'chai';
import {type CrashReport} from 'redwingmill-core';
import {type FakeMesh} from '../support/fake-mesh.js';
import {nodeSettingsFor, runningMesh} from '../support/fixtures.js';

const seed = 11;
const outageMs = 15_000;
const recoveryMs = 15_000;
const allAddresses = nodeSettingsFor()
	.map(({address}) => address)
	.toSorted();
const crashReport: CrashReport = {
	isCleared: false,
	fingerprint: 'GET /codes/1',
	crashes: [{node: 'dc-a-diary', incarnation: 1, count: 3}],
	ageMs: 0,
};

/** Returns a mesh and the addresses of the nodes that know of the crashes. */
function meshThatReports(): {mesh: FakeMesh; informed: Set<string>} {
	const mesh = runningMesh(seed);
	const informed = new Set<string>();
	mesh.onCrashReport = ({settings}) => {
		informed.add(settings.address);
	};

	mesh.crashReportsOf = ({settings}) => (informed.has(settings.address) ? [crashReport] : []);
	return {mesh, informed};
}

function reportFrom(mesh: FakeMesh, informed: Set<string>, address: string): void {
	informed.add(address);
	mesh.reportCrashes(mesh.nodes.get(address)!, crashReport);
}

describe('crash reports over links', () => {
	it('reach every node of every data centre', () => {
		const {mesh, informed} = meshThatReports();
		reportFrom(mesh, informed, 'dc-a-coding');
		mesh.run(1000);
		expect([...informed].toSorted()).to.deep.equal(allAddresses);
	});

	it('reach a data centre that was cut off when they were sent', () => {
		const {mesh, informed} = meshThatReports();
		mesh.setIsolated('dc-c', true);
		mesh.run(outageMs);
		reportFrom(mesh, informed, 'dc-a-coding');
		mesh.run(1000);
		expect([...informed].filter((address) => address.startsWith('dc-c'))).to.deep.equal([]);
		mesh.setIsolated('dc-c', false);
		mesh.run(recoveryMs);
		expect([...informed].toSorted()).to.deep.equal(allAddresses);
	});

	it('reach nodes that restart, and the data centre of a relay that restarts', () => {
		const {mesh, informed} = meshThatReports();
		reportFrom(mesh, informed, 'dc-a-coding');
		mesh.run(1000);
		const relay = mesh.relayOf('dc-b')!;
		for (const node of [relay, mesh.nodes.get('dc-a-diary')!]) {
			mesh.kill(node);
			informed.delete(node.settings.address);
			mesh.run(1000);
			mesh.start(node.settings);
		}

		mesh.run(recoveryMs);
		expect([...informed].toSorted()).to.deep.equal(allAddresses);
	});
});

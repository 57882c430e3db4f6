import {expect} from 'chai';
import {type Transfer, type FakeMesh, type DeliveryMode} from '../support/fake-mesh.js';
import {runningMesh, configurationTextWith} from '../support/fixtures.js';
import {faults, steps, type Fault, type Step} from './configuration-matrix.js';

/** The users' bound for a change to be in force everywhere. */
const convergenceBoundMs = 19_000;
const seed = 20_261_204;
const stepTimeoutMs = 5000;
/** Time for endpoint news after recovery, two lost heartbeats included. */
const settleMs = 9000;
/** Longest time for which two linked nodes may hold different versions. */
const divergenceBoundMs = 5000;
/** Time in which a leaving worker is out of every connected node's choice. */
const leaveBoundMs = 3000;

type Cell = {
	readonly wasStepSeen: boolean;
	readonly recoveryMs: number;
	readonly mesh: FakeMesh;
};

/** Runs one cell: the step comes, the fault begins with it and ends, and the mesh is to recover. */
function runCell(step: Step, fault: Fault): Cell {
	const mesh = runningMesh(seed);
	let undo: (() => void) | undefined;
	let wasStepSeen = false;
	mesh.intercept = (crossing: Transfer): DeliveryMode => {
		if (wasStepSeen || !steps[step](crossing)) {
			return {type: 'deliver'};
		}

		wasStepSeen = true;
		undo = fault.begin?.(mesh, crossing);
		return fault.deliveryMode ?? {type: 'deliver'};
	};

	triggerStep(mesh, step);
	mesh.run(stepTimeoutMs, () => wasStepSeen);
	mesh.run(fault.durationMs);
	undo?.();
	const healedAt = mesh.clock.now;
	const newest = newestVersionNumber(mesh);
	mesh.run(convergenceBoundMs, () => mesh.isInForce(newest));
	const recoveryMs = mesh.clock.now - healedAt;
	mesh.run(settleMs);
	return {wasStepSeen, recoveryMs, mesh};
}

/** Makes the step happen: a change, a restart or a worker that leaves. */
function triggerStep(mesh: FakeMesh, step: Step): void {
	mesh.apply(configurationTextWith(2000));
	const node = mesh.nodes.get('dc-b-coding');
	if (node && step === 'register') {
		mesh.kill(node);
		mesh.start(node.settings);
	} else if (node && (step === 'leave' || step === 'delta')) {
		mesh.announce(node, 'draining');
	}
}

/** Nodes that would still choose a worker although it leaves. */
function nodesThatRouteTo(mesh: FakeMesh, address: string): string[] {
	const own = mesh.nodes.get(address)?.blackboard.roster.self;
	if (own?.worker?.state !== 'draining') {
		return [];
	}

	return mesh
		.liveNodes()
		.filter(({blackboard: board}) =>
			[...board.routing.endpoints.values()].flat().some((endpoint) => endpoint.node === address),
		)
		.map((node) => node.settings.address);
}

function newestVersionNumber(mesh: FakeMesh): number {
	const object = mesh.store.read('ConfigurationText', 'main');
	return object?.kind === 'ConfigurationText' ? object.spec.version.number : 0;
}

describe('fault matrix of the configuration', () => {
	for (const step of Object.keys(steps) as Step[]) {
		for (const [name, fault] of Object.entries(faults)) {
			it(`${step} × ${name}`, () => {
				const {mesh, wasStepSeen, recoveryMs} = runCell(step, fault);
				expect(wasStepSeen, 'the step was seen').to.equal(true);
				expect(mesh.checker.violations).to.deep.equal([]);
				expect(mesh.isInForce(newestVersionNumber(mesh)), 'the newest text is in force').to.equal(
					true,
				);
				expect(recoveryMs).to.be.at.most(convergenceBoundMs);
				expect(mesh.isRosterComplete(), 'every node knows all others').to.equal(true);
				expect(mesh.longestDivergenceMs).to.be.at.most(divergenceBoundMs);
				if (step === 'leave') {
					expect(nodesThatRouteTo(mesh, 'dc-b-coding')).to.deep.equal([]);
				}
			});
		}
	}

	it('takes a leaving worker out of every choice in time', () => {
		const mesh = runningMesh(seed);
		const node = mesh.nodes.get('dc-b-coding');
		expect(node).to.not.equal(undefined);
		if (node) {
			mesh.announce(node, 'draining');
		}

		const isOut = () => nodesThatRouteTo(mesh, 'dc-b-coding').length === 0;
		expect(mesh.run(leaveBoundMs, isOut)).to.equal(true);
	});
});

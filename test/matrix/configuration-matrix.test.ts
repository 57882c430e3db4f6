import {expect} from 'chai';
import {type DeliveryMode, type FakeMesh, type Transfer} from '../support/fake-mesh.js';
import {configurationTextWith, runningMesh} from '../support/fixtures.js';
import {faults, steps, type Fault, type Step} from './configuration-matrix.js';

/** Required bound for a change to be in force on every node. */
const convergenceBoundMs = 19_000;
const seed = 20_261_204;
const stepTimeoutMs = 5000;
/** Time for endpoint updates to spread after recovery, with two heartbeats lost. */
const settleMs = 9000;
/** Longest time for which a node and its relay may hold different versions while linked. */
const divergenceBoundMs = 5000;
/** Time after which no connected node routes calls to a draining worker. */
const leaveBoundMs = 3000;

type Cell = {
	readonly hasStepOccurred: boolean;
	readonly recoveryMs: number;
	readonly mesh: FakeMesh;
};

/** Triggers the step, injects the fault at its first occurrence, ends it and awaits recovery. */
function runCell(step: Step, fault: Fault): Cell {
	const mesh = runningMesh(seed);
	let undo: (() => void) | undefined;
	let hasStepOccurred = false;
	mesh.intercept = (transfer: Transfer): DeliveryMode => {
		if (hasStepOccurred || !steps[step](transfer)) {
			return {type: 'deliver'};
		}

		hasStepOccurred = true;
		undo = fault.begin?.(mesh, transfer);
		return fault.deliveryMode ?? {type: 'deliver'};
	};

	triggerStep(mesh, step);
	mesh.run(stepTimeoutMs, () => hasStepOccurred);
	mesh.run(fault.durationMs);
	undo?.();
	const faultEndedAt = mesh.clock.now;
	const newest = newestVersionNumber(mesh);
	mesh.run(convergenceBoundMs, () => mesh.isInForce(newest));
	const recoveryMs = mesh.clock.now - faultEndedAt;
	mesh.run(settleMs);
	return {hasStepOccurred, recoveryMs, mesh};
}

/** Applies a change and, where the step needs it, restarts a node or drains its worker. */
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

/** Returns the nodes that still route to a node's draining worker; none if it isn't draining. */
function nodesRoutingTo(mesh: FakeMesh, address: string): string[] {
	const record = mesh.nodes.get(address)?.blackboard.roster.self;
	if (record?.worker?.state !== 'draining') {
		return [];
	}

	return mesh
		.liveNodes()
		.filter(({blackboard}) =>
			[...blackboard.routing.endpoints.values()]
				.flat()
				.some((endpoint) => endpoint.node === address),
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
				const {mesh, hasStepOccurred, recoveryMs} = runCell(step, fault);
				expect(hasStepOccurred, 'the step occurred').to.equal(true);
				expect(mesh.checker.violations).to.deep.equal([]);
				expect(mesh.isInForce(newestVersionNumber(mesh)), 'the newest text is in force').to.equal(
					true,
				);
				expect(recoveryMs).to.be.at.most(convergenceBoundMs);
				expect(mesh.isRosterComplete(), 'every node routes to exactly the ready workers').to.equal(
					true,
				);
				expect(mesh.longestDivergenceMs).to.be.at.most(divergenceBoundMs);
				if (step === 'leave') {
					expect(nodesRoutingTo(mesh, 'dc-b-coding')).to.deep.equal([]);
				}
			});
		}
	}

	it('removes a draining worker from every routing table within the bound', () => {
		const mesh = runningMesh(seed);
		const node = mesh.nodes.get('dc-b-coding');
		expect(node).to.not.equal(undefined);
		if (node) {
			mesh.announce(node, 'draining');
		}

		const isRemoved = () => nodesRoutingTo(mesh, 'dc-b-coding').length === 0;
		expect(mesh.run(leaveBoundMs, isRemoved)).to.equal(true);
	});
});

import {expect} from 'chai';
import {
	type CreateDecider,
	type RolloutDecision,
	type RolloutOrder,
	type RolloutStage,
	type WorkerEvidence,
} from 'redwingmill-core';
import {
	documentOf,
	FakeDirectoryMesh,
	fullReachability,
	type DirectoryNode,
} from '../support/fake-directory-mesh.js';

const rolloutBounds = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000};
const service = 'coding';
const durationMs = 30_000;

/** Address of a node; the data centre is the part before the slash. */
const addressOf = (dataCentre: string, index: number) =>
	`${dataCentre}/${String(index).padStart(2, '0')}`;

/** Decides by the time of the order alone: 3 % up to half of it, all up to 80 %, then completed. */
function decisionAt(order: RolloutOrder, elapsedMs: number): RolloutDecision {
	const part = elapsedMs / order.durationMs;
	if (part >= 0.8) {
		return {state: 'completed', share: 1, reason: 'time'};
	}

	return {state: 'running', share: part >= 0.5 ? 1 : 0.03, reason: 'time'};
}

/** A mesh whose deciders go by time, and by the versions in `badVersions`. */
class RolloutMesh extends FakeDirectoryMesh {
	/** Versions that each decider rolls back as soon as it decides. */
	readonly badVersions = new Set<string>();
	/** Evidence that reached a decider. A failure in it makes the version a bad one. */
	readonly evidence: WorkerEvidence[] = [];
	/** Every stage that a node has held, by node. */
	readonly history = new Map<string, RolloutStage[]>();

	constructor(dataCentres: readonly string[], nodesEach: number, seed = 1) {
		super(seed);
		this.rolloutBounds = rolloutBounds;
		const create: CreateDecider = (order, _bounds, {elapsedMs, now: startedAt}) => ({
			onEvidence: (evidence) => {
				this.evidence.push(evidence);
				if (evidence.routes.some(({failures}) => failures > 0)) {
					this.badVersions.add(order.targetVersion);
				}
			},
			decide: (now) =>
				this.badVersions.has(order.targetVersion)
					? {state: 'rolled-back', share: 0, reason: 'bad'}
					: decisionAt(order, elapsedMs + now - startedAt),
		});
		this.createDecider = create;
		this.writeConfiguration(documentOf(1));
		for (const dataCentre of dataCentres) {
			for (let index = 1; index <= nodesEach; index += 1) {
				this.startNode(addressOf(dataCentre, index));
			}
		}

		this.run(6000);
	}

	startNode(address: string): DirectoryNode {
		const node = this.start(address, {linkMbps: 10});
		this.history.set(address, []);
		node.directory.registerListener(({rollouts}, previous) => {
			const held = rollouts.held.get(service);
			if (held && held !== previous.rollouts.held.get(service)) {
				this.history.get(address)?.push(held.stage);
			}
		});
		return node;
	}

	stageAt(address: string): RolloutStage | undefined {
		return this.nodes.get(address)?.directory.blackboard.rollouts.held.get(service)?.stage;
	}

	isWithdrawnAt(address: string): boolean | undefined {
		return this.nodes.get(address)?.directory.blackboard.rollouts.held.get(service)?.isWithdrawn;
	}

	/** Reports the runs that the gate of a node has counted. */
	count(address: string, runs: number, failures: number): void {
		const node = this.nodes.get(address);
		const routes = [{group: '/codes/', runs, failures, logSum: 0, logSquareSum: 0}];
		const evidence: WorkerEvidence = {
			node: address,
			incarnation: 1,
			worker: address,
			service,
			version: 'v2',
			inProgress: 0,
			dispatched: runs,
			routes,
		};
		if (node) {
			this.dispatch(node, {type: 'evidence-counted', evidence});
		}
	}

	/** States of the nodes that are up, each once. */
	get states(): Array<string | undefined> {
		const up = [...this.nodes.values()].filter(({isUp}) => isUp);
		return [...new Set(up.map(({address}) => this.stageAt(address)?.state))];
	}

	/** The node that announced the stage which this node holds. */
	deciderAt(address: string): string {
		return this.stageAt(address)?.decider ?? '';
	}

	/** Nodes that have held a final state of an order and then another state of the same order. */
	get reversals(): string[] {
		return [...this.history].flatMap(([address, stages]) =>
			stages.flatMap(({order, state}, index) => {
				const earlier = stages
					.slice(0, index)
					.findLast(
						(stage) =>
							stage.order.revision === order.revision &&
							stage.order.targetVersion === order.targetVersion &&
							stage.state !== 'running',
					);
				return earlier && earlier.state !== state
					? [`${address}: ${earlier.state}, then ${state}`]
					: [];
			}),
		);
	}
}

const sizes: ReadonlyArray<readonly [string, readonly string[], number]> = [
	['a mesh of 9 nodes', ['a', 'b', 'c'], 3],
	['a mesh of 60 nodes', ['a', 'b', 'c'], 20],
];

for (const [title, dataCentres, nodesEach] of sizes) {
	describe(`a rollout in ${title}`, () => {
		const create = () => new RolloutMesh(dataCentres, nodesEach);
		const last = addressOf('c', nodesEach);

		it('goes through its stages to completion on every node and in the store', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(1000);
			expect(mesh.storedStatus(service)?.state).to.equal('running');
			expect(mesh.stageAt(last)?.share).to.equal(0.03);
			mesh.run(15_000);
			expect(mesh.stageAt(last)?.share).to.equal(1);
			mesh.run(9000);
			expect(mesh.storedStatus(service)?.state).to.equal('completed');
			expect(mesh.states).to.deep.equal(['completed']);
			expect(mesh.reversals).to.deep.equal([]);
		});

		it('is rolled back on every node within 300 ms of the verdict', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			mesh.badVersions.add('v2');
			mesh.run(300);
			expect(mesh.states).to.deep.equal(['rolled-back']);
			mesh.run(1000);
			expect(mesh.storedStatus(service)?.state).to.equal('rolled-back');
			mesh.badVersions.clear();
			mesh.run(durationMs);
			expect(mesh.states).to.deep.equal(['rolled-back']);
		});

		it('is continued by another node at the time reached when its decider is killed', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			const decider = mesh.deciderAt(last);
			mesh.kill(decider);
			mesh.run(4000);
			expect(mesh.deciderAt(last)).not.to.be.oneOf([decider, '']);
			expect(mesh.stageAt(last)?.elapsedMs).to.be.within(8000, 9200);
			mesh.run(16_500);
			expect(mesh.storedStatus(service)?.state).to.equal('completed');
		});

		it('keeps a verdict whose decider is killed before it has written it', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			mesh.reachability = {...fullReachability, canReachStore: () => false};
			mesh.badVersions.add('v2');
			mesh.run(150);
			mesh.badVersions.clear();
			mesh.kill(mesh.deciderAt(last));
			mesh.run(3000);
			mesh.reachability = fullReachability;
			mesh.run(8000);
			expect(mesh.storedStatus(service)?.state).to.equal('rolled-back');
			expect(mesh.states).to.deep.equal(['rolled-back']);
			expect(mesh.reversals).to.deep.equal([]);
		});

		it('is completed also while the store is down, whose status follows', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(1000);
			mesh.reachability = {...fullReachability, canReachStore: () => false};
			mesh.run(26_000);
			expect(mesh.stageAt(last)?.share).to.equal(1);
			expect(mesh.storedStatus(service)?.state).to.equal('running');
			mesh.reachability = fullReachability;
			mesh.run(8000);
			expect(mesh.storedStatus(service)?.state).to.equal('completed');
			expect(mesh.states).to.deep.equal(['completed']);
		});

		it('is rolled back at once while the store is down, whose status follows', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(1000);
			mesh.reachability = {...fullReachability, canReachStore: () => false};
			mesh.run(5000);
			mesh.badVersions.add('v2');
			mesh.run(300);
			expect(mesh.states).to.deep.equal(['rolled-back']);
			mesh.reachability = fullReachability;
			mesh.run(8000);
			expect(mesh.storedStatus(service)?.state).to.equal('rolled-back');
		});

		it('ends by the evidence of a gate that is far from its decider', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(3000);
			mesh.count(last, 10, 0);
			mesh.run(300);
			expect(mesh.evidence.at(-1)?.dispatched).to.equal(10);
			mesh.count(last, 13, 3);
			mesh.run(300);
			expect(mesh.states).to.deep.equal(['rolled-back']);
		});

		it('has the whole evidence again after its decider was killed', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(3000);
			mesh.count(last, 10, 0);
			mesh.run(300);
			mesh.kill(mesh.deciderAt(last));
			mesh.run(4000);
			mesh.evidence.length = 0;
			mesh.count(last, 10, 0);
			mesh.run(300);
			expect(mesh.evidence.at(-1)?.routes.length).to.equal(1);
		});

		it('ends everywhere by the verdict of either of two deciders that only share the store', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(3000);
			mesh.reachability = {
				...fullReachability,
				isLinked: (from, to) => from.startsWith('c/') === to.startsWith('c/'),
			};
			mesh.run(6000);
			expect(mesh.deciderAt(last)).not.to.equal(mesh.deciderAt(addressOf('a', nodesEach)));
			mesh.count(last, 10, 3);
			mesh.run(1000);
			expect(mesh.storedStatus(service)?.state).to.equal('rolled-back');
			expect(mesh.states).to.deep.equal(['rolled-back']);
			mesh.reachability = fullReachability;
			mesh.run(3000);
			expect(mesh.states).to.deep.equal(['rolled-back']);
			expect(mesh.reversals).to.deep.equal([]);
		});

		it('ends with one verdict when answers of the store are lost', () => {
			for (const delayMs of [0, 3000]) {
				const mesh = create();
				mesh.statusFault = {type: 'answer-lost', delayMs};
				mesh.orderRollout(service, 'v2', durationMs);
				mesh.run(28_000);
				mesh.statusFault = {type: 'none'};
				mesh.run(5000);
				expect(mesh.storedStatus(service)?.state, `${delayMs} ms`).to.equal('completed');
				expect(mesh.states).to.deep.equal(['completed']);
				expect(mesh.reversals).to.deep.equal([]);
			}
		});

		it('is not raised in a data centre that is cut off, and ends there once it is back', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			mesh.reachability = {
				...fullReachability,
				isLinked: (from, to) => from.startsWith('c/') === to.startsWith('c/'),
				canReachStore: (address) => !address.startsWith('c/'),
			};
			mesh.run(22_000);
			expect(mesh.stageAt(addressOf('a', nodesEach))?.state).to.equal('completed');
			expect(mesh.stageAt(last)?.share).to.equal(0.03);
			mesh.reachability = fullReachability;
			mesh.run(6000);
			expect(mesh.states).to.deep.equal(['completed']);
		});

		it('is known to a node that starts while it runs, and after its end', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			mesh.kill(last);
			mesh.run(3000);
			mesh.startNode(last);
			mesh.run(600);
			expect(mesh.stageAt(last)?.share).to.equal(0.03);
			mesh.badVersions.add('v2');
			mesh.run(15_000);
			mesh.kill(last);
			mesh.run(3000);
			mesh.startNode(last);
			mesh.run(600);
			expect(mesh.stageAt(last)?.state).to.equal('rolled-back');
		});

		it('ends on every node when its order is removed', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			mesh.withdrawRollout(service);
			mesh.run(700);
			const addresses = [...mesh.nodes.keys()];
			expect(addresses.filter((address) => !mesh.isWithdrawnAt(address))).to.deep.equal([]);
			mesh.run(durationMs);
			expect(addresses.filter((address) => !mesh.isWithdrawnAt(address))).to.deep.equal([]);
		});

		it('starts from the beginning when its order is replaced by one for another version', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(18_000);
			expect(mesh.stageAt(last)?.share).to.equal(1);
			mesh.orderRollout(service, 'v3', durationMs);
			mesh.run(1000);
			expect(mesh.stageAt(last)?.order.targetVersion).to.equal('v3');
			expect(mesh.stageAt(last)?.share).to.equal(0.03);
			expect(mesh.storedStatus(service)?.state).to.equal('running');
			mesh.run(26_000);
			expect(mesh.storedStatus(service)?.state).to.equal('completed');
		});

		it('may be ordered again after it was rolled back', () => {
			const mesh = create();
			mesh.badVersions.add('v2');
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(2000);
			expect(mesh.states).to.deep.equal(['rolled-back']);
			mesh.badVersions.clear();
			mesh.withdrawRollout(service);
			mesh.run(1000);
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(1000);
			expect(mesh.states).to.deep.equal(['running']);
			mesh.run(26_000);
			expect(mesh.states).to.deep.equal(['completed']);
		});

		it('keeps its verdict when the store returns from a copy that lacks it', () => {
			for (const isBad of [true, false]) {
				const mesh = create();
				mesh.orderRollout(service, 'v2', durationMs);
				mesh.run(1000);
				const copy = mesh.takeCopy();
				if (isBad) {
					mesh.badVersions.add('v2');
				}

				mesh.run(26_000);
				const verdict = isBad ? 'rolled-back' : 'completed';
				expect(mesh.states).to.deep.equal([verdict]);
				mesh.badVersions.clear();
				mesh.returnFrom(copy);
				mesh.run(5000);
				expect(mesh.storedStatus(service)?.state).to.equal(verdict);
				expect(mesh.states).to.deep.equal([verdict]);
				expect(mesh.reversals).to.deep.equal([]);
			}
		});

		it('keeps the verdict of each node when two final states cross', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(24_500);
			const [first] = mesh.nodes.values();
			const stage = mesh.stageAt(last);
			if (stage === undefined) {
				throw new TypeError('no stage');
			}

			mesh.dispatch(first, {
				type: 'datagram',
				from: last,
				datagram: {
					type: 'rollout',
					isWithdrawn: false,
					stage: {...stage, state: 'rolled-back', share: 0, sequence: stage.sequence + 1000},
				},
			});
			mesh.run(5000);
			expect(mesh.reversals).to.deep.equal([]);
		});

		it('is not moved for a service that the configuration lacks, of which one warning is given', () => {
			const mesh = create();
			mesh.orderRollout('unheard-of', 'v2', durationMs);
			mesh.run(3000);
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(3000);
			const warnings = [...mesh.nodes.values()].map(
				({notices}) => notices.filter(({type}) => type === 'rollout-refused').length,
			);
			expect(Math.max(...warnings)).to.equal(1);
			expect(mesh.storedStatus('unheard-of')).to.equal(undefined);
			expect(mesh.storedStatus(service)?.state).to.equal('running');
		});

		it('gives no calls to a version whose order has an invalid duration, and starts once it is mended', () => {
			const mesh = create();
			mesh.orderRollout(service, 'v2', 0);
			mesh.run(5000);
			expect(mesh.stageAt(last)).to.deep.include({state: 'running', share: 0});
			expect(mesh.storedStatus(service)).to.equal(undefined);
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(1000);
			expect(mesh.stageAt(last)?.share).to.equal(0.03);
			expect(mesh.storedStatus(service)?.state).to.equal('running');
			mesh.orderRollout(service, 'v2', 0);
			mesh.run(1000);
			expect(mesh.stageAt(last)?.share).to.equal(0);
		});

		it('costs nothing where the settings have no bounds on rollouts', () => {
			const mesh = new FakeDirectoryMesh(1);
			mesh.writeConfiguration(documentOf(1));
			let datagrams = 0;
			mesh.onSent = (_from, _to, {type}) => {
				datagrams += type.startsWith('rollout') ? 1 : 0;
			};

			for (const dataCentre of dataCentres) {
				mesh.start(addressOf(dataCentre, 1), {linkMbps: 10});
			}

			mesh.run(5000);
			mesh.orderRollout(service, 'v2', durationMs);
			mesh.run(5000);
			expect(mesh.rolloutStoreCalls).to.equal(0);
			expect(datagrams).to.equal(0);
		});

		it('ends with one verdict on every node after any faults', () => {
			for (let seed = 1; seed <= (nodesEach > 10 ? 2 : 8); seed += 1) {
				const mesh = new RolloutMesh(dataCentres, nodesEach, seed);
				mesh.lossShare = 0.1;
				mesh.orderRollout(service, 'v2', durationMs);
				const addresses = [...mesh.nodes.keys()];
				for (let step = 0; step < 10; step += 1) {
					const victim = addresses[(step * 7 + seed * 3) % addresses.length];
					const cut = dataCentres[(step + seed) % dataCentres.length];
					const isCut = step % 3 === 1;
					const isDown = step % 4 === seed % 4;
					mesh.reachability = {
						...fullReachability,
						isLinked: (from, to) => !isCut || from.startsWith(cut) === to.startsWith(cut),
						canReachStore: (address) => !isDown && !(isCut && address.startsWith(cut)),
					};
					mesh.statusFault =
						step % 2 === 0 ? {type: 'answer-lost', delayMs: seed * 300} : {type: 'none'};
					mesh.kill(victim);
					if (step === 5 && seed % 2 === 0) {
						mesh.badVersions.add('v2');
					}

					mesh.run(2500);
					mesh.startNode(victim);
					mesh.run(500);
				}

				mesh.reachability = fullReachability;
				mesh.statusFault = {type: 'none'};
				mesh.lossShare = 0;
				mesh.run(20_000);
				const verdict = seed % 2 === 0 ? 'rolled-back' : 'completed';
				expect(mesh.reversals, `seed ${seed}`).to.deep.equal([]);
				expect(mesh.storedStatus(service)?.state, `seed ${seed}`).to.equal(verdict);
				expect(mesh.states, `seed ${seed}`).to.deep.equal([verdict]);
			}
		});
	});
}

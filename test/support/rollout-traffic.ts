import {
	RunTally,
	VersionChooser,
	type Endpoint,
	type RolloutOrder,
	type WorkerEvidence,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {type DirectoryNode, type FakeDirectoryMesh} from './fake-directory-mesh.js';

const stepMs = 10;
const evidenceIntervalMs = 250;

/** Worker of the service with its gate's counts. */
type SimulatedWorker = {
	readonly address: string;
	readonly endpoint: Endpoint;
	readonly version: string;
	order?: RolloutOrder;
	tally: RunTally;
	dispatched: number;
	inProgress: number;
};

/** Options of {@link RolloutTraffic}. */
export type RolloutTrafficOptions = {
	readonly service: string;
	readonly callsPerSecond: number;
	/** Part of the runs of the new version that fail, by the milliseconds since the traffic began. */
	readonly failureShareAt: (elapsedMs: number) => number;
	/** Run time of the new version as a multiple of that of the old one. */
	readonly slowness?: number;
};

/** Sends calls of all nodes by their stages on virtual time; every other node's worker is a new one. */
export class RolloutTraffic {
	/** Calls to both versions together. */
	calls = 0;
	newCalls = 0;
	/** When each failure of the new version was answered, and each call was sent to it. */
	readonly failuresAt: number[] = [];
	readonly newCallsAt: number[] = [];
	refused = 0;
	readonly #mesh: FakeDirectoryMesh;
	readonly #options: RolloutTrafficOptions;
	readonly #random: Random;
	readonly #workers: SimulatedWorker[];
	readonly #endpoints: readonly Endpoint[];
	readonly #choosers = new Map<string, VersionChooser>();
	readonly #startedAt: number;
	#due = 0;

	constructor(mesh: FakeDirectoryMesh, seed: number, options: RolloutTrafficOptions) {
		this.#mesh = mesh;
		this.#options = options;
		this.#random = new Random(seed);
		this.#startedAt = mesh.clock.now;
		this.#workers = [...mesh.nodes.keys()].map((address, index) => {
			const version = index % 2 === 0 ? 'v1' : 'v2';
			const [dataCentre] = address.split('/');
			const {service} = options;
			const endpoint: Endpoint = {
				node: address,
				gateAddress: address,
				dataCentre,
				incarnation: 1,
				service,
				slots: 6,
				version,
			};
			return {address, endpoint, version, tally: new RunTally(), dispatched: 0, inProgress: 0};
		});
		this.#endpoints = this.#workers.map(({endpoint}) => endpoint);
		this.#step();
		this.#report();
	}

	#step(): void {
		this.#due += (this.#options.callsPerSecond * stepMs) / 1000;
		const up = [...this.#mesh.nodes.values()].filter(({isUp}) => isUp);
		while (this.#due >= 1) {
			this.#due -= 1;
			this.#call(up[this.#random.below(up.length)]);
		}

		this.#mesh.clock.after(stepMs, () => {
			this.#step();
		});
	}

	#call({address, directory}: DirectoryNode): void {
		const {now} = this.#mesh.clock;
		const {service, slowness = 1} = this.#options;
		const chooser = this.#choosers.get(address) ?? new VersionChooser(this.#random);
		this.#choosers.set(address, chooser);
		const held = directory.blackboard.rollouts.held.get(service);
		const {endpoints} = chooser.choose(service, this.#endpoints, held?.stage, now);
		const reached = endpoints.filter(
			({node}) =>
				this.#mesh.nodes.get(node)?.isUp && this.#mesh.reachability.isLinked(address, node),
		);
		this.calls += 1;
		if (reached.length === 0) {
			this.refused += 1;
			return;
		}

		const {node} = reached[this.#random.below(reached.length)];
		const worker = this.#workers.find((each) => each.address === node);
		if (worker === undefined) {
			return;
		}

		const isNew = worker.version === 'v2';
		if (isNew) {
			this.newCalls += 1;
			this.newCallsAt.push(now);
		}

		const isFailure =
			isNew && this.#random.fraction() < this.#options.failureShareAt(now - this.#startedAt);
		const ranMs = 20 * (0.7 + 0.6 * this.#random.fraction()) * (isNew ? slowness : 1);
		const {tally} = worker;
		worker.dispatched += 1;
		worker.inProgress += 1;
		this.#mesh.clock.after(ranMs, () => {
			worker.inProgress -= 1;
			if (isFailure) {
				this.failuresAt.push(this.#mesh.clock.now);
			}

			if (worker.order) {
				tally.record({group: '/codes/', ranMs, isFailure});
			}
		});
	}

	/** Has each gate report the runs of its worker since the order that its node knows of. */
	#report(): void {
		for (const worker of this.#workers) {
			this.#reportOf(worker);
		}

		this.#mesh.clock.after(evidenceIntervalMs, () => {
			this.#report();
		});
	}

	#reportOf(worker: SimulatedWorker): void {
		const {service} = this.#options;
		const node = this.#mesh.nodes.get(worker.address);
		const stage = node?.directory.blackboard.rollouts.held.get(service)?.stage;
		if (node === undefined || stage?.state !== 'running') {
			return;
		}

		if (worker.order?.revision !== stage.order.revision) {
			worker.order = stage.order;
			worker.tally = new RunTally();
			worker.dispatched = 0;
		}

		const evidence: WorkerEvidence = {
			node: worker.address,
			incarnation: 1,
			worker: worker.address,
			service,
			version: worker.version,
			inProgress: worker.inProgress,
			dispatched: worker.dispatched,
			routes: worker.tally.routes,
		};
		this.#mesh.dispatch(node, {type: 'evidence-counted', evidence});
	}
}

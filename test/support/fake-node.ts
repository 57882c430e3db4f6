import {
	createEngine,
	defaultLimits,
	initialBlackboard,
	type Blackboard,
	type Effect,
	type Engine,
	type Event,
	type Limits,
	type NodeRecord,
} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';

/** Address, data centre, seeds and worker service of a simulated node. */
export type NodeSettings = {
	readonly address: string;
	readonly dataCentre: string;
	readonly seeds: readonly string[];
	readonly service: string;
};

const startJitterMs = 300;

/** One incarnation of a node: the production control core, driven by the simulated network. */
export class FakeNode {
	readonly settings: NodeSettings;
	readonly engine: Engine;
	isAlive = true;
	isPaused = false;
	/** Events that arrived while the node was paused, handled in order when it resumes. */
	readonly backlog: Array<() => void> = [];

	constructor(
		settings: NodeSettings,
		incarnation: number,
		now: number,
		limits: Partial<Limits> = {},
	) {
		this.settings = settings;
		const random = new Random(incarnation);
		const record: NodeRecord = {
			address: settings.address,
			dataCentre: settings.dataCentre,
			incarnation,
			revision: 1,
			status: 'live',
			gateAddress: `${settings.address}-gate`,
		};
		this.engine = createEngine(initialBlackboard(record, now, random.jitter(startJitterMs)), {
			limits: {...defaultLimits, ...limits},
			seeds: settings.seeds,
			random,
		});
	}

	get blackboard(): Blackboard {
		return this.engine.blackboard;
	}

	get isRunning(): boolean {
		return this.isAlive && !this.isPaused;
	}

	dispatch(event: Event, now: number): readonly Effect[] {
		return this.engine.dispatch(event, now);
	}
}

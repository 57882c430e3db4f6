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

/** Where a node runs and what its settings say. */
export type NodeSettings = {
	readonly address: string;
	readonly dataCentre: string;
	readonly seeds: readonly string[];
	readonly service: string;
};

const startJitterMs = 300;

/** One life of a node: the real core, driven by the fake network. */
export class FakeNode {
	readonly settings: NodeSettings;
	readonly engine: Engine;
	isAlive = true;
	isPaused = false;
	/** What happened while the node was paused. */
	readonly backlog: Array<() => void> = [];

	constructor(site: NodeSettings, incarnation: number, now: number, limits: Partial<Limits> = {}) {
		this.settings = site;
		const random = new Random(incarnation);
		const record: NodeRecord = {
			address: site.address,
			dataCentre: site.dataCentre,
			incarnation,
			revision: 1,
			status: 'live',
			gateAddress: `${site.address}-gate`,
		};
		this.engine = createEngine(initialBlackboard(record, now, random.jitter(startJitterMs)), {
			limits: {...defaultLimits, ...limits},
			seeds: site.seeds,
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

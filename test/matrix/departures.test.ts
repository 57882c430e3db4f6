import {expect} from 'chai';
import {defaultDirectoryLimits} from 'redwingmill-core';
import {
	documentOf,
	FakeDirectoryMesh,
	fullReachability,
	type DepartureEffect,
} from '../support/fake-directory-mesh.js';

const seed = 20_261_206;
const addresses = ['a/1', 'b/1', 'c/1'] as const;
const host = 'a/1';
const departure = {instance: 'i-1', startedAt: 100};
/** Time for one call to the store, and time to find that it answers again. */
const callMs = 10;
const retryBoundMs = 3000;
const unreachableStore = {...fullReachability, canReachStore: () => false};

/** A mesh that records what the node of `host` learns of departures. */
class DepartureMesh {
	readonly mesh = new FakeDirectoryMesh(seed);
	readonly effects: Array<DepartureEffect['type']> = [];
	/** Instances of which the node of `host` has learned that they left. */
	readonly departed: string[] = [];

	constructor() {
		this.mesh.writeConfiguration(documentOf(1));
		this.mesh.onDepartureEffect = ({address}, {type}) => {
			if (address === host) {
				this.effects.push(type);
			}
		};

		this.mesh.onDeparture = ({address}, instance) => {
			if (address === host) {
				this.departed.push(instance);
			}
		};

		this.startAll();
	}

	startAll(): void {
		for (const address of addresses) {
			this.mesh.start(address);
		}

		this.mesh.run(1000);
	}

	/** Kills all nodes at once and forgets what was recorded. */
	killAll(): void {
		for (const address of addresses) {
			this.mesh.kill(address);
		}

		this.effects.length = 0;
		this.departed.length = 0;
	}

	/** Kills the node of `host` and starts it again after a time. */
	restartHost(afterMs: number): void {
		this.mesh.kill(host);
		this.effects.length = 0;
		this.mesh.run(afterMs);
		this.mesh.start(host);
		this.mesh.run(1000);
	}

	leave(instance = departure.instance): void {
		const node = this.mesh.nodes.get(host);
		this.mesh.dispatch(node!, {
			type: 'worker-leaving',
			departure: {...departure, instance},
		});
	}
}

describe('departures of workers', () => {
	// Guards against an acknowledged departure that is forgotten when all nodes end (review/5).
	it('are known to the next process of the node although all were killed', () => {
		const play = new DepartureMesh();
		play.leave();
		play.mesh.run(callMs);
		expect(play.effects).to.include('departures-kept');
		for (let kills = 0; kills < 3; kills++) {
			play.killAll();
			play.startAll();
			expect(play.departed, `kill ${kills}`).to.deep.equal([departure.instance]);
		}
	});

	it('are written once each, and kept when others follow', () => {
		const play = new DepartureMesh();
		const {storeCalls} = play.mesh;
		for (const instance of ['i-1', 'i-2', 'i-2', 'i-1']) {
			play.leave(instance);
			play.mesh.run(callMs);
		}

		expect(play.mesh.storeCalls - storeCalls).to.equal(2);
		play.killAll();
		play.startAll();
		expect(play.departed).to.deep.equal(['i-1', 'i-2']);
	});

	it('that come during a write are written by the next one', () => {
		const play = new DepartureMesh();
		play.leave('i-1');
		play.leave('i-2');
		play.mesh.run(2 * callMs);
		play.killAll();
		play.startAll();
		expect(play.departed).to.deep.equal(['i-1', 'i-2']);
	});

	it('are not called kept while the store is down, and are written once it returns', () => {
		const play = new DepartureMesh();
		play.mesh.reachability = unreachableStore;
		play.effects.length = 0;
		play.leave();
		play.mesh.run(1000);
		expect(play.effects).to.deep.equal([]);
		play.mesh.reachability = fullReachability;
		play.mesh.run(retryBoundMs);
		expect(play.effects).to.include('departures-kept');
		play.killAll();
		play.startAll();
		expect(play.departed).to.deep.equal([departure.instance]);
	});

	it('are not called kept when the node is killed before the store answers', () => {
		const play = new DepartureMesh();
		play.effects.length = 0;
		play.leave();
		expect(play.effects).to.deep.equal([]);
		play.killAll();
		play.mesh.run(callMs);
		expect(play.effects).to.deep.equal([]);
	});

	it('are not replaced by a node that starts while the store is down', () => {
		const play = new DepartureMesh();
		play.leave();
		play.mesh.run(callMs);
		play.killAll();
		play.mesh.reachability = unreachableStore;
		play.startAll();
		expect(play.effects).to.deep.equal([]);
		play.mesh.reachability = fullReachability;
		play.mesh.run(retryBoundMs);
		expect(play.departed).to.deep.equal([departure.instance]);
		play.killAll();
		play.startAll();
		expect(play.departed).to.deep.equal([departure.instance]);
	});

	it('are known to a node without an earlier process', () => {
		expect(new DepartureMesh().effects).to.include('departures-read');
	});

	// Guards against a single late announcement that undoes a departure announced during an outage (review/8).
	for (const [state, reachability] of Object.entries({unreachableStore, fullReachability})) {
		it(`are not called completely known after all nodes ended and started with ${state}`, () => {
			const play = new DepartureMesh();
			play.mesh.reachability = unreachableStore;
			play.leave();
			play.killAll();
			play.mesh.reachability = reachability;
			play.startAll();
			play.mesh.reachability = fullReachability;
			play.mesh.run(2 * retryBoundMs);
			expect(play.effects).not.to.include('departures-read');
		});
	}

	it('are known to a node that has restarted once another one tells what it knows', () => {
		const play = new DepartureMesh();
		for (const isStoreDown of [false, true, false]) {
			play.mesh.reachability = isStoreDown ? unreachableStore : fullReachability;
			play.restartHost(1000);
			expect(play.effects.includes('departures-read'), `down: ${isStoreDown}`).to.equal(
				!isStoreDown,
			);
		}
	});

	it('are not called completely known by nodes that had lost contact long before', () => {
		const play = new DepartureMesh();
		play.restartHost(defaultDirectoryLimits.recentContactMs + 1000);
		expect(play.effects).not.to.include('departures-read');
	});

	it('are written again when the store returns from an older copy', () => {
		const play = new DepartureMesh();
		const copy = play.mesh.takeCopy();
		play.leave();
		play.mesh.run(callMs);
		play.mesh.returnFrom(copy);
		play.mesh.run(2000);
		play.killAll();
		play.startAll();
		expect(play.departed).to.deep.equal([departure.instance]);
	});
});

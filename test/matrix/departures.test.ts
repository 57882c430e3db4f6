import {expect} from 'chai';
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
			expect(play.effects).to.include('departures-read');
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

	// Guards against a single late announcement that undoes a departure announced during an outage (review/8).
	it('are not called completely known by a node that started while the store was down', () => {
		const play = new DepartureMesh();
		play.mesh.reachability = unreachableStore;
		play.leave();
		play.killAll();
		play.startAll();
		play.mesh.reachability = fullReachability;
		play.mesh.run(2 * retryBoundMs);
		expect(play.mesh.ownRecordReads).to.be.above(2 * addresses.length);
		expect(play.effects).not.to.include('departures-read');
		play.killAll();
		play.startAll();
		expect(play.effects).to.include('departures-read');
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

import {expect} from 'chai';
import {FakeMesh} from '../support/fake-mesh.js';
import {nodeSettingsFor} from '../support/fixtures.js';

const seed = 3;
const startMs = 10_000;
const platformDelayMs = 700;
/** A tick and the way to a member. */
const updateBoundMs = 600;

describe('members of a relay that has just heard from the platform', () => {
	it('learn so with the next tick, not with the next heartbeat', () => {
		const mesh = new FakeMesh(seed);
		// The members register before the relay's first list has come.
		mesh.platformDelayMs = platformDelayMs;
		for (const site of nodeSettingsFor(['dc-a'])) {
			mesh.start(site);
		}

		const members = () =>
			mesh.liveNodes().flatMap(({blackboard: board}) => {
				const {uplink} = board.links;
				return uplink.type === 'registered' ? [uplink.isFresh] : [];
			});
		const isRelayFresh = () => mesh.relayOf('dc-a')?.blackboard.platform.isCurrent === true;
		const isWaiting = () => members().length > 0 && !isRelayFresh();
		expect(mesh.run(startMs, isWaiting), 'registered before the list came').to.equal(true);
		expect(mesh.run(startMs, isRelayFresh)).to.equal(true);
		expect(mesh.run(updateBoundMs, () => members().every(Boolean))).to.equal(true);
	});
});

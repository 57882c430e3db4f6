import {expect} from 'chai';
import {FakeMesh} from '../support/fake-mesh.js';
import {nodeSettingsFor} from '../support/fixtures.js';

const seed = 3;
const startMs = 10_000;
const platformDelayMs = 700;
/** One tick (500 ms) and the latency to a member. */
const updateBoundMs = 600;

describe('members of a relay that has just received its first list from the platform', () => {
	it('are notified at the next tick, not with the next heartbeat', () => {
		const mesh = new FakeMesh(seed);
		// The delay makes the members register before the relay receives its first list.
		mesh.platformDelayMs = platformDelayMs;
		for (const settings of nodeSettingsFor(['dc-a'])) {
			mesh.start(settings);
		}

		const memberFreshness = () =>
			mesh.liveNodes().flatMap(({blackboard}) => {
				const {uplink} = blackboard.links;
				return uplink.type === 'registered' ? [uplink.isFresh] : [];
			});
		const isRelayFresh = () => mesh.relayOf('dc-a')?.blackboard.platform.isCurrent === true;
		const isWaiting = () => memberFreshness().length > 0 && !isRelayFresh();
		expect(mesh.run(startMs, isWaiting), 'members register before the list arrives').to.equal(true);
		expect(mesh.run(startMs, isRelayFresh)).to.equal(true);
		expect(mesh.run(updateBoundMs, () => memberFreshness().every(Boolean))).to.equal(true);
	});
});

import {expect} from 'chai';
import {PeerUses} from '../../quota/peer-uses.js';

const entry = {
	id: 1,
	epoch: 1,
	admitted: 0,
	askedPerSecond: 30,
	admittedPerSecond: 30,
	level: 0,
};
const own = {perSecond: 10, rise: 1, least: 0};

describe('PeerUses', () => {
	it('divides the quota by demand', () => {
		const {peers, reach} = createPeers(0);
		expect(peers.parts(own, reach, 0)).to.deep.equal({own: 0.25, heard: 1});
	});

	it('keeps the part of a silent data centre when the own demand rises, which that one cannot know', () => {
		const {peers, reach} = createPeers(5000);
		const parts = peers.parts({...own, perSecond: 75}, reach, 5000);
		expect(parts.own).to.be.within(0.17, 0.25);
	});

	it('takes most of a silent minority after 10 s, and gives most up as a minority', () => {
		const minority = createPeers(11_000);
		expect(minority.peers.parts(own, minority.reach, 11_000).own).to.be.below(0.0625);
		const majority = createPeers(11_000, 10 / 3);
		expect(majority.peers.parts(own, majority.reach, 11_000).own).to.be.within(0.9, 1);
	});

	it('sets aside what a silent data centre may use, and replaces it by what it counted', () => {
		const {peers, reach} = createPeers(2000);
		const state = {elapsedMs: 1000, perSecond: 40, level: 0, isOpen: false};
		const reserved = peers.reserve(state, own, reach, 2000);
		expect(reserved).to.be.within(30, 33.1);
		const counted = {...entry, admitted: 12};
		const header = {incarnation: 1, sequence: 2};
		expect(peers.record('q', header, counted, {own, reach, now: 2000})).to.equal(reserved - 12);
	});
});

function createPeers(ageMs: number, askedPerSecond = 30) {
	const peers = new PeerUses();
	const reach = {peerAge: () => ageMs, missingPart: 0};
	const state = {own, reach: {peerAge: () => 0, missingPart: 0}, now: 0};
	peers.record('q', {incarnation: 1, sequence: 1}, {...entry, askedPerSecond}, state);
	return {peers, reach};
}

import {expect} from 'chai';
import {
	initialDirectoryState,
	unconfirmedMs,
	type ConfigurationDocument,
	type DirectoryState,
	type NodeRecord,
} from '../../index.js';

const withinMs = 5000;
const now = 100_000;
const longAgo = Number.NEGATIVE_INFINITY;

type Fields = {
	/** When the store last answered this node's watch. */
	readonly contactAt?: number;
	readonly isStoreReachable?: boolean;
	/** When another node last reported that its watch reaches the store. */
	readonly watchReportedAt?: number;
	readonly behindSince?: number;
};

function stateWith({
	contactAt,
	isStoreReachable = contactAt !== undefined,
	watchReportedAt,
	behindSince,
}: Fields): DirectoryState {
	const self: Partial<NodeRecord> = {address: 'self', dataCentre: 'dc'};
	const held: Partial<ConfigurationDocument> = {version: 1};
	const state = initialDirectoryState(self as NodeRecord, 0);
	const peer = {receivedAt: now, sentAt: longAgo, inquiredAt: longAgo, watchReportedAt};
	const newer = {version: 2, holder: 'peer', heardAt: 0, askedAt: 0, isHolderAsked: false};
	return {
		...state,
		watch: {...state.watch, isOn: true, isStoreReachable, contactAt},
		members: {...state.members, peers: state.members.peers.with('peer', peer)},
		adoption: {
			held: held as ConfigurationDocument,
			...(behindSince !== undefined && {newer: {...newer, behindSince}}),
		},
	};
}

describe('unconfirmedMs', () => {
	it('counts from the last answer of the store, not from a poll that is still open', () => {
		expect(unconfirmedMs(stateWith({contactAt: now - 300}), withinMs, now)).to.equal(300);
	});

	it('does not rely on an answer from before the store was lost', () => {
		const state = stateWith({contactAt: now - 300, isStoreReachable: false});
		expect(unconfirmedMs(state, withinMs, now)).to.equal(Number.POSITIVE_INFINITY);
	});

	it('relies on another node that reaches the store, whose last answer may be as old as a poll', () => {
		const state = stateWith({watchReportedAt: now - 200});
		expect(unconfirmedMs(state, withinMs, now)).to.equal(200 + withinMs / 2);
	});

	it('counts the time for which a newer version is known', () => {
		const state = stateWith({contactAt: now, behindSince: now - 700});
		expect(unconfirmedMs(state, withinMs, now)).to.equal(700);
	});

	it('never confirms a node without a configuration', () => {
		const state = {...stateWith({contactAt: now}), adoption: {}};
		expect(unconfirmedMs(state, withinMs, now)).to.equal(Number.POSITIVE_INFINITY);
	});
});

import {expect} from 'chai';
import {type Workspace} from 'redwingmill-text';
import {
	QuotaIndex,
	QuotaServer,
	type QuotaDemandEntry,
	type QuotaPeer,
	type QuotaReport,
} from '../../index.js';

const bounds = {windowMs: 5000, overShare: 0.1, slack: 20};
const quota = {perSecond: 100, burst: 100};
const workspace: Workspace = {name: 'a', keys: [], rank: 0, quota};
const index = new QuotaIndex([workspace]);
const {id} = index.byName.get('a')!;
/** After the time in which a server that has just started knows no level. */
const startAt = 10_000;

describe('QuotaServer', () => {
	it('counts a report once that arrives twice, late or after a newer one', () => {
		const server = createServer();
		server.onReport('n', reportOf(1, 10), startAt);
		const {level} = server.stateOf(id)!;
		server.onReport('n', reportOf(3, 30), startAt);
		server.onReport('n', reportOf(3, 30), startAt);
		server.onReport('n', reportOf(2, 20), startAt);
		expect(server.stateOf(id)?.level).to.equal(level - 20);
	});

	it('counts all calls of a node that has started again, and keeps those before', () => {
		const server = createServer();
		server.onReport('n', reportOf(1, 10), startAt);
		const {level} = server.stateOf(id)!;
		server.onReport('n', {...reportOf(1, 5), incarnation: 2}, startAt);
		expect(server.stateOf(id)?.level).to.equal(level - 5);
	});

	it('gives credit back that a node refunds', () => {
		const server = createServer();
		server.onReport('n', reportOf(1, 10), startAt);
		const {level} = server.stateOf(id)!;
		server.onReport('n', reportOf(2, 7, 10), startAt);
		expect(server.stateOf(id)?.level).to.equal(level + 3);
	});

	it('starts with an overdrawn bucket, and ignores counts for an earlier start of it', () => {
		const server = createServer();
		server.onReport('n', {...reportOf(1, 5000), serverIncarnation: 99}, 0);
		// A quarter of the 80 calls that are tolerated over the quota of 600 in a window.
		expect(server.stateOf(id)?.level).to.equal(-20);
	});

	it('tells all nodes at once when a workspace becomes limited', () => {
		const server = createServer();
		server.onReport('n', reportOf(1, 10), startAt);
		expect([...server.pushes(['n', 'm'], startAt).keys()]).to.deep.equal([]);
		server.onReport('n', reportOf(2, 200), startAt + 10);
		expect(server.takeChanges().map(({isOpen}) => isOpen)).to.deep.equal([false]);
		const pushes = server.pushes(['n', 'm'], startAt + 10);
		expect([...pushes.keys()]).to.deep.equal(['n', 'm']);
		for (const [{grants}] of pushes.values()) {
			expect(grants[0]).to.include({isOpen: false, credit: 0});
		}
	});

	it('grants rates that add up to the quota in proportion to the demand', () => {
		const server = createServer(2);
		server.onReport('n', reportOf(1, 30), startAt);
		server.onReport('m', reportOf(1, 10), startAt);
		const rates = ['n', 'm'].map(
			(node) => server.replyTo(node, reportOf(1, 0), startAt)[0].grants[0].perSecond,
		);
		expect(rates[0] + rates[1]).to.be.closeTo(quota.perSecond, 0.01);
		expect(rates[0] / rates[1]).to.be.within(2, 3);
	});

	it('keeps the part free of a data centre from which nothing has been heard', () => {
		const server = createServer(1, new Map([['b', {server: 'q', share: 0.75}]]));
		server.onReport('n', reportOf(1, 30), startAt);
		const [{grants}] = server.replyTo('n', reportOf(1, 0), startAt);
		expect(grants[0].perSecond).to.be.closeTo(quota.perSecond / 4, 0.01);
	});

	it('divides the quota with another data centre by demand', () => {
		const server = createServer(1, new Map([['b', {server: 'q', share: 0.5}]]));
		server.onReport('n', reportOf(1, 20), startAt);
		server.onPeerDemand('q', demandOf(1, {askedPerSecond: 10}), startAt);
		server.onReport('n', reportOf(2, 20), startAt);
		const [{grants}] = server.replyTo('n', reportOf(2, 20), startAt);
		expect(grants[0].perSecond).to.be.closeTo(50, 3);
	});

	it('deducts what another data centre counted, each call once', () => {
		const server = createServer(1, new Map([['b', {server: 'q', share: 0.5}]]));
		server.onPeerDemand('q', demandOf(1, {admitted: 1000}), startAt);
		const {level} = server.stateOf(id)!;
		server.onPeerDemand('q', demandOf(2, {admitted: 1040}), startAt);
		server.onPeerDemand('q', demandOf(2, {admitted: 1040}), startAt);
		expect(server.stateOf(id)?.level).to.equal(level - 40);
	});

	it('grants usable numbers while others fall silent one after the other that ask for the whole quota', () => {
		const names = ['b', 'c', 'd'];
		const peers = new Map(names.map((name) => [name, {server: name, share: 0.25}]));
		const small = new QuotaIndex([{...workspace, quota: {perSecond: 10, burst: 0}}]);
		const server = createServer(2);
		server.setLimits(small, {nodes: 2, lapsedShare: 0, peers});
		let calls = 0;
		for (let now = 1000; now < 20_000; now += 100) {
			for (const [place, name] of names.entries()) {
				if (now < startAt + place * 700) {
					server.onPeerDemand(name, demandOf(now, {askedPerSecond: 20}), now);
				}
			}

			server.tick(now);
			const replies = [...server.pushes(['n', 'm'], now).values()].flat();
			if (now % 2500 === 0) {
				calls += 1;
				server.onReport('n', reportOf(calls, calls), now);
				replies.push(...server.replyTo('n', reportOf(calls, calls), now));
			}

			for (const {credit, perSecond} of replies.flatMap(({grants}) => grants)) {
				expect(credit, `credit at ${now} ms`).to.be.within(0, 100);
				expect(perSecond, `rate at ${now} ms`).to.be.within(0, 100);
			}
		}
	});

	it('sends other data centres nothing while no workspace is used', () => {
		const server = createServer();
		server.tick(startAt);
		expect(server.demandSummary(startAt)).to.deep.equal([]);
	});

	it('pushes a changed quota to all nodes, also to those that ask for no calls', () => {
		const server = createServer();
		server.onReport('n', reportOf(1, 1), startAt);
		server.replyTo('n', reportOf(1, 1), startAt);
		server.setLimits(new QuotaIndex([{...workspace, quota: {perSecond: 1, burst: 0}}]), {
			nodes: 1,
			lapsedShare: 0,
			peers: new Map(),
		});
		const [[{grants}]] = server.pushes(['n'], startAt).values();
		expect(grants[0].perSecond).to.be.at.most(3);
	});
});

function createServer(nodes = 1, peers: ReadonlyMap<string, QuotaPeer> = new Map()): QuotaServer {
	const server = new QuotaServer({incarnation: 1, bounds}, 0);
	server.setLimits(index, {nodes, lapsedShare: 0, peers});
	return server;
}

function reportOf(sequence: number, admitted: number, asked = admitted): QuotaReport {
	const uses = [{id, epoch: 1, asked, admitted}];
	return {incarnation: 1, sequence, serverIncarnation: 0, uses};
}

function demandOf(sequence: number, entry: Partial<QuotaDemandEntry>) {
	const entries = [
		{id, epoch: 1, admitted: 0, askedPerSecond: 0, admittedPerSecond: 0, level: 100, ...entry},
	];
	return {incarnation: 1, sequence, entries};
}

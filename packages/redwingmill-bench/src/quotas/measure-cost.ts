import process from 'node:process';
import {QuotaIndex, QuotaKeeper, type QuotaSend, type QuotaView} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {type Workspace} from 'redwingmill-text';

const bounds = {windowMs: 5000, overShare: 0.1, slack: 20};
const dataCentres = 12;
const tickMs = 100;
const measuredSeconds = 5;
const warmUpSeconds = 3;
const microsecondsPerMs = 1000;

/** Processor time of quotas at the target size. */
export type QuotaCost = {
	readonly workspaces: number;
	/** Nodes of the data centre. */
	readonly nodes: number;
	readonly callsPerSecond: number;
	/** Processor time of the quota server, in milliseconds a second, without the socket. */
	readonly serverMsPerSecond: number;
	/** Processor time of deciding on one call at an entry, in microseconds. */
	readonly admitMicroseconds: number;
	readonly datagramsPerSecond: number;
};

/** Measures a data centre of the target size: one quota server, and the ledgers of its nodes. */
export function measureQuotaCost(
	workspaces: number,
	nodes: number,
	callsPerSecond: number,
): QuotaCost {
	const random = new Random(1);
	const all: Workspace[] = Array.from({length: workspaces}, (_, index) => ({
		name: `w${index}`,
		keys: [],
		rank: 0,
		quota: {perSecond: 2 + (index % 10), burst: 5},
	}));
	const index = new QuotaIndex(all);
	const addresses = Array.from({length: nodes}, (_, node) => String(node));
	const peers = Array.from({length: dataCentres - 1}, (_, peer) => `p${peer}`);
	const view: QuotaView = {
		server: '0',
		peers: new Map(peers.map((server) => [server, {server, share: 1 / dataCentres}])),
		localNodes: addresses,
		localCount: nodes,
		nodeCount: nodes * dataCentres,
	};
	const keepers = addresses.map(
		(address) => new QuotaKeeper({address, incarnation: 1000, bounds, random: new Random(1)}),
	);
	let serverMs = 0;
	let admitMs = 0;
	let datagrams = 0;
	let calls = 0;
	const asServer = (run: () => readonly QuotaSend[]) => {
		const startedAt = process.cpuUsage();
		const sends = run();
		const {user, system} = process.cpuUsage(startedAt);
		serverMs += (user + system) / microsecondsPerMs;
		return sends;
	};

	const deliver = (sends: readonly QuotaSend[], from: string, now: number) => {
		datagrams += sends.length;
		for (const {to, datagram} of sends) {
			const receiver = keepers.at(Number(to));
			if (receiver === undefined || Number.isNaN(Number(to))) {
				continue;
			}

			const replies =
				to === '0'
					? asServer(() => receiver.receive(from, datagram, now))
					: receiver.receive(from, datagram, now);
			deliver(replies, to, now);
		}
	};

	for (let now = 0; now < (warmUpSeconds + measuredSeconds) * 1000; now += tickMs) {
		if (now === warmUpSeconds * 1000) {
			serverMs = 0;
			admitMs = 0;
			datagrams = 0;
			calls = 0;
		}

		const startedAt = process.cpuUsage();
		for (let call = 0; call < (callsPerSecond * tickMs) / 1000; call++) {
			keepers[random.below(nodes)].admit(all[random.below(workspaces)], now);
			calls += 1;
		}

		const {user, system} = process.cpuUsage(startedAt);
		admitMs += (user + system) / microsecondsPerMs;
		for (const from of peers) {
			const demand = {incarnation: 1, sequence: now + 1, entries: []};
			asServer(() => keepers[0].receive(from, {type: 'quota-demand', demand}, now));
		}

		for (const [node, keeper] of keepers.entries()) {
			keeper.update(index, view, now);
			const tick = () => keeper.tick(now);
			deliver(node === 0 ? asServer(tick) : tick(), String(node), now);
		}
	}

	return {
		workspaces,
		nodes,
		callsPerSecond,
		serverMsPerSecond: serverMs / measuredSeconds,
		admitMicroseconds: (admitMs * microsecondsPerMs) / calls,
		datagramsPerSecond: datagrams / measuredSeconds,
	};
}

import {expect} from 'chai';
import {quotaEntriesPerDatagram, type Datagram} from 'redwingmill-core';
import {decodeDatagram, encodeDatagram, ProtocolError} from '../../index.js';

const datagrams: readonly Datagram[] = [
	{
		type: 'announcement',
		record: {
			address: '10.0.0.1:7300',
			dataCentre: 'dc-a',
			incarnation: 1_775_726_659_321_288,
			revision: 3,
			status: 'live',
			gateAddress: '10.0.0.1:8662',
			worker: {
				service: 'coding',
				address: '10.0.0.1:8660',
				slots: 6,
				state: 'ready',
				instance: 'i-1',
			},
		},
		version: 42,
		wantsReply: true,
		storeEra: 0,
	},
	{
		type: 'pulse',
		incarnation: 1_775_726_659_321_288,
		revision: 3,
		version: 42,
		isWatching: true,
		crashDigest: 3_735_928_559,
		storeEra: 5,
		load: {callsPerSlot: 1.25, waitMs: 30, runMs: 64.5, failureShare: 0.25},
	},
	{
		type: 'pulse',
		incarnation: 1_775_726_659_321_288,
		revision: 3,
		version: 42,
		isWatching: true,
		crashDigest: 1,
		storeEra: 5,
		load: {
			callsPerSlot: 1.25,
			waitMs: 30,
			runMs: 64.5,
			failureShare: 0.25,
			allowance: {perSecond: 20.6, waitMs: -250},
			hostTime: 2.35,
		},
	},
	{
		type: 'digest',
		incarnation: 1_775_726_659_321_288,
		revision: 3,
		version: 42,
		isWatching: true,
		crashDigest: 7,
		storeEra: 3,
		summaries: [{id: 4_294_967_295, stampSum: 12, ageMs: 340}],
		statuses: [
			{
				id: 1,
				stamp: 4_000_000_000,
				ageMs: 0,
				load: {
					load: {callsPerSlot: 0.5, waitMs: 10, runMs: 60, failureShare: 0, hostTime: 0.75},
					ageMs: 300,
				},
			},
			{id: 2, stamp: 3, ageMs: 120},
		],
	},
	{type: 'status-request', dataCentreId: 4_294_967_295},
	{type: 'record-request', ids: [1, 4_294_967_295]},
	{
		type: 'records',
		records: [
			{
				address: '10.0.0.1:7300',
				dataCentre: 'dc-a',
				incarnation: 7,
				revision: 1,
				status: 'left',
				gateAddress: '10.0.0.1:8662',
				worker: {
					service: 'coding',
					address: '10.0.0.1:8660',
					slots: 6,
					state: 'draining',
					instance: 'i-1',
					startedAt: 1_775_726_659_321,
				},
			},
		],
	},
	{type: 'departure', instance: 'i-1', startedAt: 1_775_726_659_321},
	{type: 'departure', instance: 'i-1'},
	{type: 'inquiry'},
	{type: 'outdated', incarnation: 1_775_726_659_321_288},
	{
		type: 'suspicion',
		report: {
			isCleared: false,
			fingerprint: 'GET /codes/1',
			crashes: [{node: '10.0.0.1:8082', incarnation: 1_764_835_200_123_456, count: 2}],
			ageMs: 1500,
		},
	},
	{
		type: 'suspicion',
		report: {
			isCleared: false,
			fingerprint: 'GET /codes/1 front',
			crashes: [{node: '10.0.0.1:8082', incarnation: 1, count: 2}],
			disproved: [{node: '10.0.0.1:8082', incarnation: 1, count: 1}],
			ageMs: 1500,
		},
	},
	{type: 'suspicion', report: {isCleared: true, fingerprint: 'GET /codes/1'}},
	{
		type: 'quota-report',
		report: {
			incarnation: 1_764_000_000_000_123,
			sequence: 7,
			serverIncarnation: 1_764_000_000_000_124,
			uses: [
				{id: 0xff_ff_ff_ff, epoch: 1, asked: 10, admitted: 9},
				{id: 0, epoch: 70_000, asked: 5_000_000, admitted: 0},
			],
		},
	},
	{
		type: 'quota-reply',
		reply: {
			incarnation: 3,
			sequence: 8,
			grants: [
				{id: 5, isOpen: true, epoch: 2, admitted: 3, credit: 2.25, perSecond: 0.125},
				{id: 6, isOpen: false, epoch: 0, admitted: 0, credit: 0, perSecond: 1000},
			],
		},
	},
	{
		type: 'quota-demand',
		demand: {
			incarnation: 4,
			sequence: 9,
			entries: [
				{id: 7, epoch: 1, admitted: -3, askedPerSecond: 12.5, admittedPerSecond: 3, level: -40},
			],
		},
	},
	{
		type: 'rollout',
		stage: {
			order: {
				service: 'coding',
				targetVersion: 'v2',
				durationMs: 30_000,
				era: 3,
				revision: 1_234_567,
			},
			state: 'rolled-back',
			share: 0.03,
			elapsedMs: 4321,
			decider: '10.0.0.1:7300',
			sequence: 17,
			reason: '9 of 12 runs failed',
		},
		isWithdrawn: true,
	},
	{
		type: 'rollout-evidence',
		targetVersion: 'v2',
		revision: 1_234_567,
		evidence: {
			node: '10.0.0.1:7300',
			incarnation: 1_775_726_659_321_288,
			worker: 'i-1/1775726659321',
			service: 'coding',
			version: 'v1',
			inProgress: 4,
			dispatched: 130,
			routes: [{group: '/codes/', runs: 120, failures: 2, logSum: 410.25, logSquareSum: 1500.5}],
		},
	},
];

describe('datagram codec', () => {
	for (const datagram of datagrams) {
		it(`decodes an encoded ${datagram.type} to an equal datagram`, () => {
			expect(decodeDatagram(encodeDatagram(datagram))).to.deep.equal(datagram);
		});
	}

	it('encodes a pulse in fewer than 40 bytes', () => {
		expect(encodeDatagram(datagrams[1]).length).to.be.below(40);
	});

	it('encodes the statuses of forty nodes with their loads in less than a packet', () => {
		const load = {callsPerSlot: 1.25, waitMs: 300, runMs: 64.5, failureShare: 0.25};
		const statuses = Array.from({length: 40}, (_, index) => ({
			id: 4_000_000_000 + index,
			stamp: 3_000_000_000 + index,
			ageMs: 500,
			load: {load, ageMs: 800},
		}));
		const digest = datagrams.find(({type}) => type === 'digest')!;
		expect(encodeDatagram({...digest, statuses} as Datagram).length).to.be.below(1400);
	});

	it('encodes as many entries of quotas as fit in one datagram in fewer than 1,200 bytes', () => {
		const incarnation = 1_764_000_000_000_123;
		const of = <Entry>(create: (id: number) => Entry) =>
			Array.from({length: quotaEntriesPerDatagram}, (_, id) => create(id));
		const datagrams: Datagram[] = [
			{
				type: 'quota-report',
				report: {
					incarnation,
					sequence: 100_000,
					serverIncarnation: incarnation,
					uses: of((id) => ({id, epoch: 100_000, asked: 1_000_000, admitted: 1_000_000})),
				},
			},
			{
				type: 'quota-reply',
				reply: {
					incarnation,
					sequence: 100_000,
					grants: of((id) => ({
						id,
						isOpen: true,
						epoch: 100_000,
						admitted: 1_000_000,
						credit: 20_000,
						perSecond: 2000,
					})),
				},
			},
			{
				type: 'quota-demand',
				demand: {
					incarnation,
					sequence: 100_000,
					entries: of((id) => ({
						id,
						epoch: 100_000,
						admitted: 1_000_000,
						askedPerSecond: 1600,
						admittedPerSecond: 1600,
						level: -8000,
					})),
				},
			},
		];
		for (const datagram of datagrams) {
			expect(encodeDatagram(datagram).length).to.be.below(1200);
		}
	});

	it('rejects truncated, malformed and empty datagrams', () => {
		const bytes = encodeDatagram(datagrams[0]);
		for (const malformed of [bytes.slice(0, 9), new Uint8Array([1, 2, 3]), new Uint8Array()]) {
			expect(() => decodeDatagram(malformed)).to.throw(ProtocolError);
		}
	});

	it('rounds counts of calls up that are estimates, in place of failing', () => {
		const entry = {id: 7, epoch: 1, askedPerSecond: 1, admittedPerSecond: 1, level: -3.5};
		const datagram: Datagram = {
			type: 'quota-demand',
			demand: {incarnation: 4, sequence: 9, entries: [{...entry, admitted: 531.018}]},
		};
		const decoded = decodeDatagram(encodeDatagram(datagram));
		expect(decoded).to.deep.equal({
			...datagram,
			demand: {...datagram.demand, entries: [{...entry, admitted: 532, level: -4}]},
		});
	});
});

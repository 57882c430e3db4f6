import {expect} from 'chai';
import {emptyRoutingTable, type Endpoint, type WorkerLoad} from 'redwingmill-core';
import {Random} from 'redwingmill-shared';
import {EntryService, type CallerCall} from '../../call/entry-service.js';
import {type Attempt, type GateClient} from '../../call/gate-client.js';
import {type GateRequest, type GateService} from '../../call/gate-service.js';
import {type ControlPlane} from '../../control/control-plane.js';
import {parseSettings} from '../../index.js';
import {type Metrics} from '../../observe/metrics.js';

const ownNode = '10.0.0.1:7000';
const otherNode = '10.0.0.2:7000';
const service = 'coding';
const route = {
	host: undefined,
	path: '/coding',
	service,
	methods: [],
	idempotent: ['*'],
	rank: 1,
	deadlineMs: 60_000,
	targetMs: 30_000,
	retryShare: 0.1,
};

function endpointOf(node: string): Endpoint {
	return {node, gateAddress: node, dataCentre: 'dc-a', incarnation: 1, service, slots: 4};
}

/** An entry beside a worker with these calls per slot, and the nodes to which it has sent attempts. */
function entryBeside(callsPerSlot: number) {
	const nodes: string[] = [];
	const load: WorkerLoad = {callsPerSlot, waitMs: 0, runMs: 20, failureShare: 0};
	const parsed = parseSettings(
		JSON.stringify({
			dataCentre: 'dc-a',
			addresses: {
				proxy: '10.0.0.1:1',
				gate: '10.0.0.1:2',
				control: ownNode,
				operators: '10.0.0.1:4',
			},
			platform: '10.0.0.9:1',
			isFirstStart: true,
			calls: {choice: 'even-load'},
		}),
	);
	if (parsed.type === 'invalid') {
		throw new Error('settings of the fixture are invalid');
	}

	const endpoints = [endpointOf(ownNode), endpointOf(otherNode)];
	const routing = {...emptyRoutingTable, endpoints: new Map([[service, endpoints]])};
	const control = {
		self: {address: ownNode, incarnation: 1},
		nodeCount: 2,
		routing,
	};
	const gate: Pick<GateService, 'load' | 'submit' | 'cancel'> = {
		load,
		cancel: () => undefined,
		submit(_request: GateRequest) {
			nodes.push(ownNode);
		},
	};
	const client: Pick<GateClient, 'send' | 'cancel'> = {
		cancel: () => undefined,
		send({endpoint}: Attempt) {
			nodes.push(endpoint.node);
			return {abort: () => undefined};
		},
	};
	const entry = new EntryService(parsed.settings, {
		control: control as unknown as ControlPlane,
		gate: gate as GateService,
		client: client as GateClient,
		metrics: {countRetry: () => undefined} as unknown as Metrics,
		random: new Random(1),
	});
	return {entry, nodes};
}

function callAt(startedAt: number): CallerCall {
	return {
		request: {method: 'GET', path: '/coding', headers: {}, body: undefined},
		route,
		requestKey: '',
		startedAt,
		firstTryAt: startedAt,
		targetAt: startedAt + route.targetMs,
		deadlineAt: startedAt + route.deadlineMs,
	};
}

function nodesOfCalls(callsPerSlot: number): readonly string[] {
	const {entry, nodes} = entryBeside(callsPerSlot);
	for (let call = 0; call < 20; call += 1) {
		entry.begin(callAt(performance.now()), () => undefined);
	}

	entry.stopCalls();
	return nodes;
}

describe('an entry beside a worker of the service that is called', () => {
	it('sends no call to another node while its own worker has a free slot', () => {
		expect(new Set(nodesOfCalls(0.5))).to.deep.equal(new Set([ownNode]));
	});

	it('sends calls to other nodes too while its own worker is busy', () => {
		expect(nodesOfCalls(1)).to.include(otherNode);
	});
});

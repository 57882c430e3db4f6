import {expect} from 'chai';
import {deriveRouting, type NodeRecord} from '../../index.js';

const services = ['coding', 'diary'].map((name) => ({name, dependsOn: []}));
const routes = ['coding', 'diary', 'unknown'].map((service) => ({
	path: `/${service}/`,
	service,
	methods: [],
	idempotent: [],
	rank: 0,
	deadlineMs: 1000,
	retryShare: 0,
}));
const source = {version: 3, configuration: {services, routes}};

function nodeWith(service: string, address: string): NodeRecord {
	return {
		address,
		dataCentre: 'dc-a',
		incarnation: 1,
		revision: 1,
		status: 'live',
		gateAddress: address,
		worker: {service, address, slots: 4, state: 'ready'},
	};
}

function derive(records: readonly NodeRecord[], previous?: ReturnType<typeof deriveRouting>) {
	return deriveRouting(source, records, new Set(), previous?.routing);
}

describe('deriveRouting', () => {
	const coding = nodeWith('coding', '127.0.0.1:1');
	const another = nodeWith('coding', '127.0.0.1:2');
	const diary = nodeWith('diary', '127.0.0.1:3');

	it('derives which routes accept calls and why the others do not', () => {
		const states = derive([coding]).routing.routes.map((state) =>
			state.type === 'active' ? 'active' : `${state.reason.type} ${state.reason.service}`,
		);
		expect(states).to.deep.equal([
			'active',
			'no-ready-endpoint diary',
			'no-ready-endpoint unknown',
		]);
	});

	it('keeps the same routes when a change of nodes does not affect them', () => {
		const before = derive([coding]);
		const after = derive([coding, another], before);
		expect(after.routing.routes).to.equal(before.routing.routes);
		expect(after.routing.endpoints.get('coding')).to.have.lengthOf(2);
	});

	it('derives the routes again when a service gets its first endpoint or loses its last one', () => {
		const before = derive([coding]);
		const both = derive([coding, diary], before);
		expect(both.routing.routes.filter(({type}) => type === 'active')).to.have.lengthOf(2);
		const none = derive([], both);
		expect(none.routing.routes.filter(({type}) => type === 'active')).to.have.lengthOf(0);
	});

	it('derives the routes again for another version of the configuration', () => {
		const before = derive([coding]);
		const next = {...source, version: 4, configuration: {services, routes: routes.slice(0, 1)}};
		const {routing} = deriveRouting(next, [coding], new Set(), before.routing);
		expect(routing.routes).to.have.lengthOf(1);
	});
});

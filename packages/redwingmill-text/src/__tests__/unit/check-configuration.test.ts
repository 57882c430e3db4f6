import {expect} from 'chai';
import {
	checkConfiguration,
	configurationChanges,
	type Configuration,
	type Route,
	type Workspace,
} from '../../index.js';

const secret = 'key-of-a-workspace';

function routeTo(path: string, fields: Partial<Route> = {}): Route {
	return {
		path,
		service: 'coding',
		methods: [],
		idempotent: [],
		rank: 0,
		deadlineMs: 1000,
		retryShare: 0,
		...fields,
	};
}

function workspaceOf(name: string, fields: Partial<Workspace> = {}): Workspace {
	return {name, keys: [`${secret}-${name}`], rank: 1, ...fields};
}

function configurationOf(fields: Partial<Configuration> = {}): Configuration {
	return {services: [{name: 'coding', dependsOn: []}], routes: [routeTo('/a')], ...fields};
}

function typesOf(fields: Partial<Configuration>): readonly string[] {
	return checkConfiguration(configurationOf(fields)).map(({type}) => type);
}

describe('checkConfiguration', () => {
	it('finds nothing in a configuration without mistakes', () => {
		const quota = {perSecond: 1, burst: 1};
		expect(typesOf({workspaces: [workspaceOf('one', {quota}), workspaceOf('two')]})).to.deep.equal(
			[],
		);
	});

	it('finds routes that never match and destinations that get no calls', () => {
		const split = [
			{service: 'coding', weight: 1},
			{service: 'coding', weight: 0},
		];
		const routes = [routeTo('/a', {split}), routeTo('/a', {methods: ['GET']})];
		expect(typesOf({routes})).to.deep.equal(['route-never-matches', 'destination-without-calls']);
	});

	it('finds services that neither a route nor another service refers to', () => {
		const services = [
			{name: 'store', dependsOn: []},
			{name: 'coding', dependsOn: ['store']},
			{name: 'spare', dependsOn: []},
		];
		const findings = checkConfiguration(configurationOf({services}));
		expect(findings.map(({type, subject}) => [type, subject])).to.deep.equal([
			['service-unused', 'spare'],
		]);
	});

	it('finds limits that contradict each other', () => {
		const routes = [
			routeTo('/late', {targetMs: 2000}),
			routeTo('/many', {targetMs: 400, maximumAttempts: 3}),
			routeTo('/fits', {targetMs: 300, maximumAttempts: 3}),
		];
		const workspaces = [workspaceOf('one', {quota: {perSecond: 5, burst: 0.5}})];
		expect(typesOf({routes, workspaces})).to.deep.equal([
			'target-after-deadline',
			'no-time-for-attempts',
			'burst-below-one-call',
		]);
	});

	it('finds keys of two workspaces without stating a key', () => {
		const keys = [secret];
		const workspaces = [workspaceOf('one', {keys}), workspaceOf('two', {keys})];
		const findings = checkConfiguration(configurationOf({workspaces}));
		expect(findings.map(({type, subject}) => [type, subject])).to.deep.equal([
			['key-shared', 'two'],
		]);
		expect(JSON.stringify(findings)).to.not.include(secret);
	});
});

describe('configurationChanges', () => {
	it('lists entries with their changed fields, and counts keys without stating one', () => {
		const from = configurationOf({
			routes: [routeTo('/a'), routeTo('/b')],
			workspaces: [workspaceOf('one', {keys: [secret, `${secret}-old`]})],
		});
		const to = configurationOf({
			routes: [routeTo('/a', {deadlineMs: 500}), routeTo('/c')],
			workspaces: [workspaceOf('one', {keys: [secret, `${secret}-new`, `${secret}-newer`]})],
		});
		const changes = configurationChanges(from, to);
		expect(changes).to.deep.equal([
			{kind: 'route', name: '* /a', effect: 'changed', fields: ['deadlineMs']},
			{kind: 'route', name: '* /c', effect: 'added', fields: []},
			{kind: 'route', name: '* /b', effect: 'removed', fields: []},
			{
				kind: 'workspace',
				name: 'one',
				effect: 'changed',
				fields: ['keys'],
				keys: {added: 2, removed: 1},
			},
		]);
		expect(JSON.stringify(changes)).to.not.include(secret);
	});
});

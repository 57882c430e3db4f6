import {expect} from 'chai';
import {type Route, type Workspace} from 'redwingmill-text';
import {workspaceIndexOf} from '../../index.js';

function routeWith(fields: Partial<Route> = {}): Route {
	return {
		path: '/',
		service: 'orders',
		methods: [],
		idempotent: [],
		rank: 1,
		deadlineMs: 1000,
		retryShare: 0.2,
		...fields,
	};
}

const bakery: Workspace = {name: 'bakery', keys: ['key-1', 'key-2'], rank: 1};

function indexOf(...workspaces: Workspace[]) {
	return workspaceIndexOf({services: [], routes: [], workspaces})!;
}

describe('WorkspaceIndex', () => {
	it('finds the workspace of each of its keys', () => {
		for (const key of bakery.keys) {
			const authorization = indexOf(bakery).authorize(routeWith(), key);
			expect(authorization).to.deep.equal({type: 'authorized', workspace: bakery});
		}
	});

	it('denies a missing key, an unknown one and the name of an object member', () => {
		for (const key of [undefined, '', 'key-3', 'key-1, key-2', 'constructor', '__proto__']) {
			expect(indexOf(bakery).authorize(routeWith(), key).type).to.equal('denied');
		}
	});

	it('needs no key on a public route, and names no workspace there even with a valid key', () => {
		const authorization = indexOf(bakery).authorize(routeWith({isPublic: true}), 'key-1');
		expect(authorization).to.deep.equal({type: 'authorized'});
	});

	it('denies every key where the configuration lists no workspace', () => {
		expect(indexOf().authorize(routeWith(), 'key-1').type).to.equal('denied');
	});

	it('is absent where the configuration knows no workspaces', () => {
		expect(workspaceIndexOf({services: [], routes: []})).to.equal(undefined);
	});
});

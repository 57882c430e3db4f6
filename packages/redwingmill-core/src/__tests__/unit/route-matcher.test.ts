import {expect} from 'chai';
import {type Route} from 'redwingmill-text';
import {matchRoute, type RouteState} from '../../index.js';

function routeTo(path: string, fields: Partial<Route> = {}): RouteState {
	const route: Route = {
		path,
		service: 'coding',
		methods: [],
		idempotent: [],
		rank: 0,
		deadlineMs: 1000,
		retryShare: 0,
		...fields,
	};
	return {type: 'active', route};
}

function pathOf(routes: readonly RouteState[], host: string | undefined, path: string) {
	return matchRoute(routes, 'GET', path, host)?.route.path;
}

describe('matchRoute', () => {
	const routes = [
		routeTo('/a/b/', {host: 'one.example'}),
		routeTo('/a/c/'),
		routeTo('/a/', {host: 'one.example', methods: ['POST']}),
		routeTo('/a/', {host: 'two.example'}),
		routeTo('/'),
	];

	it('matches the longest path among the routes of the host and those without a host', () => {
		expect(pathOf(routes, 'one.example', '/a/b/1')).to.equal('/a/b/');
		expect(pathOf(routes, 'one.example', '/a/c/1')).to.equal('/a/c/');
		expect(pathOf(routes, 'two.example', '/a/b/1')).to.equal('/a/');
		expect(pathOf(routes, 'two.example', '/a/c/1')).to.equal('/a/c/');
	});

	it('matches routes with a host or methods only for calls to that host or with those methods', () => {
		expect(pathOf(routes, 'three.example', '/a/b/1')).to.equal('/');
		expect(pathOf(routes, undefined, '/a/b/1')).to.equal('/');
		expect(pathOf(routes, 'one.example', '/a/x')).to.equal('/');
		expect(matchRoute(routes, 'POST', '/a/x', 'one.example')?.route.path).to.equal('/a/');
	});

	it('returns undefined when no route matches', () => {
		expect(pathOf(routes.slice(0, -1), 'three.example', '/a/b/1')).to.equal(undefined);
		expect(pathOf([], 'one.example', '/')).to.equal(undefined);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {hiddenRoutes, type Route} from 'redwingmill-text';
import {matchRoute, type RouteState} from '../../index.js';

const hosts = ['one.example', 'two.example', 'other.example', undefined] as const;
const paths = ['/', '/a', '/a/', '/a/b', '/a/b/', '/x', '/ab', '/a?x=1'] as const;
const methods = ['GET', 'POST', 'PUT'] as const;

const anyRoute: fc.Arbitrary<Route> = fc
	.record({
		host: fc.constantFrom('one.example', 'two.example', undefined),
		path: fc.constantFrom('/', '/a', '/a/', '/a/b'),
		methods: fc.subarray(['GET', 'POST']),
	})
	.map((fields) => ({
		...fields,
		service: 'coding',
		idempotent: [],
		rank: 0,
		deadlineMs: 1000,
		retryShare: 0,
	}));

/** Returns the routes that the real matcher finds for any call of a set that tells all routes apart. */
function matchedRoutes(routes: readonly Route[]): Set<Route> {
	const states = routes.map((route): RouteState => ({type: 'active', route}));
	const matched = new Set<Route>();
	for (const host of hosts) {
		for (const path of paths) {
			for (const method of methods) {
				const found = matchRoute(states, method, path, host);
				if (found) {
					matched.add(found.route);
				}
			}
		}
	}

	return matched;
}

describe('hiddenRoutes', () => {
	it('reports exactly the routes that the matcher never finds, so that no warning is wrong', () => {
		fc.assert(
			fc.property(fc.array(anyRoute, {maxLength: 9}), (unsorted) => {
				const routes = unsorted.toSorted((a, b) => b.path.length - a.path.length);
				const matched = matchedRoutes(routes);
				expect(hiddenRoutes(routes)).to.deep.equal(routes.filter((route) => !matched.has(route)));
			}),
			{numRuns: 2000, seed: 11},
		);
	});
});

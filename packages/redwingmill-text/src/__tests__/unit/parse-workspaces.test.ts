import {expect} from 'chai';
import fc from 'fast-check';
import {formatFault, parseText, type Workspace} from '../../index.js';

const seed = 17;

function textWith(workspaces: string, routes = ''): string {
	return `{"services": {"a": {}}, "routes": [${routes}],\n"workspaces": ${workspaces}}`;
}

function faultsOf(text: string): string[] {
	const parsed = parseText(text);
	return parsed.type === 'invalid' ? parsed.faults.map((fault) => formatFault(fault)) : [];
}

function workspacesOf(text: string): readonly Workspace[] | undefined {
	const parsed = parseText(text);
	return parsed.type === 'valid' ? parsed.configuration.workspaces : undefined;
}

describe('parseText with workspaces', () => {
	it('reads keys, rank and quota, and which routes are public or bulk', () => {
		const routes = '{"path": "/x", "service": "a", "public": true, "bulk": true}';
		const text = textWith(
			'{"north": {"keys": ["k-1", "k-2"], "priority": 7, "quota": {"perSecond": 20, "burst": 5}},' +
				'"south": {"keys": [], "quota": {"perSecond": 0}}}',
			routes,
		);
		expect(workspacesOf(text)).to.deep.equal([
			{name: 'north', keys: ['k-1', 'k-2'], rank: 7, quota: {perSecond: 20, burst: 5}},
			{name: 'south', keys: [], rank: 1},
		]);
		const parsed = parseText(text);
		expect(parsed.type === 'valid' && parsed.configuration.routes[0]).to.include({
			isPublic: true,
			isBulk: true,
		});
	});

	it('has no workspaces in a text without them', () => {
		const parsed = parseText('{"services": {}, "routes": []}');
		expect(parsed.type === 'valid' && parsed.configuration).to.not.have.property('workspaces');
	});

	const cases: ReadonlyArray<readonly [string, string, string]> = [
		['a list of workspaces', '[]', '2:15: $.workspaces: expected an object'],
		['a workspace without keys', '{"n": {}}', '2:21: $.workspaces.n: missing field "keys"'],
		[
			'a key that is no text',
			'{"n": {"keys": [5]}}',
			'2:31: $.workspaces.n.keys[0]: expected a string',
		],
		['an empty key', '{"n": {"keys": [""]}}', '2:31: $.workspaces.n.keys[0]: expected a key of 1'],
		[
			'a key of two workspaces',
			'{"n": {"keys": ["s3cret"]}, "m": {"keys": ["s3cret"]}}',
			'2:58: $.workspaces.m.keys[0]: key of workspace "n" is used again',
		],
		[
			'a key with a line end',
			String.raw`{"n": {"keys": ["s3cret\n"]}}`,
			'2:31: $.workspaces.n.keys[0]: expected a key',
		],
		[
			'a rank below 0',
			'{"n": {"keys": [], "priority": -1}}',
			'2:46: $.workspaces.n.priority: expected a number from 0 to 1000',
		],
		[
			'a rank between whole numbers',
			'{"n": {"keys": [], "priority": 1.5}}',
			'2:46: $.workspaces.n.priority: expected a whole number',
		],
		[
			'a quota below 0',
			'{"n": {"keys": [], "quota": {"perSecond": -2}}}',
			'2:57: $.workspaces.n.quota.perSecond: expected a number from 0',
		],
		[
			'an unknown field',
			'{"n": {"keys": [], "kyes": 1}}',
			'2:34: $.workspaces.n.kyes: unknown field',
		],
		['an invalid name', '{" ": {"keys": []}}', '2:16: $.workspaces: " " isn\'t a valid name'],
	];
	for (const [title, workspaces, fault] of cases) {
		it(`rejects ${title} with its position and without a key`, () => {
			const faults = faultsOf(textWith(workspaces));
			expect(
				faults.some((each) => each.startsWith(fault)),
				faults.join('; '),
			).to.equal(true);
			expect(faults.join(' ')).to.not.include('s3cret');
		});
	}

	it('never shows a key in a fault, whatever else is wrong', () => {
		const key = fc.integer({min: 10_000_000, max: 99_999_999}).map((number) => `secret-${number}`);
		const value = fc.oneof(fc.jsonValue(), fc.constant(null));
		fc.assert(
			fc.property(key, key, value, value, (first, second, priority, quota) => {
				const workspaces = {
					a: {keys: [first, second, `${first} `], priority},
					b: {keys: [second], quota},
				};
				const text = faultsOf(textWith(JSON.stringify(workspaces))).join(' ');
				expect(text).to.not.include(first);
				expect(text).to.not.include(second);
			}),
			{seed},
		);
	});
});

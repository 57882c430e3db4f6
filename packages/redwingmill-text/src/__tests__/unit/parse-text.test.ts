import {expect} from 'chai';
import fc from 'fast-check';
import {formatFault, parseText, textLimitBytes, type ParsedText} from '../../index.js';

const seed = 99;
const valid = `{
	// Services and their dependencies.
	"services": {"b": {"dependsOn": ["a"]}, "a": {}},
	"routes": [
		{"path": "/b", "service": "b", "methods": ["GET"]},
		{"path": "/b/long", "service": "b", "priority": "bulk", "deadlineMs": 50},
	],
}`;

function faultsOf(text: string): string[] {
	const parsed = parseText(text);
	return parsed.type === 'invalid' ? parsed.faults.map((fault) => formatFault(fault)) : [];
}

describe('parseText', () => {
	it('sorts services by dependency and routes by path length, and applies defaults', () => {
		const parsed = parseText(valid);
		expect(parsed.type).to.equal('valid');
		if (parsed.type === 'valid') {
			const {services, routes} = parsed.configuration;
			expect(services.map(({name}) => name)).to.deep.equal(['a', 'b']);
			expect(routes.map(({path}) => path)).to.deep.equal(['/b/long', '/b']);
			expect(routes[1]).to.include({rank: 1, deadlineMs: 5000, retryShare: 0.1});
			expect(routes[1].idempotent).to.not.include('POST');
		}
	});

	const cases: ReadonlyArray<readonly [string, string, string]> = [
		['truncated text', '{"services": {', '1:15: syntax error'],
		['empty text', '', '1:1: syntax error'],
		['wrong type', '{"services": [], "routes": []}', '1:14: $.services: expected an object'],
		['unknown field', '{"services": {}, "routes": [], "x": 1}', '1:32: $.x: unknown field'],
		['missing field', '{"services": {}}', '1:1: $: missing field "routes"'],
		[
			'duplicate service',
			'{"services": {"a": {}, "a": {}}, "routes": []}',
			'1:24: $.services: "a" is given twice',
		],
		[
			'duplicate route',
			'{"services": {"a": {}}, "routes": [{"path": "/", "service": "a"}, {"path": "/", "service": "a"}]}',
			'1:67: $.routes[1]: "* /" is given twice',
		],
		[
			'cycle',
			'{"services": {"a": {"dependsOn": ["b"]}, "b": {"dependsOn": ["a"]}}, "routes": []}',
			'1:1: services depend on each other in a cycle: a -> b -> a',
		],
		[
			'route to an unknown service',
			'{"services": {}, "routes": [\n{"path": "/", "service": "x"}]}',
			'2:26: $.routes[0].service: no service is named "x"',
		],
		[
			'dependency on an unknown service',
			'{"services": {"a": {"dependsOn": ["x"]}}, "routes": []}',
			'1:35: $.services.a.dependsOn[0]: no service is named "x"',
		],
		[
			'deadline out of range',
			'{"services": {"a": {}}, "routes": [{"path": "/", "service": "a", "deadlineMs": 0}]}',
			'expected a number from 1 to 600000',
		],
		['service named __proto__', '{"services": {"__proto__": {}}, "routes": []}', 'valid name'],
		['excessive nesting', '['.repeat(100_000), 'nested deeper than 16'],
		['oversize text', ' '.repeat(textLimitBytes + 1), 'the limit is'],
	];
	for (const [name, text, expected] of cases) {
		it(`reports the fault and its position: ${name}`, () => {
			const faults = faultsOf(text);
			expect(faults.length, faults.join('\n')).to.be.at.least(1);
			expect(
				faults.some((fault) => fault.includes(expected)),
				faults.join('\n'),
			).to.equal(true);
		});
	}

	it('reports all faults of a text in one pass', () => {
		const text = '{"services": {"A": {}, "b": {"dependsOn": ["x"]}}, "routes": [{}], "y": 0}';
		expect(faultsOf(text).length).to.be.at.least(5);
	});

	it('returns a result and never throws on arbitrary texts', () => {
		const parse = (text: string): ParsedText => parseText(text);
		fc.assert(
			fc.property(fc.oneof(fc.string(), fc.json(), mutations()), (text) => {
				expect(['valid', 'invalid']).to.include(parse(text).type);
			}),
			{seed, numRuns: 500},
		);
	});
});

/** Generates the valid text with a part removed, inserted or replaced. */
function mutations(): fc.Arbitrary<string> {
	return fc
		.record({at: fc.nat({max: valid.length}), length: fc.nat({max: 20}), insertion: fc.string()})
		.map(({at, length, insertion}) => valid.slice(0, at) + insertion + valid.slice(at + length));
}

import {expect} from 'chai';
import {parseSettings} from '../../index.js';

const valid = `{
	// One node.
	"dataCentre": "dc-a",
	"addresses": {
		"proxy": "127.0.0.1:1", "gate": "127.0.0.1:2",
		"control": "127.0.0.1:3", "operators": "127.0.0.1:4",
	},
	"platform": "127.0.0.1:5",
}`;

function faultsOf(text: string): string[] {
	const parsed = parseSettings(text);
	return parsed.type === 'invalid'
		? parsed.faults.map(({line, column, message}) => `${line}:${column}: ${message}`)
		: [];
}

describe('parseSettings', () => {
	it('applies defaults to absent fields', () => {
		const parsed = parseSettings(valid);
		expect(parsed.type === 'valid' && parsed.settings.calls.maximumAttempts).to.equal(3);
		expect(parsed.type === 'valid' && parsed.settings.control.distributionIntervalMs).to.equal(100);
	});

	it('reports every fault with its position and the expected value', () => {
		const faults = faultsOf(
			valid
				.replace('"dc-a"', '7')
				.replace('"platform"', '"platfrom"')
				.replace('"127.0.0.1:1"', '"localhost:80"'),
		);
		expect(faults).to.have.lengthOf(4);
		expect(faults.join('\n')).to.match(/3:16: dataCentre: must be string/v);
		expect(faults.join('\n')).to.match(/8:2: platfrom: unknown field; known fields: dataCentre/v);
		expect(faults.join('\n')).to.match(/5:12: addresses\.proxy: must match pattern/v);
		expect(faults.join('\n')).to.match(/1:1: settings: must have required property 'platform'/v);
	});

	it('rejects invalid JSON and settings that are too large', () => {
		expect(faultsOf('{"dataCentre": ')[0]).to.match(/^1:\d+: syntax error/v);
		expect(faultsOf(' '.repeat(300_000))[0]).to.match(/larger than/v);
	});
});

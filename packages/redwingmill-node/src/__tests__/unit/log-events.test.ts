import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {counters, notRunReasons, unknownReasons} from 'redwingmill-core';
import {logEvents} from '../../index.js';

const catalogue = readFileSync(new URL('../../../../../docs/EVENTS.md', import.meta.url), 'utf8');

describe('docs/EVENTS.md', () => {
	it('lists exactly the events of the code, with number, level and message', () => {
		const listed = [...catalogue.matchAll(/^\| (\d{3}) \| (\w+) \| ([^\|]+) \|/gmv)].map(
			([, number, level, message]) => `${number} ${level} ${message.trim()}`,
		);
		const written = Object.values(logEvents).map(
			({number, level, message}) => `${number} ${level} ${message}`,
		);
		expect(listed).to.deep.equal(written);
	});

	it('documents every counter and reason', () => {
		for (const name of [...counters, ...notRunReasons, ...unknownReasons]) {
			expect(catalogue, name).to.include(`\`${name}\``);
		}
	});

	it('assigns a unique number to every event', () => {
		const numbers = Object.values(logEvents).map(({number}) => number);
		expect(new Set(numbers).size).to.equal(numbers.length);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {contentFor, textOf} from '../../index.js';

const seed = 8;

describe('contentFor', () => {
	it('encodes any text against any base', () => {
		fc.assert(
			fc.property(
				fc.string({maxLength: 500}),
				fc.string({maxLength: 500}),
				fc.nat(),
				(base, other, at) => {
					const cut = at % (base.length + 1);
					const text = base.slice(0, cut) + other + base.slice(cut);
					const known = {text: base, digest: 'base'};
					expect(textOf(contentFor(text, known), [known])).to.equal(text);
				},
			),
			{seed, numRuns: 500},
		);
	});

	it('contains only the changed part of a text', () => {
		const base = {text: 'x'.repeat(5000), digest: 'base'};
		const content = contentFor(`${base.text.slice(0, 2500)}changed${base.text.slice(2500)}`, base);
		expect(content.type === 'splice' && content.insertion).to.equal('changed');
	});

	it('decodes to undefined when its base is unknown or too short', () => {
		const content = {type: 'splice', base: 'b', prefix: 4, suffix: 4, insertion: ''} as const;
		expect(textOf(content, [])).to.equal(undefined);
		expect(textOf(content, [{digest: 'b', text: 'short'}])).to.equal(undefined);
	});
});

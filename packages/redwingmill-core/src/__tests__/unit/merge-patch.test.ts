import {expect} from 'chai';
import fc from 'fast-check';
import {applyMergePatch, mergePatchOf, type Json} from '../../index.js';

const seed = 20_261_204;

/** JSON without null inside objects, as configurations are. */
const anyDocument = fc.dictionary(
	fc.constantFrom('a', 'b', 'c', 'd'),
	fc.oneof(
		fc.integer(),
		fc.string(),
		fc.boolean(),
		fc.array(fc.integer(), {maxLength: 3}),
		fc.dictionary(fc.constantFrom('x', 'y', 'z'), fc.oneof(fc.integer(), fc.string())),
	),
) as fc.Arbitrary<Json>;

describe('a merge patch', () => {
	it('leads from any document to any other', () => {
		fc.assert(
			fc.property(anyDocument, anyDocument, (from, to) => {
				const patch = mergePatchOf(from, to);
				expect(patch).not.to.equal(undefined);
				expect(applyMergePatch(from, patch!)).to.deep.equal(to);
			}),
			{seed},
		);
	});

	it('holds what changed and nothing else', () => {
		const from = {routes: {one: {path: '/a/', rank: 1}, two: {path: '/b/'}}, version: 1};
		const to = {routes: {one: {path: '/a/', rank: 2}, three: {path: '/c/'}}, version: 2};
		expect(mergePatchOf(from, to)).to.deep.equal({
			routes: {one: {rank: 2}, two: null, three: {path: '/c/'}},
			version: 2,
		});
	});

	it('leaves the document as it is and shares what stays', () => {
		const from = {kept: {a: 1}, changed: {b: 1}};
		const merged = applyMergePatch(from, {changed: {b: 2}}) as typeof from;
		expect(from.changed.b).to.equal(1);
		expect(merged.kept).to.equal(from.kept);
	});

	it('can’t tell a field that is null', () => {
		expect(mergePatchOf({a: 1}, {a: null})).to.equal(undefined);
		expect(mergePatchOf({a: 1}, {a: {b: null}})).to.equal(undefined);
		expect(mergePatchOf({a: null}, {a: null})).to.deep.equal({});
	});
});

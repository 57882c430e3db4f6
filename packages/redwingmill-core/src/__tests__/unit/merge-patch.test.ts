import {expect} from 'chai';
import fc from 'fast-check';
import {applyMergePatch, mergePatchOf, type Json} from '../../index.js';

const seed = 20_261_204;

/** JSON objects without null values, like configurations. */
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

describe('mergePatchOf and applyMergePatch', () => {
	it('transform any document into any other', () => {
		fc.assert(
			fc.property(anyDocument, anyDocument, (from, to) => {
				const patch = mergePatchOf(from, to);
				expect(patch).not.to.equal(undefined);
				expect(applyMergePatch(from, patch!)).to.deep.equal(to);
			}),
			{seed},
		);
	});

	it('produce a patch with the changed fields only', () => {
		const from = {routes: {one: {path: '/a/', rank: 1}, two: {path: '/b/'}}, version: 1};
		const to = {routes: {one: {path: '/a/', rank: 2}, three: {path: '/c/'}}, version: 2};
		expect(mergePatchOf(from, to)).to.deep.equal({
			routes: {one: {rank: 2}, two: null, three: {path: '/c/'}},
			version: 2,
		});
	});

	it('leave the original document unchanged and share its unchanged parts', () => {
		const from = {kept: {a: 1}, changed: {b: 1}};
		const merged = applyMergePatch(from, {changed: {b: 2}}) as typeof from;
		expect(from.changed.b).to.equal(1);
		expect(merged.kept).to.equal(from.kept);
	});

	it('return no patch for a change that introduces null, which a merge patch cannot express', () => {
		expect(mergePatchOf({a: 1}, {a: null})).to.equal(undefined);
		expect(mergePatchOf({a: 1}, {a: {b: null}})).to.equal(undefined);
		expect(mergePatchOf({a: null}, {a: null})).to.deep.equal({});
	});
});

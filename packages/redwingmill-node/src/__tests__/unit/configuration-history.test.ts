import {expect} from 'chai';
import {ConfigurationHistory} from '../../control/configuration-history.js';

function createSource(version: number, routes: Record<string, unknown>): unknown {
	return {version, routes};
}

function createHistory(
	...sources: ReadonlyArray<readonly [number, unknown]>
): ConfigurationHistory {
	const history = new ConfigurationHistory();
	for (const [version, source] of sources) {
		history.add(version, source);
	}

	return history;
}

const first = createSource(1, {one: {path: '/a/'}});
const second = createSource(4, {one: {path: '/a/'}, two: {path: '/b/'}});

describe('ConfigurationHistory', () => {
	it('has nothing to tell before the first version', () => {
		expect(new ConfigurationHistory().replySince(3)).to.deep.equal({type: 'none'});
	});

	it('tells the change since a version that it held, which the other applies to its own', () => {
		const reply = createHistory([1, first], [4, second]).replySince(1);
		expect(reply).to.deep.equal({
			type: 'change',
			base: 1,
			patch: {version: 4, routes: {two: {path: '/b/'}}},
		});
		expect(createHistory([1, first]).sourceFromReply(reply)).to.deep.equal(second);
	});

	it('tells the whole to one that holds nothing, or a version that isn’t known', () => {
		const history = createHistory([1, first], [4, second]);
		expect(history.replySince(undefined)).to.deep.equal({type: 'whole', source: second});
		expect(history.replySince(2)).to.deep.equal({type: 'whole', source: second});
	});

	it('makes nothing of a change from a version that isn’t held', () => {
		const reply = createHistory([1, first], [4, second]).replySince(1);
		expect(createHistory([2, first]).sourceFromReply(reply)).to.equal(undefined);
	});

	it('forgets versions that are long past', () => {
		const history = createHistory([1, first]);
		for (let version = 2; version < 20; version++) {
			history.add(version, createSource(version, {}));
		}

		expect(history.replySince(1).type).to.equal('whole');
		expect(history.replySince(18).type).to.equal('change');
	});
});

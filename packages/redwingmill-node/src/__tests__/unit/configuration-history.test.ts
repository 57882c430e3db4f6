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
	it('replies that there is no configuration before the first version', () => {
		expect(new ConfigurationHistory().replySince(3)).to.deep.equal({type: 'none'});
	});

	it('replies with a patch that turns an earlier version into the newest', () => {
		const reply = createHistory([1, first], [4, second]).replySince(1);
		expect(reply).to.deep.equal({
			type: 'change',
			base: 1,
			patch: {version: 4, routes: {two: {path: '/b/'}}},
		});
		expect(createHistory([1, first]).sourceFromReply(reply)).to.deep.equal(second);
	});

	it('replies with the whole source if the node holds no version or an unknown one', () => {
		const history = createHistory([1, first], [4, second]);
		expect(history.replySince(undefined)).to.deep.equal({type: 'whole', source: second});
		expect(history.replySince(2)).to.deep.equal({type: 'whole', source: second});
	});

	it('returns no source for a patch whose base version is not stored', () => {
		const reply = createHistory([1, first], [4, second]).replySince(1);
		expect(createHistory([2, first]).sourceFromReply(reply)).to.equal(undefined);
	});

	it('evicts the oldest versions', () => {
		const history = createHistory([1, first]);
		for (let version = 2; version < 20; version++) {
			history.add(version, createSource(version, {}));
		}

		expect(history.replySince(1).type).to.equal('whole');
		expect(history.replySince(18).type).to.equal('change');
	});
});

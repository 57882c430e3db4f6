import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {VersionChooser, type Endpoint, type RolloutStage} from '../../index.js';

const service = 'coding';

function endpointsOf(...versions: Array<string | undefined>): readonly Endpoint[] {
	return versions.map((version, index) => ({
		node: `10.0.0.${index}:1`,
		gateAddress: `10.0.0.${index}:2`,
		dataCentre: 'a',
		incarnation: 1,
		service,
		slots: 4,
		...(version !== undefined && {version}),
	}));
}

function stageOf(fields: Partial<RolloutStage> = {}): RolloutStage {
	return {
		order: {service, targetVersion: 'v2', durationMs: 30_000, era: 1, revision: 7},
		state: 'running',
		share: 0.03,
		elapsedMs: 0,
		decider: '10.0.0.1:1',
		sequence: 1,
		reason: 'test',
		...fields,
	};
}

/** Versions of the endpoints, each once. */
function versionsOf(endpoints: readonly Endpoint[] | undefined): string[] | undefined {
	return endpoints && [...new Set(endpoints.map(({version = ''}) => version))].toSorted();
}

function chooserWith(seed = 1): VersionChooser {
	return new VersionChooser(new Random(seed));
}

describe('VersionChooser', () => {
	const mixed = endpointsOf('v1', 'v1', 'v1', 'v2');

	it('returns the same list and no other object while all workers have one version', () => {
		const chooser = chooserWith();
		for (const endpoints of [endpointsOf('v1', 'v1'), endpointsOf(undefined), endpointsOf()]) {
			const first = chooser.choose(service, endpoints, undefined, 0);
			expect(first.endpoints).to.equal(endpoints);
			expect(first.fallback).to.equal(undefined);
			expect(chooser.choose(service, endpoints, undefined, 5000)).to.equal(first);
		}
	});

	it('gives the target version its share of any run of calls, within one call', () => {
		for (const share of [0.03, 0.1, 0.25, 0.5, 0.999]) {
			const chooser = chooserWith();
			let targets = 0;
			for (let calls = 1; calls <= 500; calls += 1) {
				const {endpoints} = chooser.choose(service, mixed, stageOf({share}), calls);
				targets += versionsOf(endpoints)?.includes('v2') ? 1 : 0;
				expect(Math.abs(targets - share * calls), `${calls} calls`).to.be.at.most(1);
			}
		}
	});

	it('gives the target version its share over many entries with few calls each', () => {
		let targets = 0;
		for (let seed = 1; seed <= 1000; seed += 1) {
			const chooser = chooserWith(seed * 7919);
			for (let call = 0; call < 5; call += 1) {
				const {endpoints} = chooser.choose(service, mixed, stageOf(), call);
				targets += versionsOf(endpoints)?.includes('v2') ? 1 : 0;
			}
		}

		expect(targets).to.be.within(110, 190);
	});

	it('sends retries to the other versions before the last stage, and to the target in it', () => {
		const chooser = chooserWith();
		for (let call = 0; call < 100; call += 1) {
			const {endpoints, fallback = endpoints} = chooser.choose(service, mixed, stageOf(), call);
			expect(endpoints.length).to.be.above(0);
			expect(versionsOf(fallback)).to.deep.equal(['v1']);
		}

		const last = chooser.choose(service, mixed, stageOf({share: 1}), 0);
		expect(versionsOf(last.endpoints)).to.deep.equal(['v2']);
		expect(last.fallback).to.equal(undefined);
	});

	it('sends all calls to the others while no worker of the target version is ready', () => {
		const endpoints = endpointsOf('v1', 'v0');
		for (const share of [0.03, 1]) {
			const choice = chooserWith().choose(service, endpoints, stageOf({share}), 0);
			expect(versionsOf(choice.endpoints)).to.deep.equal(['v0', 'v1']);
		}
	});

	it('never gives the target version more than its share when no other worker is ready', () => {
		const chooser = chooserWith();
		const onlyTargets = endpointsOf('v2', 'v2');
		let targets = 0;
		for (let call = 0; call < 1000; call += 1) {
			targets += chooser.choose(service, onlyTargets, stageOf(), call).endpoints.length > 0 ? 1 : 0;
		}

		expect(targets).to.be.within(29, 31);
	});

	it('sends no calls to a version that was rolled back, also when no other worker is ready', () => {
		const stage = stageOf({state: 'rolled-back', share: 0});
		const chooser = chooserWith();
		expect(versionsOf(chooser.choose(service, mixed, stage, 0).endpoints)).to.deep.equal(['v1']);
		expect(chooser.choose(service, endpointsOf('v2'), stage, 0).endpoints).to.deep.equal([]);
	});

	it('sends no calls to the old versions after a completion, unless no other worker is ready', () => {
		const stage = stageOf({state: 'completed', share: 1});
		const chooser = chooserWith();
		expect(versionsOf(chooser.choose(service, mixed, stage, 0).endpoints)).to.deep.equal(['v2']);
		const old = endpointsOf('v1');
		expect(chooser.choose(service, old, stage, 0).endpoints).to.deep.equal(old);
	});

	it('holds a version back that appears without an order, for 3,000 ms', () => {
		const chooser = chooserWith();
		chooser.choose(service, endpointsOf('v1', 'v1'), undefined, 0);
		const appearsAt = 10_000;
		const choose = (now: number) =>
			versionsOf(chooser.choose(service, mixed, undefined, now).endpoints);
		expect(choose(appearsAt)).to.deep.equal(['v1']);
		expect(choose(appearsAt + 2999)).to.deep.equal(['v1']);
		expect(choose(appearsAt + 3000)).to.deep.equal(['v1', 'v2']);
	});

	it('uses a version that appears without an order at once when no other worker is ready', () => {
		const chooser = chooserWith();
		chooser.choose(service, endpointsOf('v1'), undefined, 0);
		const {endpoints} = chooser.choose(service, endpointsOf('v2'), undefined, 10_000);
		expect(versionsOf(endpoints)).to.deep.equal(['v2']);
	});

	it('holds a new version back also where more of its workers are ready than of the old one', () => {
		const chooser = chooserWith();
		chooser.choose(service, endpointsOf('v1'), undefined, 0);
		const endpoints = endpointsOf('v1', 'v2', 'v2', 'v2');
		const choice = chooser.choose(service, endpoints, undefined, 10_000);
		expect(versionsOf(choice.endpoints)).to.deep.equal(['v1']);
	});

	it('sends calls only to the most frequent version on a node that has just started', () => {
		const chooser = chooserWith();
		expect(versionsOf(chooser.choose(service, mixed, undefined, 0).endpoints)).to.deep.equal([
			'v1',
		]);
		const twoEach = endpointsOf('v2', 'v1');
		expect(versionsOf(chooser.choose('other', twoEach, undefined, 0).endpoints)).to.deep.equal([
			'v1',
		]);
	});
});

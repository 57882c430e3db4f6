import {expect} from 'chai';
import {Random} from 'redwingmill-shared';
import {type Route} from 'redwingmill-text';
import {SplitChooser} from '../../call/split-chooser.js';

const calls = 200;

function routeWith(weights: readonly number[]): Route {
	return {
		path: '/pages/',
		service: 'service 0',
		split: weights.map((weight, index) => ({service: `service ${index}`, weight})),
		methods: [],
		idempotent: [],
		rank: 0,
		deadlineMs: 1000,
		retryShare: 0,
	};
}

function sharesOf(chooser: SplitChooser, route: Route): Map<string, number> {
	const counts = new Map<string, number>();
	for (let call = 0; call < calls; call++) {
		const service = chooser.choose(route);
		counts.set(service, (counts.get(service) ?? 0) + 1);
	}

	return counts;
}

describe('SplitChooser', () => {
	it('keeps each destination within one call of its weighted share', () => {
		const counts = sharesOf(new SplitChooser(new Random(1)), routeWith([90, 10]));
		expect(counts.get('service 0')).to.be.within(179, 181);
		expect(counts.get('service 1')).to.be.within(19, 21);
	});

	it('follows the weights across the first calls of many nodes', () => {
		const firsts = Array.from({length: 400}, (_, seed) =>
			new SplitChooser(new Random(seed)).choose(routeWith([50, 50])),
		);
		const share = firsts.filter((service) => service === 'service 0').length / firsts.length;
		expect(share).to.be.within(0.4, 0.6);
	});

	it('follows unequal weights across many nodes that receive few calls each', () => {
		const route = routeWith([75, 25]);
		const choices = Array.from({length: 400}, (_, seed) => {
			const chooser = new SplitChooser(new Random(seed));
			return [chooser.choose(route), chooser.choose(route)];
		}).flat();
		const share = choices.filter((service) => service === 'service 0').length / choices.length;
		expect(share).to.be.within(0.7, 0.8);
	});

	it('never chooses a destination with weight 0', () => {
		const counts = sharesOf(new SplitChooser(new Random(2)), routeWith([1, 0]));
		expect(counts.get('service 0')).to.equal(calls);
	});

	it('follows changed weights from the next call on', () => {
		const chooser = new SplitChooser(new Random(3));
		sharesOf(chooser, routeWith([90, 10]));
		const counts = sharesOf(chooser, routeWith([10, 90]));
		expect(counts.get('service 1')).to.be.within(179, 181);
	});

	it('chooses the only service of a route without a split', () => {
		const route = {...routeWith([1]), split: undefined};
		expect(new SplitChooser(new Random(4)).choose(route)).to.equal('service 0');
	});
});

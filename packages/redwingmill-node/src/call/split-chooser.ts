import {type Random} from 'redwingmill-shared';
import {type Destination, type Route} from 'redwingmill-text';

/** Steps of a round that a node may begin after; rounds of weights in per cent are no longer. */
const startPointCount = 100;

/** How far each destination of one route is behind its share. */
type Credits = {
	readonly split: readonly Destination[];
	readonly credits: number[];
};

/**
 * Distributes the calls of a route over its destinations in proportion to their weights. Smooth
 * weighted round-robin: after any number of calls each destination is within one call of its share.
 */
export class SplitChooser {
	readonly #random: Random;
	readonly #routes = new Map<string, Credits>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Forgets routes that are gone. */
	retain(routes: readonly Route[]): void {
		if (this.#routes.size === 0) {
			return;
		}

		const keys = new Set(routes.map((route) => keyOf(route)));
		for (const key of this.#routes.keys()) {
			if (!keys.has(key)) {
				this.#routes.delete(key);
			}
		}
	}

	/** Service for the next call of the route. */
	choose(route: Route): string {
		const {split, service} = route;
		if (split === undefined) {
			return service;
		}

		return split[advance(this.#creditsOf(route, split), split)].service;
	}

	/**
	 * Nodes begin at different points of the round, so that together they keep to the weights from the
	 * start, also when new weights come before a node has had many calls.
	 */
	#creditsOf(route: Route, split: readonly Destination[]): number[] {
		const key = keyOf(route);
		const known = this.#routes.get(key);
		if (known && isSameSplit(known.split, split)) {
			return known.credits;
		}

		const credits = split.map(() => 0);
		for (let step = this.#random.below(startPointCount); step > 0; step--) {
			advance(credits, split);
		}

		this.#routes.set(key, {split, credits});
		return credits;
	}
}

/** Takes one step of the round. Returns the index of the destination whose turn it is. */
function advance(credits: number[], split: readonly Destination[]): number {
	const total = split.reduce((sum, {weight}) => sum + weight, 0);
	for (const [index, {weight}] of split.entries()) {
		credits[index] += weight;
	}

	const best = credits.indexOf(Math.max(...credits));
	credits[best] -= total;
	return best;
}

function isSameSplit(a: readonly Destination[], b: readonly Destination[]): boolean {
	return (
		a.length === b.length &&
		a.every(
			({service, weight}, index) => service === b[index].service && weight === b[index].weight,
		)
	);
}

function keyOf({host = '', path, methods}: Route): string {
	return [host, path, ...methods].join(' ');
}

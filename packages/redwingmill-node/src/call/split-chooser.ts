import {type Random} from 'redwingmill-shared';
import {type Destination, type Route} from 'redwingmill-text';

/** Points of a round at which a node may start; with weights in per cent a round has no more steps. */
const startPointCount = 100;

/** Round-robin state of one route: how far each destination is behind its share. */
type RoundRobinState = {
	readonly split: readonly Destination[];
	readonly credits: number[];
};

/**
 * Distributes the calls of a route over its destinations in proportion to their weights, by smooth
 * weighted round-robin: after any number of calls each destination is within one call of its share.
 */
export class SplitChooser {
	readonly #random: Random;
	readonly #statesByRoute = new Map<string, RoundRobinState>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Discards the state of all other routes. */
	retain(routes: readonly Route[]): void {
		if (this.#statesByRoute.size === 0) {
			return;
		}

		const keys = new Set(routes.map((route) => keyOf(route)));
		for (const key of this.#statesByRoute.keys()) {
			if (!keys.has(key)) {
				this.#statesByRoute.delete(key);
			}
		}
	}

	/** Returns the service for the next call of the route. */
	choose(route: Route): string {
		const {split, service} = route;
		if (split === undefined) {
			return service;
		}

		return split[advance(this.#creditsOf(route, split), split)].service;
	}

	/**
	 * Returns the credits of a route. Each node starts at a random point of the round, so that the nodes
	 * together follow the weights from the first call on, even when the weights change before each has
	 * received many calls.
	 */
	#creditsOf(route: Route, split: readonly Destination[]): number[] {
		const key = keyOf(route);
		const existing = this.#statesByRoute.get(key);
		if (existing && isSameSplit(existing.split, split)) {
			return existing.credits;
		}

		const credits = split.map(() => 0);
		for (let step = this.#random.below(startPointCount); step > 0; step--) {
			advance(credits, split);
		}

		this.#statesByRoute.set(key, {split, credits});
		return credits;
	}
}

/** Advances the round by one step. Returns the index of the destination whose turn it is. */
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

import {isRoutable, type Blackboard, type Version} from 'redwingmill-core';
import {digestOf} from 'redwingmill-shared';

/** A broken promise, with where and what. */
export type Violation = {
	readonly node: string;
	readonly rule: string;
	readonly detail: string;
};

/** Checks the promises of the control plane after every event of every node. */
export class InvariantChecker {
	readonly violations: Violation[] = [];
	readonly #accepted = new Map<number, string>();
	readonly #newestHeld = new Map<string, number>();

	/** Records what the platform accepted; the pointer may only grow. */
	recordAcceptance(version: Version): void {
		const newest = Math.max(0, ...this.#accepted.keys());
		if (version.number <= newest) {
			this.#addViolation('platform', 'acceptance only grows', `${version.number} after ${newest}`);
		}

		this.#accepted.set(version.number, version.digest);
	}

	check(address: string, board: Blackboard): void {
		this.#checkVersion(address, board);
		this.#checkRoutes(address, board);
	}

	#checkVersion(address: string, {configuration, serving}: Blackboard): void {
		const {held} = configuration;
		if (held === undefined) {
			return;
		}

		const {number, digest} = held.version;
		if (this.#accepted.get(number) !== digest) {
			this.#addViolation(address, 'only accepted versions are in force', `version ${number}`);
		}

		if (digestOf(held.text) !== digest) {
			this.#addViolation(address, 'a version is in force whole', `version ${number}`);
		}

		// A node that has restarted but takes no calls yet has nothing in force.
		const newest = this.#newestHeld.get(address) ?? 0;
		const isInForce = serving.state !== 'starting';
		if (isInForce && number < newest) {
			this.#addViolation(address, 'no version goes back', `${number} after ${newest}`);
		}

		if (isInForce) {
			this.#newestHeld.set(address, Math.max(newest, number));
		}
	}

	#checkRoutes(address: string, {configuration, routing, roster}: Blackboard): void {
		if (routing.version !== (configuration.held?.version.number ?? 0)) {
			this.#addViolation(address, 'routes are those of the version in force', `${routing.version}`);
		}

		const services = new Set(configuration.held?.configuration.services.map(({name}) => name));
		for (const state of routing.routes) {
			const {service, path} = state.route;
			const endpoints = routing.endpoints.get(service) ?? [];
			if (!services.has(service)) {
				this.#addViolation(address, 'routes point at services that exist', path);
			}

			if (state.type === 'active' && endpoints.length === 0) {
				this.#addViolation(address, 'active routes have endpoints', path);
			}

			for (const endpoint of endpoints) {
				const record = roster.roster.get(endpoint.dataCentre)?.get(endpoint.node);
				const isKnown =
					record !== undefined && isRoutable(record) && record.worker?.service === service;
				if (!isKnown) {
					this.#addViolation(address, 'routes point at endpoints the node has', endpoint.node);
				}
			}
		}
	}

	#addViolation(node: string, rule: string, detail: string): void {
		this.violations.push({node, rule, detail});
	}
}

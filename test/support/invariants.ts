import {isRoutable, type Blackboard, type Version} from 'redwingmill-core';
import {digestOf} from 'redwingmill-shared';

/** A violated invariant: the node, the invariant and the values seen. */
export type Violation = {
	readonly node: string;
	readonly invariant: string;
	readonly detail: string;
};

/** Checks the invariants of the control plane after every event of every node. */
export class InvariantChecker {
	readonly violations: Violation[] = [];
	readonly #accepted = new Map<number, string>();
	readonly #newestHeld = new Map<string, number>();

	/** Records a version that the platform accepted; version numbers must increase. */
	recordAcceptance(version: Version): void {
		const newest = Math.max(0, ...this.#accepted.keys());
		if (version.number <= newest) {
			this.#addViolation(
				'platform',
				'accepted version numbers increase',
				`${version.number} after ${newest}`,
			);
		}

		this.#accepted.set(version.number, version.digest);
	}

	check(address: string, blackboard: Blackboard): void {
		this.#checkVersion(address, blackboard);
		this.#checkRoutes(address, blackboard);
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
			this.#addViolation(
				address,
				'the text in force matches the digest of its version',
				`version ${number}`,
			);
		}

		// A restarted node that accepts no calls yet has nothing in force, so it may hold an older version.
		const newest = this.#newestHeld.get(address) ?? 0;
		const isInForce = serving.state !== 'starting';
		if (isInForce && number < newest) {
			this.#addViolation(
				address,
				'the version in force never decreases',
				`${number} after ${newest}`,
			);
		}

		if (isInForce) {
			this.#newestHeld.set(address, Math.max(newest, number));
		}
	}

	#checkRoutes(address: string, {configuration, routing, roster}: Blackboard): void {
		if (routing.version !== (configuration.held?.version.number ?? 0)) {
			this.#addViolation(address, 'routes belong to the version in force', `${routing.version}`);
		}

		const services = new Set(configuration.held?.configuration.services.map(({name}) => name));
		for (const state of routing.routes) {
			const {service, path} = state.route;
			const endpoints = routing.endpoints.get(service) ?? [];
			if (!services.has(service)) {
				this.#addViolation(address, 'routes lead to services of the configuration', path);
			}

			if (state.type === 'active' && endpoints.length === 0) {
				this.#addViolation(address, 'active routes have endpoints', path);
			}

			for (const endpoint of endpoints) {
				const record = roster.roster.get(endpoint.dataCentre)?.get(endpoint.node);
				const isInRoster =
					record !== undefined && isRoutable(record) && record.worker?.service === service;
				if (!isInRoster) {
					this.#addViolation(
						address,
						'endpoints of a route have a routable record in the roster',
						endpoint.node,
					);
				}
			}
		}
	}

	#addViolation(node: string, invariant: string, detail: string): void {
		this.violations.push({node, invariant, detail});
	}
}

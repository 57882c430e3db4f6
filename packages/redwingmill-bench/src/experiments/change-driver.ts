import {PlatformClient} from 'redwingmill-platform';
import {applyText} from 'redwingmill-ctl';
import {type Host, type Mesh} from '../mesh/mesh.js';
import {benchText} from './bench-text.js';

/** Applies configuration changes and measures from the nodes' logs how soon they are in force. */
export class ChangeDriver {
	readonly #mesh: Mesh;
	readonly #client: PlatformClient;
	readonly #routes: number;
	#changes = 0;

	/** @param routes - number of routes in the configuration text, which determines its size. */
	constructor(mesh: Mesh, routes: number) {
		this.#mesh = mesh;
		this.#client = new PlatformClient(mesh.platform);
		this.#routes = routes;
	}

	/** Number of the last version written. */
	get version(): number {
		return this.#changes;
	}

	get textBytes(): number {
		return benchText(this.#routes, 1000).length;
	}

	/** Writes a change; returns the milliseconds until the last of `hosts` has it in force. */
	async change(hosts: readonly Host[] = this.#mesh.hosts): Promise<number> {
		const startedAt = Date.now();
		const text = benchText(this.#routes, 1000 + this.#changes);
		const {number} = await applyText(this.#client, {text, author: 'bench'});
		this.#changes = number;
		await this.#mesh.waitForVersion(number, hosts);
		return (this.#mesh.versions.lastActivationOf(number) ?? Date.now()) - startedAt;
	}

	async close(): Promise<void> {
		await this.#client.close();
	}
}

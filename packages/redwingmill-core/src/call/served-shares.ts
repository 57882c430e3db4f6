/** Calls of a workspace; halved from time to time, so that the latest count most. */
type Counts = {
	asked: number;
	served: number;
};

/** Calls after which the counts are halved, and how many more for each workspace. */
const windowCalls = 512;
const windowCallsPerWorkspace = 8;
/** Counts of a workspace below which it is forgotten. */
const minimumAsked = 0.5;
/** Calls below which the share of a workspace says little. */
const significantAsked = 4;
/**
 * Workspaces that are served less than this share of the whole are preferred. The bound is a half; the
 * margin covers the time until a preferred call is counted.
 */
const preferredShare = 0.55;

/** Counts how often the workspaces of one rank are served, to keep each above half of the whole. */
export class ServedShares {
	readonly #counts = new Map<string, Counts>();
	#asked = 0;
	#served = 0;

	/** Records that a call of a workspace arrived, whether or not it is admitted. */
	onAsked(workspace: string): void {
		this.#countsOf(workspace).asked += 1;
		this.#asked += 1;
		if (this.#asked >= windowCalls + windowCallsPerWorkspace * this.#counts.size) {
			this.#halve();
		}
	}

	/** Records that a call of a workspace is sent to the worker. */
	onServed(workspace: string): void {
		this.#countsOf(workspace).served += 1;
		this.#served += 1;
	}

	/** Whether a workspace is served so much less often than the whole that its calls come first. */
	isUnderserved(workspace: string): boolean {
		const counts = this.#counts.get(workspace);
		return (
			counts !== undefined &&
			counts.asked >= significantAsked &&
			counts.served * this.#asked < preferredShare * counts.asked * this.#served
		);
	}

	/** Returns the share of the calls served that are a workspace's, at most 1; 1 while little is known. */
	shareOf(workspace: string): number {
		const {asked = 0, served = 0} = this.#counts.get(workspace) ?? {};
		return asked >= significantAsked && served > 0 ? served / this.#served : 1;
	}

	#countsOf(workspace: string): Counts {
		const known = this.#counts.get(workspace);
		if (known) {
			return known;
		}

		const counts = {asked: 0, served: 0};
		this.#counts.set(workspace, counts);
		return counts;
	}

	#halve(): void {
		this.#asked = 0;
		this.#served = 0;
		for (const [workspace, counts] of this.#counts) {
			counts.asked /= 2;
			counts.served /= 2;
			if (counts.asked < minimumAsked) {
				this.#counts.delete(workspace);
			} else {
				this.#asked += counts.asked;
				this.#served += counts.served;
			}
		}
	}
}

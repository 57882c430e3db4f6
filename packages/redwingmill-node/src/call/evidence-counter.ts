import {
	RunTally,
	workerIdentityOf,
	type GateIdentity,
	type RolloutOrder,
	type Worker,
	type WorkerEvidence,
} from 'redwingmill-core';

/** What is counted: the runs of one worker since one order. */
type Counting = {
	readonly order: RolloutOrder;
	readonly worker: string;
	readonly tally: RunTally;
	dispatched: number;
};

/** Counts the runs of the local worker while a rollout of its service is in progress. */
export class EvidenceCounter {
	readonly #identity: GateIdentity;
	#worker: Worker | undefined;
	#counting: Counting | undefined;
	/** Until when the worker is still slow from its start, in monotonic milliseconds. */
	#coldUntil = Number.NEGATIVE_INFINITY;

	constructor(identity: GateIdentity) {
		this.#identity = identity;
	}

	setWorker(worker: Worker): void {
		this.#worker = worker;
		if (workerIdentityOf(worker) !== this.#counting?.worker) {
			this.#counting = undefined;
		}
	}

	/** Leaves out the runs that begin before this time in monotonic milliseconds. */
	setColdUntil(coldUntil: number): void {
		this.#coldUntil = coldUntil;
	}

	/**
	 * Starts to count with a new order or another worker, and stops without an order.
	 *
	 * @param order - of the running rollout of the worker's service; undefined if there is none.
	 */
	follow(order: RolloutOrder | undefined): void {
		const worker = this.#worker && workerIdentityOf(this.#worker);
		if (order === undefined || worker === undefined) {
			this.#counting = undefined;
			return;
		}

		const {order: current, worker: counted} = this.#counting ?? {};
		const isSame =
			counted === worker &&
			current?.targetVersion === order.targetVersion &&
			current.revision === order.revision;
		if (!isSame) {
			this.#counting = {order, worker, tally: new RunTally(), dispatched: 0};
		}
	}

	onDispatch(): void {
		if (this.#counting) {
			this.#counting.dispatched += 1;
		}
	}

	/**
	 * Counts a run that ended for no cause outside of the worker.
	 *
	 * @param sentAt - when the call was sent, in monotonic milliseconds.
	 */
	onRun(group: string, sentAt: number, now: number, isFailure: boolean): void {
		if (this.#counting && sentAt >= this.#coldUntil) {
			this.#counting.tally.record({group, ranMs: now - sentAt, isFailure});
		}
	}

	/**
	 * Returns what has been counted; undefined if nothing is counted.
	 *
	 * @param inProgress - calls that the worker runs or that wait for it.
	 */
	evidence(inProgress: number): WorkerEvidence | undefined {
		if (this.#counting === undefined || this.#worker === undefined) {
			return undefined;
		}

		const {worker, tally, dispatched} = this.#counting;
		const {service, version = ''} = this.#worker;
		const {routes} = tally;
		return {...this.#identity, worker, service, version, inProgress, dispatched, routes};
	}
}

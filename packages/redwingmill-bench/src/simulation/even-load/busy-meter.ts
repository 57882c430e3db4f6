/** Calls at a replica. */
export type Occupancy = {
	readonly slots: number;
	readonly running: number;
	readonly waiting: number;
};

type Measured = {
	dataCentre: string;
	occupancy: Occupancy;
	busyMs: number;
	slotMs: number;
	changedAt: number;
};

type DataCentre = {queueing: number; free: number; changedAt: number};

/** Integrates how busy replicas are, and how long calls wait at one while another has a free slot. */
export class BusyMeter {
	readonly #replicas: Measured[] = [];
	readonly #dataCentres = new Map<string, DataCentre>();
	#besideFreeMs = 0;
	#replicaMs = 0;

	/** Adds a replica and returns its number. */
	add(dataCentre: string, slots: number, now: number): number {
		const occupancy = {slots, running: 0, waiting: 0};
		this.#replicas.push({dataCentre, occupancy, busyMs: 0, slotMs: 0, changedAt: now});
		this.#integrate(dataCentre, now).free += 1;
		return this.#replicas.length - 1;
	}

	/** Records the calls at a replica from now on. */
	record(index: number, running: number, waiting: number, now: number): void {
		const replica = this.#replicas[index];
		const before = replica.occupancy;
		if (before.running === running && before.waiting === waiting) {
			return;
		}

		this.#settle(replica, now);
		replica.occupancy = {...before, running, waiting};
		const dataCentre = this.#integrate(replica.dataCentre, now);
		dataCentre.queueing += Number(waiting > 0) - Number(before.waiting > 0);
		dataCentre.free += Number(isFree(replica.occupancy)) - Number(isFree(before));
	}

	/** Ends the measurement. */
	result(now: number): {busiestOverMean: number; queuesBesideFree: number} {
		for (const replica of this.#replicas) {
			this.#settle(replica, now);
			this.#integrate(replica.dataCentre, now);
			this.#replicaMs += replica.slotMs / replica.occupancy.slots;
		}

		const busyShares = this.#replicas.map(({busyMs, slotMs}) => busyMs / Math.max(1, slotMs));
		const mean = busyShares.reduce((sum, share) => sum + share, 0) / busyShares.length;
		return {
			busiestOverMean: Math.max(...busyShares) / mean,
			queuesBesideFree: this.#besideFreeMs / this.#replicaMs,
		};
	}

	#settle(replica: Measured, now: number): void {
		const elapsedMs = now - replica.changedAt;
		replica.busyMs += replica.occupancy.running * elapsedMs;
		replica.slotMs += replica.occupancy.slots * elapsedMs;
		replica.changedAt = now;
	}

	#integrate(name: string, now: number): DataCentre {
		const dataCentre = this.#dataCentres.get(name) ?? {queueing: 0, free: 0, changedAt: now};
		this.#dataCentres.set(name, dataCentre);
		this.#besideFreeMs +=
			dataCentre.free > 0 ? dataCentre.queueing * (now - dataCentre.changedAt) : 0;
		dataCentre.changedAt = now;
		return dataCentre;
	}
}

function isFree({slots, running, waiting}: Occupancy): boolean {
	return running < slots && waiting === 0;
}

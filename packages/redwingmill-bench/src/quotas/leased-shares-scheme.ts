import {toleratedExcess, type QuotaEntry, type QuotaIndex, type QuotaView} from 'redwingmill-core';
import {type Workspace} from 'redwingmill-text';
import {LocalBucket} from './local-bucket.js';
import {
	type Message,
	type Participant,
	type ParticipantOptions,
	type QuotaScheme,
} from './quota-scheme.js';

/** Part of each quota that is divided equally and needs no lease. */
const floorShare = 0.25;
const leaseMs = 2000;
/** Part of the tolerated excess that is added to the burst. */
const excessShare = 0.5;
const smoothing = 0.3;

type Demands = {readonly type: 'demands'; readonly perSecond: ReadonlyMap<number, number>};
type Leases = {readonly type: 'leases'; readonly shares: ReadonlyMap<number, number>};
type Reported = {readonly perSecond: ReadonlyMap<number, number>; readonly at: number};

/**
 * Model: each node has an equal floor, and the lowest address leases the rest of each quota to the nodes
 * in proportion to their demand.
 */
class LeasedShares implements Participant {
	readonly #options: ParticipantOptions;
	readonly #buckets = new Map<number, LocalBucket>();
	readonly #asked = new Map<number, number>();
	readonly #demand = new Map<number, number>();
	readonly #leases = new Map<number, {readonly share: number; readonly until: number}>();
	readonly #reported = new Map<string, Reported>();
	#index: QuotaIndex | undefined;
	#nodeCount = 1;

	constructor(options: ParticipantOptions) {
		this.#options = options;
	}

	get isReportUrgent(): boolean {
		return false;
	}

	update(index: QuotaIndex, {nodeCount}: QuotaView): void {
		this.#index = index;
		this.#nodeCount = nodeCount;
	}

	admit({name}: Workspace, now: number): boolean {
		const entry = this.#index?.byName.get(name);
		if (entry === undefined) {
			return false;
		}

		this.#asked.set(entry.id, (this.#asked.get(entry.id) ?? 0) + 1);
		return this.#bucketOf(entry, now).take(now);
	}

	report(): readonly Message[] {
		return [];
	}

	tick(now: number): readonly Message[] {
		const perSecond = new Map<number, number>();
		for (const {id} of this.#index?.byId.values() ?? []) {
			const rate = (this.#asked.get(id) ?? 0) * 10;
			const smoothed = (this.#demand.get(id) ?? 0) * (1 - smoothing) + rate * smoothing;
			this.#demand.set(id, smoothed);
			if (smoothed > 0.01) {
				perSecond.set(id, smoothed);
			}
		}

		this.#asked.clear();
		const demands: Demands = {type: 'demands', perSecond};
		const {owner, address} = this.#options;
		if (address !== owner) {
			return [{to: owner, datagram: demands}];
		}

		this.#reported.set(address, {perSecond, at: now});
		return this.#lease(now);
	}

	receive(from: string, datagram: unknown, now: number): readonly Message[] {
		const message = datagram as Demands | Leases;
		if (message.type === 'demands') {
			this.#reported.set(from, {perSecond: message.perSecond, at: now});
		} else {
			this.#apply(message, now);
		}

		return [];
	}

	#lease(now: number): readonly Message[] {
		const sums = new Map<number, number>();
		const recent = [...this.#reported].filter(([, {at}]) => now - at < leaseMs);
		for (const [, {perSecond}] of recent) {
			for (const [id, rate] of perSecond) {
				sums.set(id, (sums.get(id) ?? 0) + rate);
			}
		}

		const messages: Message[] = [];
		for (const [to, {perSecond}] of recent) {
			const shares = new Map(
				[...perSecond].map(([id, rate]) => [id, rate / (sums.get(id) ?? rate)] as const),
			);
			const leases: Leases = {type: 'leases', shares};
			if (to === this.#options.address) {
				this.#apply(leases, now);
			} else {
				messages.push({to, datagram: leases});
			}
		}

		return messages;
	}

	#apply({shares}: Leases, now: number): void {
		for (const [id, share] of shares) {
			this.#leases.set(id, {share, until: now + leaseMs});
		}
	}

	#bucketOf(entry: QuotaEntry, now: number): LocalBucket {
		const {quota, id} = entry;
		const lease = this.#leases.get(id);
		const leased = lease && now < lease.until ? lease.share * (1 - floorShare) : 0;
		const share = floorShare / this.#nodeCount + leased;
		const burst = quota.burst + excessShare * toleratedExcess(quota, this.#options.bounds);
		const capacity = Math.max(1, burst * share);
		const perSecond = quota.perSecond * share;
		const bucket =
			this.#buckets.get(id) ?? new LocalBucket({tokens: capacity, capacity, perSecond}, now);
		this.#buckets.set(id, bucket);
		bucket.refill(now);
		bucket.capacity = capacity;
		bucket.tokens = Math.min(bucket.tokens, capacity);
		bucket.perSecond = perSecond;
		return bucket;
	}
}

export const leasedSharesScheme: QuotaScheme = {
	name: 'leased shares',
	create: (options) => new LeasedShares(options),
};

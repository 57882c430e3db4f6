import {lateShare, shareHeldMs} from './quota-account.js';
import {type QuotaDemand, type QuotaDemandEntry} from './quota-message.js';

/** Silence after which a node or server counts as cut off. Both send a sign of life every 500 ms. */
export const cutOffAfterMs = 1000;
/** Time over which the rate of a data centre is extrapolated while its server sends no new entry. */
const extrapolationMs = 1000;
/** Servers send entries at least this often while calls are asked for. */
const entryIntervalMs = 1500;
const demandDecayMs = 2000;
/**
 * Parts of the quota above which the servers that hear each other take most of a silent one's share
 * after {@link shareHeldMs}. Above one half, so that two sides of a cut that know different parts don't
 * both do.
 */
const majority = 0.6;

/** Factor by which parts of silent data centres are counted higher, as each side knows the demand inexactly. */
const partMargin = 1.1;

/** What is known of the reach of the other servers. */
export type PeerReach = {
	/** Time since the last message of another server, in milliseconds. */
	readonly peerAge: (server: string) => number;
	/** Part of the quota that data centres may use from whose servers nothing has been heard. */
	readonly missingPart: number;
};

/** Demand in the own data centre. */
export type OwnDemand = {
	readonly perSecond: number;
	/** Factor by which it has just risen; the same is expected of the other data centres. */
	readonly rise: number;
	/** Added to the demand of each data centre, so that one with a first call has a part. */
	readonly least: number;
};

/** Parts of the quota, from 0 to 1. */
export type QuotaParts = {
	/** Part of this data centre. */
	readonly own: number;
	/** Sum of the parts of this data centre and those that are heard from. */
	readonly heard: number;
};

/** State of a workspace's bucket before calls are set aside. */
export type BucketState = {
	/** Time since calls were last set aside, in milliseconds. */
	readonly elapsedMs: number;
	readonly level: number;
	/** Rate of the quota. */
	readonly perSecond: number;
	readonly isOpen: boolean;
};

type PeerUse = {
	readonly incarnation: number;
	readonly sequence: number;
	readonly entry: QuotaDemandEntry;
	readonly at: number;
	/** Calls counted for the data centre since its last message, until the next one. */
	reserved: number;
	/** Part of the quota when the entry came, which the data centre keeps while it is silent. */
	readonly part: number;
	/** Whether part of the level is reserved for the data centre, as it is cut off. */
	isLevelReserved: boolean;
};

/** What a server knows of a workspace's calls in the other data centres, by their servers. */
export class PeerUses {
	readonly #uses = new Map<string, PeerUse>();

	/** Returns by how much the bucket's level changes; undefined for an old message. */
	record(
		server: string,
		{incarnation, sequence}: Pick<QuotaDemand, 'incarnation' | 'sequence'>,
		entry: QuotaDemandEntry,
		{own, reach, now}: {readonly own: OwnDemand; readonly reach: PeerReach; readonly now: number},
	): number | undefined {
		const known = this.#uses.get(server);
		const isSame = known?.incarnation === incarnation;
		if (known && (incarnation < known.incarnation || (isSame && sequence <= known.sequence))) {
			return undefined;
		}

		const use = {
			incarnation,
			sequence,
			entry,
			at: now,
			part: 0,
			reserved: 0,
			isLevelReserved: false,
		};
		this.#uses.set(server, use);
		const {own: ownPart} = this.parts(own, reach, now);
		const part = (ownPart * (entry.askedPerSecond + own.least)) / (own.perSecond + own.least);
		this.#uses.set(server, {...use, part});
		if (known === undefined || !isSame) {
			// What a server counted before it started again is unknown, so what was reserved stays used.
			return 0;
		}

		const counted = entry.epoch === known.entry.epoch ? known.entry.admitted : 0;
		return known.reserved - (entry.admitted - counted);
	}

	delete(server: string): void {
		this.#uses.delete(server);
	}

	/** Returns the calls a second that are asked for in the data centres that are heard from. */
	heardDemand(ageOf: PeerReach['peerAge'], now: number): number {
		let sum = 0;
		for (const [server, use] of this.#uses) {
			sum += ageOf(server) < cutOffAfterMs ? demandOf(use, now) : 0;
		}

		return sum;
	}

	/** Returns the parts of the quota by demand. */
	parts({perSecond, least}: OwnDemand, {peerAge, missingPart}: PeerReach, now: number): QuotaParts {
		const own = perSecond + least;
		let heard = own;
		let silentPart = missingPart;
		let latePart = 0;
		for (const [server, use] of this.#uses) {
			const ageMs = peerAge(server);
			if (ageMs < cutOffAfterMs) {
				heard += demandOf(use, now) + least;
			} else {
				silentPart += use.part * partMargin;
				latePart += ageMs > shareHeldMs ? use.part : 0;
			}
		}

		let heardPart = Math.max(0, 1 - silentPart);
		if (latePart > 0) {
			heardPart =
				heardPart < majority ? heardPart * lateShare : heardPart + latePart * (1 - lateShare);
		}

		return {own: (heardPart * own) / heard, heard: heardPart};
	}

	/** Returns the calls to set aside for the time that has elapsed, by which the level sinks. */
	reserve(
		{elapsedMs, level, perSecond, isOpen}: BucketState,
		own: OwnDemand,
		reach: PeerReach,
		now: number,
	): number {
		let sum = 0;
		const silentUses: PeerUse[] = [];
		for (const [server, use] of this.#uses) {
			if (reach.peerAge(server) < cutOffAfterMs) {
				const decay = Math.exp(-(now - use.at) / extrapolationMs);
				const {askedPerSecond, admittedPerSecond} = use.entry;
				// A workspace that has just opened again here is or will be open there, too.
				const used = isOpen ? Math.max(askedPerSecond, admittedPerSecond) : admittedPerSecond;
				const reserved = (used * decay * own.rise * elapsedMs) / 1000;
				use.reserved += reserved;
				sum += reserved;
			} else {
				silentUses.push(use);
			}
		}

		if (silentUses.length === 0) {
			return sum + (reach.missingPart * perSecond * elapsedMs) / 1000;
		}

		// The silent data centres may use all that this one and those that it hears may not.
		const {heard} = this.parts(own, reach, now);
		const each = (1 - heard) / silentUses.length;
		for (const use of silentUses) {
			const ofLevel = use.isLevelReserved ? 0 : Math.max(0, level - sum) * each;
			const reserved = ofLevel + (perSecond * each * elapsedMs) / 1000;
			use.isLevelReserved = true;
			use.reserved += reserved;
			sum += reserved;
		}

		return sum;
	}
}

/** Returns the demand of a data centre, which sinks when its server sends no more entries. */
function demandOf({entry, at}: PeerUse, now: number): number {
	const ageMs = Math.max(0, now - at - entryIntervalMs);
	return entry.askedPerSecond * Math.exp(-ageMs / demandDecayMs);
}

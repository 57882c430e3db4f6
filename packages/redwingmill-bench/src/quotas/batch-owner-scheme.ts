import {capacityOf, type QuotaEntry, type QuotaIndex, type QuotaView} from 'redwingmill-core';
import {type Workspace} from 'redwingmill-text';
import {LocalBucket} from './local-bucket.js';
import {
	type Message,
	type Participant,
	type ParticipantOptions,
	type QuotaScheme,
} from './quota-scheme.js';

/** Time for whose demand a batch lasts. */
const batchSeconds = 0.25;
const requestIntervalMs = 50;
/** Time after which a batch that isn't used is dropped, so that few calls add to a later window. */
const batchMs = 2000;

type Request = {readonly type: 'request'; readonly id: number; readonly calls: number};
type Batch = {readonly type: 'batch'; readonly id: number; readonly calls: number};
type Held = {
	tokens: number;
	until: number;
	requestedAt: number;
	perSecond: number;
	askedAt: number;
};

/** Model: one owner of each workspace has its bucket, and grants batches of calls to nodes that ask. */
class BatchOwner implements Participant {
	readonly #options: ParticipantOptions;
	readonly #held = new Map<number, Held>();
	/** Buckets of the workspaces that this node owns. */
	readonly #buckets = new Map<number, LocalBucket>();
	readonly #outbox: Message[] = [];
	#index: QuotaIndex | undefined;
	#nodes = 1;

	constructor(options: ParticipantOptions) {
		this.#options = options;
	}

	update(index: QuotaIndex, {nodeCount}: QuotaView): void {
		this.#index = index;
		this.#nodes = nodeCount;
	}

	admit({name}: Workspace, now: number): boolean {
		const entry = this.#index?.byName.get(name);
		if (entry === undefined) {
			return false;
		}

		const held = this.#heldOf(entry, now);
		const elapsedMs = Math.max(1, now - held.askedAt);
		const weight = Math.exp(-elapsedMs / 2000);
		held.perSecond = held.perSecond * weight + (1 - weight) * (1000 / elapsedMs);
		held.askedAt = now;
		if (now > held.until) {
			held.tokens = 0;
		}

		const isAdmitted = held.tokens >= 1;
		held.tokens -= isAdmitted ? 1 : 0;
		const batch = Math.max(1, Math.round(held.perSecond * batchSeconds));
		if (held.tokens < batch / 2 && now - held.requestedAt >= requestIntervalMs) {
			held.requestedAt = now;
			this.#request({type: 'request', id: entry.id, calls: batch}, now);
		}

		return isAdmitted;
	}

	report(): readonly Message[] {
		return this.#outbox.splice(0);
	}

	get isReportUrgent(): boolean {
		return this.#outbox.length > 0;
	}

	tick(): readonly Message[] {
		return this.#outbox.splice(0);
	}

	receive(from: string, datagram: unknown, now: number): readonly Message[] {
		const message = datagram as Request | Batch;
		if (message.type === 'batch') {
			this.#add(message, now);
			return [];
		}

		const calls = this.#grant(message, now);
		return calls > 0 ? [{to: from, datagram: {type: 'batch', id: message.id, calls}}] : [];
	}

	#request(request: Request, now: number): void {
		const owner = String(request.id % this.#nodes);
		if (owner === this.#options.address) {
			this.#add({type: 'batch', id: request.id, calls: this.#grant(request, now)}, now);
		} else {
			this.#outbox.push({to: owner, datagram: request});
		}
	}

	#grant({id, calls}: Request, now: number): number {
		const entry = this.#index?.byId.get(id);
		if (entry === undefined) {
			return 0;
		}

		const {quota} = entry;
		const capacity = capacityOf(quota, this.#options.bounds);
		// An owner that has just started doesn't know what was granted before.
		const bucket =
			this.#buckets.get(id) ??
			new LocalBucket({tokens: 0, capacity, perSecond: quota.perSecond}, now);
		this.#buckets.set(id, bucket);
		bucket.refill(now);
		bucket.capacity = capacity;
		bucket.perSecond = quota.perSecond;
		const granted = Math.floor(Math.max(0, Math.min(calls, bucket.tokens)));
		bucket.tokens -= granted;
		return granted;
	}

	#add({id, calls}: Batch, now: number): void {
		const held = this.#held.get(id);
		if (held) {
			held.tokens += calls;
			held.until = now + batchMs;
		}
	}

	#heldOf({id}: QuotaEntry, now: number): Held {
		const known = this.#held.get(id);
		if (known) {
			return known;
		}

		const held = {
			tokens: 0,
			until: now,
			requestedAt: -requestIntervalMs,
			perSecond: 0,
			askedAt: now,
		};
		this.#held.set(id, held);
		return held;
	}
}

export const batchOwnerScheme: QuotaScheme = {
	name: 'batches of an owner',
	create: (options) => new BatchOwner(options),
};

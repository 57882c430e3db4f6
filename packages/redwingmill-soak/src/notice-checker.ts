import {type SoakNotice} from './soak-fault.js';

/** Where a call began, and how long that host has been disrupted. */
export type CallOrigin = {
	readonly host: number;
	readonly incarnation: number;
	readonly sentAt: number;
	readonly disruptedUntil: number;
};

type Arrival = {readonly at: number; readonly isCounted: boolean};

/** What an instance has said of itself, and the calls that it got since. */
type NoticedInstance = {
	readonly notice: SoakNotice;
	readonly firstSaidAt: number;
	/** When each incarnation of each host passed on a response with the notice. */
	readonly toldAt: Map<string, number>;
	readonly arrivals: Arrival[];
};

const windowMs = 4000;
/** Time after a response was passed on from which its host is bound by a limit. */
const toldMs = 500;
/** Time from which an instance's limit is checked; also that in which a host recovers its contacts. */
const contactMs = 3000;
const drainMs = 2000;
const toleratedMultiple = 1.5;
const toleratedExtra = 5;

/** Checks that instances get no more than they said in their responses, counted at the instances. */
export class NoticeChecker {
	readonly #instances = new Map<string, NoticedInstance>();
	/** Instances by the calls whose responses carry their notice. */
	readonly #instanceOfCall = new Map<string, string>();

	/** Records that the response to a call says something of the instance that ran it. */
	onNotice(id: string, instance: string, notice: SoakNotice, now: number): void {
		this.#instanceOfCall.set(id, instance);
		const known = this.#instances.get(instance);
		if (known?.notice !== notice) {
			this.#instances.set(instance, {
				notice,
				firstSaidAt: now,
				toldAt: new Map(),
				arrivals: [],
			});
		}
	}

	/** Records that a caller got the response to a call. */
	onAnswered(id: string, origin: CallOrigin, now: number): void {
		const instance = this.#instanceOfCall.get(id);
		const known = instance === undefined ? undefined : this.#instances.get(instance);
		if (known && !known.toldAt.has(keyOf(origin))) {
			known.toldAt.set(keyOf(origin), now);
		}
	}

	/** Records that the instance says nothing more of a limit; what it gets isn't checked any more. */
	onEnd(instance: string): void {
		this.#instances.delete(instance);
	}

	/**
	 * Records that an instance got a call. Returns what is wrong with that, if anything.
	 *
	 * @param isHeldUp - whether the call may have been delayed at the instance's host.
	 */
	onRun(instance: string, origin: CallOrigin, isHeldUp: boolean, now: number): string | undefined {
		const known = this.#instances.get(instance);
		const toldAt = known?.toldAt.get(keyOf(origin));
		if (known === undefined || toldAt === undefined) {
			return undefined;
		}

		const isBound = !isHeldUp && now - origin.disruptedUntil >= contactMs;
		switch (known.notice.type) {
			case 'leaving': {
				const isExcused = origin.disruptedUntil >= toldAt;
				return !isHeldUp && !isExcused && origin.sentAt > toldAt + drainMs
					? `ran ${Math.round(origin.sentAt - toldAt)} ms after host ${origin.host} knew that ${instance} leaves`
					: undefined;
			}

			case 'limit': {
				known.arrivals.push({at: now, isCounted: isBound && now >= toldAt + toldMs});
				return this.#checkLimit(known, known.notice.perSecond, instance, now);
			}
		}
	}

	#checkLimit(
		{arrivals, firstSaidAt}: NoticedInstance,
		perSecond: number,
		instance: string,
		now: number,
	): string | undefined {
		const tolerated = toleratedMultiple * perSecond * (windowMs / 1000) + toleratedExtra;
		const count = arrivals.filter(({at, isCounted}) => isCounted && at > now - windowMs).length;
		return now >= firstSaidAt + contactMs && count > tolerated
			? `${instance} with a limit of ${perSecond} a second got ${count} calls in 4 s`
			: undefined;
	}
}

function keyOf({host, incarnation}: CallOrigin): string {
	return `${host}/${incarnation}`;
}

import {rankByRendezvous} from 'redwingmill-shared';
import {type Blackboard, type ObservedDataCentre} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {singletonName, type ConfigurationTextSpec} from '../model/platform-object.js';
import {isNewerVersion, isSameVersion, type Version} from '../model/version.js';

/** Whether the data centres have prepared a proposed version. */
type PreparationStatus =
	| {readonly type: 'pending'}
	| {readonly type: 'rejected'}
	| {
			readonly type: 'unanimous';
			readonly absent: readonly string[];
			readonly prepared: readonly string[];
	  };

/**
 * Accepts a proposed version by compare-and-swap once every responsive data centre has prepared
 * it. Any named relay may do so: the accepted version number only increases, and all relays would
 * write the same.
 */
export class AcceptanceController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		if (event.type === 'write-finished' && event.object.kind === 'Acceptance') {
			this.#onWritten(update, event.outcome.type === 'written', event.object.spec.version);
		}

		const {uplink} = update.pending.links;
		const {isCurrent, text} = update.pending.platform;
		const mayAccept = uplink.type === 'relay' && uplink.isNamed && isCurrent;
		if (mayAccept && text) {
			this.#acceptWhenPrepared(update, text.spec, context);
		}
	}

	#acceptWhenPrepared(update: Update, proposal: ConfigurationTextSpec, context: Context): void {
		const {acceptance, acceptanceAttempt} = update.pending.platform;
		const {version} = proposal;
		if (!isNewerVersion(version, acceptance?.spec.version)) {
			if (acceptanceAttempt.type === 'waiting') {
				update.set('platform', {acceptanceAttempt: {type: 'idle'}});
			}

			return;
		}

		if (acceptanceAttempt.type === 'writing') {
			return;
		}

		const preparation = preparationOf(update.pending, version, context);
		if (preparation.type !== 'unanimous') {
			return;
		}

		const isWaiting =
			acceptanceAttempt.type === 'waiting' && isSameVersion(acceptanceAttempt.version, version);
		const dueAt = isWaiting
			? acceptanceAttempt.dueAt
			: context.now + this.#writeDelayMs(update.pending, version, preparation.prepared, context);
		update.set('platform', {acceptanceAttempt: {type: 'waiting', version, dueAt}});
		if (context.now >= dueAt) {
			this.#write(update, proposal, preparation.absent);
		} else if (!isWaiting) {
			update.emit({type: 'request-tick', delayMs: dueAt - context.now});
		}
	}

	/**
	 * Returns 0 for the first data centre in rank and a jittered delay for the others, so that their
	 * writes seldom conflict.
	 */
	#writeDelayMs(
		board: Blackboard,
		version: Version,
		prepared: readonly string[],
		{random, limits}: Context,
	): number {
		const first = rankByRendezvous(`${version.number}`, prepared)[0];
		const isFirst = first === board.roster.self.dataCentre;
		const floorMs = limits.acceptanceJitterMs / 4;
		return isFirst ? 0 : floorMs + random.jitter(limits.acceptanceJitterMs);
	}

	#write(update: Update, {version, text}: ConfigurationTextSpec, absent: readonly string[]): void {
		update.set('platform', {
			acceptanceAttempt: {type: 'writing', version},
		});
		update.emit({
			type: 'write-object',
			object: {
				kind: 'Acceptance',
				name: singletonName,
				resourceVersion: update.pending.platform.acceptance?.resourceVersion ?? 0,
				spec: {version, text, absent},
			},
		});
		for (const dataCentre of absent) {
			update.emit({type: 'notify', notice: {type: 'data-centre-absent', dataCentre}});
		}
	}

	#onWritten(update: Update, isWritten: boolean, version: Version): void {
		update.set('platform', {acceptanceAttempt: {type: 'idle'}});
		const absent = update.pending.platform.acceptance?.spec.absent ?? [];
		if (isWritten) {
			update.emit({type: 'notify', notice: {type: 'version-accepted', version, absent}});
		} else {
			update.emit({type: 'count', counter: 'write-conflict'});
		}
	}
}

function preparationOf(
	board: Blackboard,
	version: Version,
	{now, limits}: Context,
): PreparationStatus {
	const absent: string[] = [];
	const prepared: string[] = [];
	for (const [name, observed] of board.platform.dataCentres) {
		const {spec} = observed.object;
		if (isSameVersion(spec.rejected?.version, version)) {
			return {type: 'rejected'};
		}

		if (isSameVersion(spec.prepared, version)) {
			prepared.push(name);
		} else if (isUnresponsive(observed, now, limits.dataCentreTimeoutMs)) {
			absent.push(name);
		} else {
			return {type: 'pending'};
		}
	}

	return prepared.length === 0 ? {type: 'pending'} : {type: 'unanimous', absent, prepared};
}

function isUnresponsive({changedAt}: ObservedDataCentre, now: number, timeoutMs: number): boolean {
	return now - changedAt > timeoutMs;
}

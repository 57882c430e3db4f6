import {type SuspicionReport} from '../call/crash-tracker.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type DirectoryLimits} from './directory-limits.js';
import {type DirectoryState} from './directory-state.js';
import {failed, isDue, scheduledAt, voided} from './store-request.js';
import {isSmallMesh, isWatcher} from './watchers.js';

/** The store keeps no more. */
const maximumKeptReports = 50;

/**
 * Keeps quarantined requests in the store, from which a node reads them once at its start: the other
 * nodes may all have started at the same time.
 */
export class CrashStoreController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		saveLostReports(update, context);
		switch (event.type) {
			case 'tick': {
				startDueRequests(update, context.now);
				break;
			}

			case 'request-quarantined': {
				const {unsaved} = update.pending.crashes;
				const {report} = event;
				update.set('crashes', {unsaved: new Map(unsaved).set(report.fingerprint, report)});
				break;
			}

			case 'crashes-read': {
				onRead(update, event.reports, context);
				break;
			}

			case 'crashes-saved': {
				onSaved(update, event, context);
				break;
			}

			default: {
				break;
			}
		}
	}
}

/**
 * Saves the reports again that the store has lost. Besides the nodes that saved them, the watchers do,
 * as a node that did may have gone.
 */
function saveLostReports(update: DirectoryUpdate, context: DirectoryContext): void {
	const {crashes, store, members} = update.pending;
	if (crashes.keptEra >= store.era || crashes.kept.size === 0) {
		return;
	}

	const {kept, unsaved} = crashes;
	update.set('crashes', {
		kept: new Map(),
		unsaved: new Map([...kept, ...unsaved]),
		saving: voided(members.peers.size, context),
	});
}

function startDueRequests(update: DirectoryUpdate, now: number): void {
	const {reading, saving, unsaved} = update.pending.crashes;
	if (isDue(reading, now)) {
		update.set('crashes', {reading: {...reading, isInProgress: true}});
		update.emit({type: 'read-crashes'});
	}

	if (unsaved.size > 0 && isDue(saving, now)) {
		update.set('crashes', {saving: {...saving, isInProgress: true}});
		update.emit({type: 'save-crashes', reports: [...unsaved.values()]});
	}
}

function onRead(
	update: DirectoryUpdate,
	reports: readonly SuspicionReport[] | undefined,
	context: DirectoryContext,
): void {
	const {reading} = update.pending.crashes;
	if (reports === undefined) {
		update.set('crashes', {reading: failed(reading, context)});
		return;
	}

	const {address} = update.pending.members.self;
	update.set('crashes', {reading: scheduledAt(Number.POSITIVE_INFINITY)});
	if (isKeeper(update.pending, context.limits)) {
		keep(update, reports, update.pending.store.era);
	}

	update.emit(...reports.map((report) => ({type: 'suspect', report, node: address}) as const));
}

function onSaved(
	update: DirectoryUpdate,
	{reports, hasSucceeded, era}: Extract<DirectoryEvent, {type: 'crashes-saved'}>,
	context: DirectoryContext,
): void {
	const {saving, unsaved} = update.pending.crashes;
	if (!hasSucceeded) {
		update.set('crashes', {saving: failed(saving, context)});
		return;
	}

	const remaining = [...unsaved].filter(([, report]) => !reports.includes(report));
	update.set('crashes', {unsaved: new Map(remaining), saving: scheduledAt(context.now)});
	keep(update, reports, era);
}

/** Remembers reports that the store keeps, until it loses them. */
function keep(update: DirectoryUpdate, reports: readonly SuspicionReport[], era: number): void {
	const {kept} = update.pending.crashes;
	const added = reports.map((report) => [report.fingerprint, report] as const);
	const keptReports = new Map([...kept, ...added].slice(-maximumKeptReports));
	update.set('crashes', {kept: keptReports, keptEra: era});
}

/** Whether this node saves again what it read from the store, if the store loses it. */
function isKeeper({members}: DirectoryState, limits: DirectoryLimits): boolean {
	return isSmallMesh(members, limits) || isWatcher(members, limits);
}

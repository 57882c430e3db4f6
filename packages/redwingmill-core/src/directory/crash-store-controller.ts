import {type SuspicionReport} from '../call/crash-tracker.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {failed, isDue, scheduledAt} from './store-request.js';

/**
 * Keeps quarantined requests in the store, from which a node reads them once at its start: the other
 * nodes may all have started at the same time.
 */
export class CrashStoreController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
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
				onSaved(update, event.reports, event.hasSucceeded, context);
				break;
			}

			default: {
				break;
			}
		}
	}
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
	update.emit(...reports.map((report) => ({type: 'suspect', report, node: address}) as const));
}

function onSaved(
	update: DirectoryUpdate,
	reports: readonly SuspicionReport[],
	hasSucceeded: boolean,
	context: DirectoryContext,
): void {
	const {saving, unsaved} = update.pending.crashes;
	if (!hasSucceeded) {
		update.set('crashes', {saving: failed(saving, context)});
		return;
	}

	const remaining = [...unsaved].filter(([, report]) => !reports.includes(report));
	update.set('crashes', {
		unsaved: new Map(remaining),
		saving: scheduledAt(context.now),
	});
}

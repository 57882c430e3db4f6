import {type Blackboard, type DataCentreObject} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Report} from '../model/message.js';
import {type DataCentreSpec} from '../model/platform-object.js';
import {liveRecords} from '../model/roster.js';
import {type Refusal} from '../model/snapshot.js';
import {isNewerVersion, isSameVersion, type Version} from '../model/version.js';
import {reportOf} from './report.js';

const maximumListedUnprepared = 5;
/**
 * Time before nodes that have not staged a new text are listed. Saves writes for nodes that stage
 * promptly, which operators need not know of.
 */
const unpreparedDelayMs = 1000;

type MemberReport = {
	readonly address: string;
	readonly report: Report;
};

/** On the named relay, keeps the data centre's object on the platform up to date. */
export class DataCentreObjectController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		if (event.type === 'write-finished' && event.object.kind === 'DataCentre') {
			this.#onWritten(update, event.outcome.type);
		}

		const {links, platform} = update.pending;
		const {uplink, dataCentreObject} = links;
		const isNamed = uplink.type === 'relay' && uplink.isNamed;
		if (!isNamed || dataCentreObject === undefined || platform.isWriting) {
			return;
		}

		const spec = nextSpec(update.pending, dataCentreObject.spec);
		const elapsedMs = context.now - platform.writtenAt;
		const isChanged =
			!isSameProgress(spec, dataCentreObject.spec) ||
			(context.now - platform.textObservedAt >= unpreparedDelayMs &&
				!isSameUnpreparedList(spec.unprepared, dataCentreObject.spec));
		const isDue =
			elapsedMs >= context.limits.dataCentreHeartbeatMs ||
			(isChanged && elapsedMs >= context.limits.writeIntervalMs);
		if (isDue && update.pending.serving.state !== 'stopping') {
			this.#write(update, {...dataCentreObject, spec}, context);
		} else if (isChanged) {
			const delayMs = Math.max(0, context.limits.writeIntervalMs - elapsedMs);
			update.emit({type: 'request-tick', delayMs});
		}
	}

	#write(update: Update, object: DataCentreObject, {now}: Context): void {
		const heartbeat = object.spec.heartbeat + 1;
		update.set('platform', {isWriting: true, writtenAt: now});
		update.emit({
			type: 'write-object',
			object: {...object, spec: {...object.spec, heartbeat}},
		});
	}

	#onWritten(update: Update, outcome: 'written' | 'conflict' | 'failed' | 'unknown'): void {
		update.set('platform', {isWriting: false});
		switch (outcome) {
			case 'written': {
				break;
			}

			case 'failed': {
				update.emit({type: 'count', counter: 'write-failed'});
				break;
			}

			case 'conflict':
			case 'unknown': {
				// Only a read of the object shows whether the write took effect or another relay took over.
				const counter = outcome === 'conflict' ? 'write-conflict' : 'write-unknown';
				update.emit({type: 'count', counter});
				if (update.pending.links.uplink.type === 'relay') {
					update.emit({type: 'read-data-centre'});
				}

				break;
			}
		}
	}
}

/** Returns the object's new content; fields without a newer value keep the previous one. */
function nextSpec(board: Blackboard, previous: DataCentreSpec): DataCentreSpec {
	const reports = memberReports(board);
	const target = board.platform.text?.spec.version;
	const isPrepared = target && reports.every(({report}) => hasPrepared(report, target));
	const held = board.configuration.held?.version;
	const isInForce = held && reports.every(({report}) => isSameVersion(report.held, held));
	const unprepared = target
		? reports.filter(({report}) => !hasPrepared(report, target)).map(({address}) => address)
		: [];
	return {
		...previous,
		prepared: isPrepared ? target : previous.prepared,
		inForce: isInForce && isNewerVersion(held, previous.inForce) ? held : previous.inForce,
		rejected: rejectionOf(reports, target) ?? previous.rejected,
		members: reports.length,
		unprepared: unprepared.slice(0, maximumListedUnprepared),
	};
}

/** Returns the last reports of the data centre's live nodes; empty for a node without a link. */
function memberReports(board: Blackboard): MemberReport[] {
	const {self, roster} = board.roster;
	const reports = new Map<string, Report>();
	for (const link of board.links.links.values()) {
		if (link.role === 'member' && link.address !== undefined) {
			reports.set(link.address, link.report);
		}
	}

	return liveRecords(roster, self.dataCentre).map(({address}) => ({
		address,
		report: address === self.address ? reportOf(board.configuration) : (reports.get(address) ?? {}),
	}));
}

function hasPrepared(report: Report, version: Version): boolean {
	return isSameVersion(report.staged, version) || isSameVersion(report.held, version);
}

function rejectionOf(
	reports: readonly MemberReport[],
	target: Version | undefined,
): Refusal | undefined {
	const refusing = reports.find(({report}) => isSameVersion(report.refused?.version, target));
	return refusing?.report.refused;
}

function isSameProgress(a: DataCentreSpec, b: DataCentreSpec): boolean {
	return (
		a.members === b.members &&
		isSameOrBothAbsent(a.prepared, b.prepared) &&
		isSameOrBothAbsent(a.inForce, b.inForce) &&
		isSameOrBothAbsent(a.rejected?.version, b.rejected?.version)
	);
}

function isSameUnpreparedList(unprepared: readonly string[], written: DataCentreSpec): boolean {
	return unprepared.join(' ') === written.unprepared.join(' ');
}

function isSameOrBothAbsent(a: Version | undefined, b: Version | undefined): boolean {
	return (a === undefined && b === undefined) || isSameVersion(a, b);
}

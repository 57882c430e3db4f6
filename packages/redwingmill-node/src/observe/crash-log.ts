import {type CrashNotice} from 'redwingmill-core';
import {type Log} from './log.js';
import {logEvents, type LogEvent} from './log-event.js';

const eventsByNotice: Readonly<Record<CrashNotice['type'], LogEvent>> = {
	'crash-attributed': logEvents.requestSuspected,
	'crash-not-attributed': logEvents.crashNotAttributed,
	'report-received': logEvents.crashReportReceived,
	'report-dropped': logEvents.crashReportDropped,
};

/** Logs a notice of the gate's crash tracker as a numbered event. */
export function logCrashNotice(log: Log, {type, ...fields}: CrashNotice): void {
	log.write(eventsByNotice[type], fields);
}

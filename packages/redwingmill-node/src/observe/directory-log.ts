import {type DirectoryNotice} from 'redwingmill-core';
import {type Log} from './log.js';
import {logEvents, type LogEvent} from './log-event.js';

const eventsByNotice: Readonly<Record<DirectoryNotice['type'], LogEvent>> = {
	'configuration-adopted': logEvents.configurationAdopted,
	'node-joined': logEvents.nodeJoined,
	'node-lapsed': logEvents.nodeLapsed,
	'node-returned': logEvents.nodeReturned,
	'node-left': logEvents.nodeLeft,
	'registry-reached': logEvents.registryReached,
	'registry-failed': logEvents.registryFailed,
	'identity-renewed': logEvents.identityRenewed,
	'directory-state': logEvents.servingChanged,
	'watch-changed': logEvents.watchChanged,
	'watch-renewed': logEvents.watchRenewed,
	'store-era-changed': logEvents.storeEraChanged,
	'rollout-stage': logEvents.rolloutStage,
	'rollout-refused': logEvents.rolloutRefused,
	'rollout-status-written': logEvents.rolloutStatusWritten,
	'rollout-verdicts-differ': logEvents.rolloutVerdictsDiffer,
	paused: logEvents.pauseDetected,
};

/** Logs a notice of the directory as a numbered event. */
export function logDirectoryNotice(log: Log, {type, ...fields}: DirectoryNotice): void {
	log.write(eventsByNotice[type], fields);
}

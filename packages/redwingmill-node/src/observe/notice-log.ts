import {type Notice} from 'redwingmill-core';
import {type Log} from './log.js';
import {logEvents} from './log-event.js';

/** Logs a notice of the control plane as a numbered event. */
export function logNotice(log: Log, notice: Notice): void {
	const {type, ...fields} = notice;
	switch (type) {
		case 'version-staged': {
			log.write(logEvents.versionStaged, fields);
			break;
		}

		case 'version-refused': {
			log.write(logEvents.versionRefused, fields);
			break;
		}

		case 'version-activated': {
			log.write(logEvents.versionActivated, fields);
			break;
		}

		case 'version-accepted': {
			log.write(logEvents.versionAccepted, fields);
			break;
		}

		case 'registered': {
			log.write(logEvents.registered, fields);
			break;
		}

		case 'relay-lost': {
			log.write(logEvents.relayLost, fields);
			break;
		}

		case 'relay-started': {
			log.write(logEvents.relayStarted, fields);
			break;
		}

		case 'relay-stopped': {
			log.write(logEvents.relayStopped, fields);
			break;
		}

		case 'member-lapsed': {
			// Named `lapsed` because the common field `node` holds the node that writes the line.
			log.write(logEvents.memberLapsed, {lapsed: notice.node});
			break;
		}

		case 'serving-changed': {
			log.write(logEvents.servingChanged, fields);
			break;
		}

		case 'pause-detected': {
			log.write(logEvents.pauseDetected, fields);
			break;
		}

		case 'platform-lost': {
			log.write(logEvents.platformLost);
			break;
		}

		case 'platform-current': {
			log.write(logEvents.platformCurrent);
			break;
		}

		case 'data-centre-absent': {
			log.write(logEvents.dataCentreAbsent, {absent: notice.dataCentre});
			break;
		}
	}
}

import {type NoticeChange, type Worker} from 'redwingmill-core';
import {type Log} from './log.js';
import {logEvents} from './log-event.js';

/** Writes what a worker says of itself in its responses. */
export function logNoticeChange(log: Log, change: NoticeChange, worker: Worker): void {
	const {service, instance, startedAt} = worker;
	switch (change.type) {
		case 'limit-changed': {
			const {previous, perSecond} = change;
			log.write(logEvents.workerLimitChanged, {service, instance, startedAt, previous, perSecond});
			break;
		}

		case 'limit-malformed': {
			log.write(logEvents.workerLimitMalformed, {service, instance, startedAt, text: change.text});
			break;
		}

		case 'load-malformed': {
			if (change.isFirst) {
				log.write(logEvents.workerLoadMalformed, {service, instance, startedAt, text: change.text});
			}

			break;
		}

		case 'leaving': {
			log.write(logEvents.workerLeaving, {service, instance, startedAt});
			break;
		}
	}
}

import {type ObservedDataCentre} from '../engine/blackboard.js';
import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type PlatformObject} from '../model/platform-object.js';

/** Stores the platform's objects as watched or written; ignores older versions of an object. */
export class PlatformController implements Controller {
	handle(update: Update, event: Event, {now}: Context): void {
		switch (event.type) {
			case 'object-observed': {
				update.set('platform', {currentAt: now});
				this.#storeIfNewer(update, event.object, now);
				break;
			}

			case 'watch-changed': {
				this.#onWatchChanged(update, event.isCurrent, now);
				break;
			}

			case 'write-finished': {
				if (event.outcome.type === 'written') {
					const {resourceVersion} = event.outcome;
					update.set('platform', {currentAt: now});
					this.#storeIfNewer(update, {...event.object, resourceVersion}, now);
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	#storeIfNewer(update: Update, object: PlatformObject, now: number): void {
		const {platform} = update.pending;
		switch (object.kind) {
			case 'ConfigurationText': {
				if (object.resourceVersion > (platform.text?.resourceVersion ?? 0)) {
					update.set('platform', {text: object, textObservedAt: now});
				}

				break;
			}

			case 'Acceptance': {
				if (object.resourceVersion > (platform.acceptance?.resourceVersion ?? 0)) {
					update.set('platform', {acceptance: object});
				}

				break;
			}

			case 'DataCentre': {
				const known = platform.dataCentres.get(object.name);
				if (object.resourceVersion > (known?.object.resourceVersion ?? 0)) {
					const entry: ObservedDataCentre = {object, changedAt: now};
					update.set('platform', {
						dataCentres: new Map([...platform.dataCentres, [object.name, entry]]),
					});
				}

				break;
			}
		}
	}

	#onWatchChanged(update: Update, isCurrent: boolean, now: number): void {
		const {platform} = update.pending;
		if (platform.isCurrent === isCurrent) {
			return;
		}

		update.set('platform', {isCurrent});
		update.emit({
			type: 'notify',
			notice: {type: isCurrent ? 'platform-current' : 'platform-lost'},
		});
		if (isCurrent) {
			// Restarts the time-outs of all data centres, whose heartbeats could not be observed while the
			// watch was lost.
			const dataCentres = [...platform.dataCentres].map(
				([name, {object}]) => [name, {object, changedAt: now}] as const,
			);
			update.set('platform', {currentAt: now, dataCentres: new Map(dataCentres)});
		}
	}
}

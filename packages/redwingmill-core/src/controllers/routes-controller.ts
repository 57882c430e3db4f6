import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {deriveRouting} from '../model/derive-routing.js';

/**
 * Derives the routing table from the version in force and the roster, in the same commit in which
 * they change.
 */
export class RoutesController implements Controller {
	handle(update: Update, _event: Event, _context: Context): void {
		const {configuration, roster} = update.pending;
		const previous = update.current;
		const isUnchanged =
			configuration.held === previous.configuration.held &&
			roster.roster === previous.roster.roster;
		if (isUnchanged || configuration.held === undefined) {
			return;
		}

		const {held, activatedServices} = configuration;
		const records = [...roster.roster.values()].flatMap((section) => [...section.values()]);
		const derived = deriveRouting(
			{version: held.version.number, configuration: held.configuration},
			records,
			activatedServices,
		);
		update.set('configuration', {activatedServices: derived.activated});
		update.set('routing', derived.routing);
	}
}

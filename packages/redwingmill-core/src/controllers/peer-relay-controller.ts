import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {rosterDigests} from '../model/roster.js';
import {
	changeLink,
	closeLink,
	hasFailedRecently,
	markLinkFailed,
	openLink,
} from './link-actions.js';
import {reportOf} from './report.js';

/** On the relay, maintains one link to the relay of every other data centre. */
export class PeerRelayController implements Controller {
	handle(update: Update, event: Event, context: Context): void {
		if (update.pending.links.uplink.type !== 'relay') {
			return;
		}

		switch (event.type) {
			case 'tick': {
				this.#openMissingLinks(update, context);
				break;
			}

			case 'link-opened': {
				this.#register(update, event.link);
				break;
			}

			case 'link-message': {
				const link = update.pending.links.links.get(event.link);
				if (link?.purpose === 'peer' && link.dataCentre === undefined) {
					this.#onRegistrationAnswer(update, event.link, event.message, context);
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	/** Opens missing links. Of two data centres, the one whose name sorts first opens the link. */
	#openMissingLinks(update: Update, context: Context): void {
		const localDataCentre = update.pending.roster.self.dataCentre;
		const linked = new Set<string | undefined>();
		for (const link of update.pending.links.links.values()) {
			linked.add(link.address);
		}

		for (const [name, {object}] of update.pending.platform.dataCentres) {
			const address = object.spec.relay;
			const isDue =
				localDataCentre < name &&
				!linked.has(address) &&
				!hasFailedRecently(update.pending.links, address, context.now);
			if (isDue) {
				openLink(update, context, address, 'peer');
			}
		}
	}

	#register(update: Update, id: number): void {
		const link = update.pending.links.links.get(id);
		if (link?.purpose !== 'peer') {
			return;
		}

		const {self, roster} = update.pending.roster;
		update.emit({
			type: 'send',
			links: [id],
			message: {
				type: 'register',
				role: 'relay',
				record: self,
				report: reportOf(update.pending.configuration),
				digests: rosterDigests(roster),
			},
		});
	}

	#onRegistrationAnswer(
		update: Update,
		id: number,
		message: Extract<Event, {type: 'link-message'}>['message'],
		context: Context,
	): void {
		switch (message.type) {
			case 'welcome': {
				changeLink(update, id, {
					role: 'relay',
					dataCentre: message.record.dataCentre,
					report: message.report,
				});
				break;
			}

			case 'redirect':
			case 'retry-after': {
				const link = update.pending.links.links.get(id);
				closeLink(update, id);
				if (link) {
					markLinkFailed(update, context, link);
				}

				break;
			}

			default: {
				break;
			}
		}
	}
}

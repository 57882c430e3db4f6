import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';
import {type Message} from '../model/message.js';
import {linkNumbersOf} from './link-actions.js';

type SuspectMessage = Extract<Message, {type: 'suspect'}>;

/** Distributes reports of requests suspected of crashing workers, or cleared of the suspicion. */
export class SuspectedRequestController implements Controller {
	handle(update: Update, event: Event, _context: Context): void {
		if (event.type === 'crash-reported') {
			const node = update.pending.roster.self.address;
			this.#distribute(update, {type: 'suspect', report: event.report, node}, true);
		} else if (event.type === 'link-message' && event.message.type === 'suspect') {
			update.emit(event.message);
			// A relay forwards only its members' reports to other relays, so none circulates endlessly.
			const role = update.pending.links.links.get(event.link)?.role;
			if (update.pending.links.uplink.type === 'relay') {
				this.#distribute(update, event.message, role === 'member');
			}
		}
	}

	#distribute(update: Update, message: SuspectMessage, isLocal: boolean): void {
		const {links} = update.pending;
		const {uplink} = links;
		const relays = isLocal ? linkNumbersOf(links, 'relay') : [];
		const members = uplink.type === 'relay' ? linkNumbersOf(links, 'member') : [];
		const targets = [...members, ...relays];
		if (targets.length > 0) {
			update.emit({type: 'send', links: targets, message});
		}
	}
}

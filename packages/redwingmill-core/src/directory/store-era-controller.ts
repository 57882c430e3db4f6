import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';

/** Learns of a newer era of the store, from the store itself or from another node. It never goes back. */
export class StoreEraController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, _context: DirectoryContext): void {
		const era = eraOf(event);
		const previous = update.pending.store.era;
		if (era <= previous) {
			return;
		}

		update.set('store', {era});
		if (previous > 0) {
			update.emit({type: 'notify', notice: {type: 'store-era-changed', era, previous}});
		}
	}
}

function eraOf(event: DirectoryEvent): number {
	switch (event.type) {
		case 'store-era':
		case 'record-written':
		case 'crashes-saved': {
			return event.era;
		}

		case 'datagram': {
			const {datagram} = event;
			return 'storeEra' in datagram ? datagram.storeEra : 0;
		}

		default: {
			return 0;
		}
	}
}

import {type Context, type Controller, type Update} from '../engine/controller.js';
import {type Event} from '../engine/event.js';

/**
 * Detects that this process was paused. The node then accepts no calls until it is in sync again or
 * counts as disconnected.
 */
export class PauseController implements Controller {
	handle(update: Update, _event: Event, {now, limits}: Context): void {
		const {serving} = update.pending;
		const gapMs = now - serving.lastEventAt;
		update.set('serving', {lastEventAt: now});
		if (gapMs <= limits.pauseThresholdMs) {
			return;
		}

		update.emit(
			{type: 'count', counter: 'pause-detected'},
			{type: 'notify', notice: {type: 'pause-detected', durationMs: gapMs}},
		);
		if (serving.state === 'serving' || serving.state === 'detached') {
			update.set('serving', {state: 'resyncing', since: now, relayReceivedAt: now});
		}
	}
}

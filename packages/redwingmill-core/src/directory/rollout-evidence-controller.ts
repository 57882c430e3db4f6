import {rolloutStates, type RouteRuns, type WorkerEvidence} from '../rollout/rollout.js';
import {
	type DirectoryContext,
	type DirectoryController,
	type DirectoryUpdate,
} from './directory-controller.js';
import {type DirectoryEvent} from './directory-event.js';
import {type SentEvidence} from './rollouts-section.js';

/** Keeps a datagram below 1,200 bytes, with the fields that don't belong to a route. */
const routeBytesPerDatagram = 900;
/** Bytes of a route's counts besides its path. */
const countBytes = 45;

/** Sends the evidence of the local gate to the node that decides, if that is another one. */
export class RolloutEvidenceController implements DirectoryController {
	handle(update: DirectoryUpdate, event: DirectoryEvent, context: DirectoryContext): void {
		if (event.type === 'evidence-counted') {
			sendEvidence(update, event.evidence, context);
		}
	}
}

function sendEvidence(
	update: DirectoryUpdate,
	evidence: WorkerEvidence,
	{now, limits}: DirectoryContext,
): void {
	const {rollouts, members} = update.pending;
	const held = rollouts.held.get(evidence.service);
	const to = held?.stage.decider ?? '';
	if (
		held === undefined ||
		held.isWithdrawn ||
		held.stage.state !== rolloutStates.running ||
		to === '' ||
		to === members.self.address
	) {
		return;
	}

	const {sent} = rollouts;
	const isContinued = sent?.to === to && isSameWorker(sent, evidence);
	const isWhole = !isContinued || now - sent.wholeSentAt >= limits.rolloutEvidenceRepeatMs;
	const routes = isWhole ? evidence.routes : changedRoutes(sent.evidence.routes, evidence.routes);
	const hasChanged =
		isWhole ||
		routes.length > 0 ||
		sent.evidence.dispatched !== evidence.dispatched ||
		sent.evidence.inProgress !== evidence.inProgress;
	if (!hasChanged) {
		return;
	}

	const {targetVersion, revision} = held.stage.order;
	for (const part of splitBySize(routes)) {
		const datagram = {
			type: 'rollout-evidence',
			targetVersion,
			revision,
			evidence: {...evidence, routes: part},
		} as const;
		update.emit({type: 'send', to, datagram});
	}

	const wholeSentAt = isWhole ? now : sent.wholeSentAt;
	update.set('rollouts', {sent: {to, evidence, wholeSentAt}});
}

function isSameWorker({evidence}: SentEvidence, {worker, version}: WorkerEvidence): boolean {
	return evidence.worker === worker && evidence.version === version;
}

function changedRoutes(
	previous: readonly RouteRuns[],
	current: readonly RouteRuns[],
): readonly RouteRuns[] {
	const runsByGroup = new Map(previous.map(({group, runs}) => [group, runs]));
	return current.filter(({group, runs}) => runsByGroup.get(group) !== runs);
}

/** Splits routes over datagrams; without routes there is one for the other fields. */
function splitBySize(routes: readonly RouteRuns[]): RouteRuns[][] {
	const parts: RouteRuns[][] = [[]];
	let bytes = 0;
	for (const runs of routes) {
		const added = runs.group.length + countBytes;
		if (bytes + added > routeBytesPerDatagram && bytes > 0) {
			parts.push([]);
			bytes = 0;
		}

		parts.at(-1)?.push(runs);
		bytes += added;
	}

	return parts;
}

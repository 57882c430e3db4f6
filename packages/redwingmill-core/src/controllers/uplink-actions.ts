import {backoffDelay} from 'redwingmill-shared';
import {type Blackboard, type DataCentreObject, type Uplink} from '../engine/blackboard.js';
import {type Context, type Update} from '../engine/controller.js';
import {rosterDigests} from '../model/roster.js';
import {closeLink, linkNumbersOf} from './link-actions.js';
import {reportOf} from './report.js';

/**
 * Changes the state of the uplink.
 *
 * @param now - current time; if given, a tick is requested for the time at which a search is due.
 */
export function setUplink(update: Update, uplink: Uplink, now?: number): void {
	update.set('links', {uplink});
	if (uplink.type === 'searching' && now !== undefined) {
		update.emit({type: 'request-tick', delayMs: Math.max(0, uplink.retryAt - now)});
	}
}

/** Schedules a search for the relay after a jittered backoff. */
export function scheduleSearch(
	update: Update,
	{now, random, limits}: Context,
	attempt: number,
): void {
	const delayMs = backoffDelay(limits.registrationBackoff, attempt, random);
	setUplink(update, {type: 'searching', attempt, retryAt: now + delayMs}, now);
}

/** Claims the relay role by a conditional write of the data centre's object. */
export function claimRelayRole(update: Update, attempt: number, context: Context): void {
	const {self} = update.pending.roster;
	const previous = update.pending.links.dataCentreObject;
	const {uplink} = update.pending.links;
	if (uplink.type !== 'relay') {
		setUplink(update, {type: 'claiming', attempt, startedAt: context.now});
	}

	update.emit({
		type: 'write-object',
		object: {
			kind: 'DataCentre',
			name: self.dataCentre,
			resourceVersion: previous?.resourceVersion ?? 0,
			spec: {
				members: 0,
				unprepared: [],
				...previous?.spec,
				relay: self.address,
				incarnation: self.incarnation,
				term: (previous?.spec.term ?? 0) + 1,
				heartbeat: 0,
			},
		},
	});
}

/**
 * Makes this node the relay.
 *
 * @param object - the platform's object that names this node; undefined while it can't be read.
 */
export function becomeRelay(
	update: Update,
	object: DataCentreObject | undefined,
	context: Context,
): void {
	const {uplink} = update.pending.links;
	const isNamed = object !== undefined;
	const wasNamed = uplink.type === 'relay' && uplink.isNamed;
	if (wasNamed) {
		return;
	}

	setUplink(update, {
		type: 'relay',
		isNamed,
		since: uplink.type === 'relay' ? uplink.since : context.now,
		probeAt: context.now + context.limits.relayProbeIntervalMs,
	});
	if (isNamed) {
		// The watch restarts, because a list from before the claim could show an older acceptance.
		update.set('platform', {isCurrent: false, isWriting: false, writtenAt: context.now});
		update.emit({type: 'watch', isOn: true});
	}

	update.emit({
		type: 'notify',
		notice: {type: 'relay-started', term: object?.spec.term ?? 0, isNamed},
	});
}

/** Gives up the relay role and redirects the members to the successor. */
export function stepDown(update: Update, successor: string, context: Context): void {
	const members = linkNumbersOf(update.pending.links, 'member');
	if (members.length > 0) {
		update.emit({
			type: 'send',
			links: members,
			message: {type: 'redirect', relay: successor},
		});
	}

	for (const id of update.pending.links.links.keys()) {
		closeLink(update, id);
	}

	update.set('links', {preferredRelay: successor});
	update.set('platform', {isCurrent: false, isWriting: false});
	update.emit(
		{type: 'watch', isOn: false},
		{type: 'notify', notice: {type: 'relay-stopped', successor}},
	);
	scheduleSearch(update, context, 0);
}

/** Returns whether an object names the current incarnation of this node as the relay. */
export function isNamedRelay(update: Update, object: DataCentreObject): boolean {
	const {self} = update.pending.roster;
	return object.spec.relay === self.address && object.spec.incarnation === self.incarnation;
}

/** Returns whether the named relay has restarted since it was named, which ends its role. */
export function hasNamedRelayRestarted(
	{roster}: Blackboard,
	{name, spec}: DataCentreObject,
): boolean {
	const record = roster.roster.get(name)?.get(spec.relay);
	return record !== undefined && record.incarnation > spec.incarnation;
}

/** Sends a registration as a member over a link. */
export function sendRegistration(update: Update, link: number): void {
	const {self, roster} = update.pending.roster;
	update.emit({
		type: 'send',
		links: [link],
		message: {
			type: 'register',
			role: 'member',
			record: self,
			report: reportOf(update.pending.configuration),
			digests: rosterDigests(roster),
		},
	});
}

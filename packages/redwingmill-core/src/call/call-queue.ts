import {type GateCall} from './gate-call.js';
import {RankQueue} from './rank-queue.js';
import {WorkspaceQueue, type WorkspacePlace} from './workspace-queue.js';

/** What the place of a call in the queue depends on. */
export type QueuedCall = Pick<GateCall, 'rank' | 'workspace'>;

/**
 * Calls that wait for a worker. They are ordered by the ranks of their routes, and once one of a workspace
 * has arrived, by workspaces too.
 */
export class CallQueue {
	readonly #costOf: (call: GateCall) => number;
	#byRank = new RankQueue<GateCall>();
	#byWorkspace: WorkspaceQueue<GateCall> | undefined;
	/** Due times of the calls that wait in `#byRank`, in case that they have to move. */
	#dueTimes = new WeakMap<GateCall, number>();

	/** @param costOf - expected run time of a call in milliseconds. */
	constructor(costOf: (call: GateCall) => number) {
		this.#costOf = costOf;
	}

	get size(): number {
		return this.#byWorkspace?.size ?? this.#byRank.size;
	}

	/** Whether a call of a workspace has arrived. */
	get hasWorkspaces(): boolean {
		return this.#byWorkspace !== undefined;
	}

	/** Whether a call of the most urgent rank waits. */
	get hasMostUrgent(): boolean {
		return this.#byWorkspace?.hasMostUrgent ?? this.#byRank.hasMostUrgent;
	}

	/** Whether no call has been more urgent than this one. */
	isMostUrgent(call: QueuedCall): boolean {
		return this.#byWorkspace
			? this.#byWorkspace.isMostUrgent(placeOf(call, 0))
			: call.rank <= (this.#byRank.mostUrgentRank ?? call.rank);
	}

	/** Begins anew with a worker process; calls that wait stay. */
	reset(): void {
		if (this.size === 0) {
			this.#byRank = new RankQueue();
			this.#byWorkspace = undefined;
		}
	}

	/** Returns the calls that precede a new one that is due at `dueAt`. */
	ahead(call: QueuedCall, dueAt: number): Iterable<GateCall> {
		return this.#byWorkspace
			? this.#byWorkspace.ahead(placeOf(call, dueAt))
			: this.#byRank.ahead(call.rank, dueAt);
	}

	/** Returns the share of the calls sent of its rank that are of a call's workspace; 1 for none. */
	shareOf(call: QueuedCall): number {
		return this.#byWorkspace?.shareOf(placeOf(call, 0)) ?? 1;
	}

	/** Returns the calls of ranks that are at least as urgent as that of a call. */
	upTo(call: QueuedCall): Iterable<GateCall> {
		return this.#byWorkspace
			? this.#byWorkspace.upTo(placeOf(call, 0))
			: this.#byRank.ahead(call.rank, Number.POSITIVE_INFINITY);
	}

	/** Returns all calls. */
	all(): Iterable<GateCall> {
		return this.upTo({rank: Number.POSITIVE_INFINITY});
	}

	/** Records that a call arrived, whether or not it is added. */
	onAsked(call: QueuedCall): void {
		if (call.workspace !== undefined) {
			this.#requireWorkspaces().onAsked(placeOf(call, 0));
		}
	}

	/** @param dueAt - sort key within the call's rank, in monotonic milliseconds. */
	add(call: GateCall, dueAt: number): void {
		if (call.workspace !== undefined || this.#byWorkspace) {
			this.#requireWorkspaces().add(call, placeOf(call, dueAt));
		} else {
			this.#dueTimes.set(call, dueAt);
			this.#byRank.add(call, call.rank, dueAt);
		}
	}

	/** Removes and returns the next call. */
	pick(): GateCall | undefined {
		return this.#byWorkspace
			? this.#byWorkspace.pick(({workspace}) => workspace?.name)
			: this.#byRank.pick();
	}

	/** Whether a call may be added: there is room, or its rank hasn't used up its reserved share. */
	hasRoom(call: QueuedCall, capacity: number): boolean {
		return this.#byWorkspace
			? this.#byWorkspace.hasRoom(placeOf(call, 0), capacity)
			: this.#byRank.hasRoom(call.rank, capacity);
	}

	/** Removes and returns a call to make room for another one; undefined when there is none. */
	displace(call: QueuedCall, capacity: number): GateCall | undefined {
		return this.#byWorkspace
			? this.#byWorkspace.displace(placeOf(call, 0), capacity)
			: this.#byRank.displace(call.rank, capacity);
	}

	/** Removes and returns every call for which `isSelected` holds. */
	removeWhere(isSelected: (call: GateCall) => boolean): GateCall[] {
		return this.#byWorkspace
			? this.#byWorkspace.removeWhere(isSelected)
			: this.#byRank.removeWhere(isSelected);
	}

	#requireWorkspaces(): WorkspaceQueue<GateCall> {
		if (this.#byWorkspace === undefined) {
			this.#byWorkspace = new WorkspaceQueue(this.#costOf);
			for (const call of this.#byRank.removeWhere(() => true)) {
				this.#byWorkspace.add(call, placeOf(call, this.#dueTimes.get(call) ?? call.deadlineAt));
			}

			this.#dueTimes = new WeakMap();
		}

		return this.#byWorkspace;
	}
}

/** A call without a workspace, such as one that a worker makes, has the rank of its route among workspaces too. */
function placeOf({rank, workspace}: QueuedCall, dueAt: number): WorkspacePlace {
	return workspace === undefined
		? {rank, routeRank: rank, dueAt}
		: {rank: workspace.rank, routeRank: rank, workspace: workspace.name, dueAt};
}

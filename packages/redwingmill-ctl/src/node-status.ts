import {request} from 'undici';
import {UnavailableError} from './errors.js';

/** The part of a node's `/status` response that `redwingmillctl` shows. */
export type NodeStatus = {
	readonly node: string;
	readonly serving: string;
	readonly versionInForce?: {readonly number: number; readonly digest: string};
	/** Absent on nodes of earlier versions. */
	readonly gate?: {
		readonly running: number;
		readonly waiting: number;
		/** Calls a second that the worker takes; absent while it states no limit. */
		readonly limitPerSecond?: number;
		/** Time until its limit allows a new call; below 0 while some are left. */
		readonly limitWaitMs?: number;
		readonly isWorkerLeaving: boolean;
	};
	/** Absent where operators order no rollouts. */
	readonly rollouts?: ReadonlyArray<{
		readonly service: string;
		readonly targetVersion: string;
		readonly state: string;
		readonly isWithdrawn: boolean;
		readonly share: number;
		readonly elapsedMs: number;
		readonly durationMs: number;
		/** Time since the state last changed. */
		readonly changedMsAgo: number;
		/** Control address of the node that decides. */
		readonly decider: string;
		readonly reason: string;
		/** Runs by version; empty on nodes other than the decider. */
		readonly evidence: ReadonlyArray<{
			readonly version: string;
			readonly workers: number;
			readonly runs: number;
			readonly failures: number;
			readonly meanMs: number;
		}>;
	}>;
	readonly routes: ReadonlyArray<{
		readonly path: string;
		readonly methods: readonly string[];
		readonly service: string;
		readonly state: 'active' | 'inactive';
		readonly reason?: {readonly type: string; readonly service: string};
		readonly endpoints: ReadonlyArray<{readonly node: string; readonly dataCentre: string}>;
	}>;
	readonly nodes: ReadonlyArray<{
		readonly address: string;
		readonly dataCentre: string;
		readonly status: string;
		readonly service?: string;
		readonly worker?: string;
		readonly slots?: number;
	}>;
};

const timeoutMs = 3000;

/** Reads a node's status from its operators' port. Throws {@link UnavailableError} if that fails. */
export async function readNodeStatus(address: string): Promise<NodeStatus> {
	try {
		const {body} = await request(`http://${address}/status`, {
			signal: AbortSignal.timeout(timeoutMs),
		});
		return (await body.json()) as NodeStatus;
	} catch (error) {
		throw new UnavailableError(`reading the status of the node at ${address} failed`, {
			cause: error,
		});
	}
}

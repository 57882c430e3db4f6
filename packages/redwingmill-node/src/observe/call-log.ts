import {type EntryCallRecord} from '../call/entry-exchange.js';
import {type GateCallRecord} from '../call/gate-service.js';
import {type ControlPlane} from '../control/control-plane.js';
import {type Log} from './log.js';
import {logEvents} from './log-event.js';

const loadDecimals = 2;

/** Writes a log line per call at its entry node, and per call at the gate of its worker. */
export class CallLog {
	readonly #log: Log;
	readonly #control: () => ControlPlane;
	readonly #requestIdHeader: string;

	constructor(log: Log, control: () => ControlPlane, requestIdHeader: string) {
		this.#log = log;
		this.#control = control;
		this.#requestIdHeader = requestIdHeader;
	}

	writeEntryCall({call, destination, answer, nodes, choices}: EntryCallRecord): void {
		const now = performance.now();
		const outcome = answer?.outcome;
		this.#log.writeCall(logEvents.callFinishedAtEntry, outcome?.type !== 'ran', () => ({
			request: call.requestId,
			path: call.route.path,
			workspace: call.workspace?.name,
			service: destination,
			version: this.#control().routing.version,
			nodes,
			choices: choices.length > 0 ? choices : undefined,
			outcome: outcome?.type ?? 'left',
			reason: outcome && outcome.type !== 'ran' ? outcome.reason : undefined,
			status: answer?.payload?.status,
			retryAfterMs: rounded(answer?.retryAfterMs),
			tookMs: rounded(now - call.startedAt),
			leftMs: rounded(call.deadlineAt - now),
		}));
	}

	writeGateCall(record: GateCallRecord): void {
		const {
			request,
			answer,
			instance,
			workerVersion,
			load,
			limitPerSecond,
			arrivedAt,
			dispatchedAt,
		} = record;
		const now = performance.now();
		const {outcome, retryAfterMs} = answer;
		this.#log.writeCall(logEvents.callFinishedAtGate, outcome.type !== 'ran', () => ({
			request: request.request.headers[this.#requestIdHeader],
			attempt: request.id,
			service: request.service,
			instance,
			workerVersion,
			rank: request.rank,
			workspace: request.workspace?.name,
			workspaceRank: request.workspace?.rank,
			outcome: outcome.type,
			reason: outcome.type === 'ran' ? undefined : outcome.reason,
			status: answer.payload?.status,
			retryAfterMs: rounded(retryAfterMs),
			callsPerSlot: Number(load.callsPerSlot.toFixed(loadDecimals)),
			usualRunMs: rounded(load.runMs),
			queueMs: rounded(load.waitMs),
			limitPerSecond,
			limitWaitMs: rounded(load.allowance?.waitMs),
			hostTime:
				load.hostTime === undefined ? undefined : Number(load.hostTime.toFixed(loadDecimals)),
			waitedMs: rounded((dispatchedAt ?? now) - arrivedAt),
			ranMs: dispatchedAt === undefined ? undefined : rounded(now - dispatchedAt),
			leftMs: rounded(request.deadlineAt - now),
		}));
	}
}

function rounded(ms: number | undefined): number | undefined {
	return ms === undefined ? undefined : Math.round(ms);
}

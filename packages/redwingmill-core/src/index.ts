export * from './engine/blackboard.js';
export {type Context, type Controller, type Update} from './engine/controller.js';
export {counters, type Counter} from './engine/counter.js';
export {createEngine} from './engine/create-engine.js';
export {type Effect} from './engine/effect.js';
export {
	controllerPriorities,
	Engine,
	type ControllerPriority,
	type EngineOptions,
	type Listener,
} from './engine/engine.js';
export {type Event, type ReadOutcome} from './engine/event.js';
export {defaultLimits, type Limits} from './engine/limits.js';
export {type Notice} from './engine/notice.js';
export {acceptsCalls} from './controllers/serving-controller.js';
export {linkRoles, type LinkRole, type Message, type Report} from './model/message.js';
export {
	includesDeparture,
	isRoutable,
	memberStatuses,
	workerStates,
	type Departure,
	type MemberStatus,
	type NodeRecord,
	type Worker,
	type WorkerState,
} from './model/node-record.js';
export {faultsOfRecord, faultsOfWorker} from './model/record-check.js';
export {type DataCentreSummary, type NodeStatus, type ReportedLoad} from './model/node-status.js';
export {applyMergePatch, mergePatchOf, type Json} from './model/merge-patch.js';
export * from './model/platform-object.js';
export {type Roster, type Section, type SectionDigest} from './model/roster.js';
export * from './model/routing-table.js';
export {type Refusal, type Snapshot} from './model/snapshot.js';
export {contentFor, textOf, type TextContent} from './model/text-content.js';
export {isNewerVersion, isSameVersion, type Version} from './model/version.js';
export {CallLedger, type Answer, type CallEntry, type LedgerBounds} from './call/call-ledger.js';
export {ReportedNotices, type KnownLimit, type ReportedNotice} from './call/reported-notices.js';
export {RefusedCalls} from './call/refused-calls.js';
export {FailureMeter} from './call/failure-meter.js';
export {GroupMeans} from './call/group-means.js';
export {RankQueue} from './call/rank-queue.js';
export {CallQueue, type QueuedCall} from './call/call-queue.js';
export {ConcurrencyLimit} from './call/concurrency-limit.js';
export {
	choicePolicies,
	choiceReasons,
	type ChoiceInputs,
	type ChoiceReason,
	type ChoiceOptions,
	type ChoiceStrategy,
	type StrategyFactory,
	type CallProfile,
	type ChoicePolicy,
} from './call/choice/choice-policy.js';
export {
	localOrEarliest,
	meanRunMsOf,
	relativeRunTimeOf,
	type Candidate,
} from './call/choice/earliest-answer.js';
export {forecastLoad} from './call/choice/load-forecast.js';
export {EndpointStates, type EndpointState} from './call/choice/endpoint-state.js';
export {expectedCompletionMs} from './call/expected-completion.js';
export {EndpointChooser} from './call/endpoint-chooser.js';
export * from './call/adaptive-throttle.js';
export * from './call/entry-call.js';
export * from './call/gate.js';
export type * from './call/gate-call.js';
export * from './call/gate-limits.js';
export {type Withdrawal} from './call/call-deduplicator.js';
export * from './call/outcome.js';
export {type WorkerLoad} from './call/worker-load.js';
export {WorkerAllowance, type Allowance} from './call/worker-allowance.js';
export * from './call/worker-notice.js';
export * from './call/worker-report.js';
export {LinkPacer} from './call/link-pacer.js';
export {LinkScheduler, type Transfer} from './call/link-scheduler.js';
export {type ResponseLink} from './call/bulk-forecast.js';
export type {NoticeChange} from './call/worker-notices.js';
export {allowanceOfNode, RetryBudget, type RetryAllowance} from './call/retry-budget.js';
export * from './quota/index.js';
export * from './rollout/rollout.js';
export {RolloutDecider, type DeciderStart} from './rollout/rollout-decider.js';
export {RolloutEvidence, type EvidenceSum} from './rollout/rollout-evidence.js';
export {RunTally, type EndedRun} from './rollout/run-tally.js';
export {planStages, type StagePlan} from './rollout/stage-plan.js';
export {VersionChooser, type VersionChoice} from './rollout/version-chooser.js';
export {matchRoute} from './call/route-matcher.js';
export {WorkspaceIndex, workspaceIndexOf, type Authorization} from './call/workspace-index.js';
export {type CrashCounts, type GateCrashes} from './call/crash-counts.js';
export {
	type CrashNotice,
	type CrashReport,
	type GateIdentity,
	type SuspicionReport,
} from './call/crash-tracker.js';
export {SuspectedRequests, type SuspicionLevel} from './call/suspected-requests.js';
export {mergeStoredCrashes, reportsOfStored, type StoredCrashes} from './call/stored-crashes.js';
export {formatTicket, parseTicket, type Ticket} from './call/ticket.js';
export {WorkerLease, type AnnouncementOrder, type Renewal} from './call/worker-lease.js';
export {confirmingPollMs, unconfirmedMs} from './directory/confirmation.js';
export {createDirectory, type Directory} from './directory/create-directory.js';
export {type CreateDecider, type Decider} from './directory/rollout-decisions.js';
export {
	rolloutViews,
	routingStageOf,
	type HeldRollout,
	type RolloutsSection,
	type RolloutView,
	type StoredRollout,
	type StoredStatus,
} from './directory/rollouts-section.js';
export {
	configurationBehindMs,
	initialDirectoryState,
	hasRecentSignOfLife,
	knownNodeCount,
	type DirectoryServingState,
	type DirectoryState,
} from './directory/directory-state.js';
export {
	type DirectoryEffect,
	type DirectoryEvent,
	type DirectoryNotice,
} from './directory/directory-event.js';
export {defaultDirectoryLimits, type DirectoryLimits} from './directory/directory-limits.js';
export {longPollMs} from './directory/poll-schedule.js';
export {type CallerLimits, type ConfigurationDocument} from './model/configuration-document.js';
export {type Datagram} from './model/datagram.js';
export {deriveRouting, servicesOf} from './model/derive-routing.js';

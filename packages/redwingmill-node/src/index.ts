export {
	Daemon,
	type DaemonOptions,
	type OpenCalls,
	type StopPhases,
	type StopResult,
} from './daemon.js';
export {ListenError, SettingsError} from './errors.js';
export {headerNames} from './call/headers.js';
export {ticketPath} from './call/entry-server.js';
export {logEvents, type LogEvent} from './observe/log-event.js';
export {operatorsPaths} from './operators/operators-server.js';
export {
	parseSettings,
	readSettings,
	type ParsedSettings,
	type SettingsFault,
} from './settings/read-settings.js';
export {type Settings} from './settings/settings.js';
export {statusOf, type AnswerDetails, type CallerProtocol} from './call/caller-protocol.js';
export {
	type WorkerCallDetails,
	type WorkerProtocol,
	type WorkerResponseClass,
} from './call/worker-protocol.js';
export {type ControlPlane, type ControlPlaneOptions} from './control/control-plane.js';
export {StoreControlPlane, type StoreControlPlaneOptions} from './control/store-control-plane.js';
export {
	type ConfigurationDecoder,
	type ConfigurationReadResult,
	type ConfigurationSource,
	type CrashesReadResult,
	type CrashStore,
	type DecodedConfiguration,
	type NodeRegistry,
	type RecordReadResult,
	type RegistryListing,
	type StorePorts,
	type StorePosition,
	type MalformedObject,
	type RolloutsChangeResult,
	type RolloutsReadResult,
	type RolloutStore,
	type StatusWriteResult,
} from './control/store-ports.js';
export {describeError, exchange, type ExchangeResult} from './call/exchange.js';
export {createHttpPool} from './call/http-pool.js';
export {readRequestBody, type BodyResult} from './call/read-request.js';
export {listenOn} from './listen.js';
export {registerErrorGuard, type ErrorSource} from './observe/error-guard.js';
export {Log} from './observe/log.js';

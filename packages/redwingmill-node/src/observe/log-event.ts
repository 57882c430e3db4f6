/** Numbered log events. `docs/EVENTS.md` lists the same. */
export const logEvents = {
	nodeStarted: {number: 100, level: 'info', message: 'node started'},
	nodeStopping: {number: 101, level: 'info', message: 'planned stop began'},
	nodeStopped: {number: 102, level: 'info', message: 'node stopped'},
	drainTimedOut: {number: 103, level: 'warn', message: 'stopped with calls in progress'},
	versionStaged: {number: 200, level: 'info', message: 'version checked and staged'},
	versionRefused: {number: 201, level: 'error', message: 'version refused'},
	versionActivated: {number: 202, level: 'info', message: 'version in force'},
	versionAccepted: {number: 203, level: 'info', message: 'version accepted by this relay'},
	dataCentreAbsent: {number: 204, level: 'warn', message: 'version accepted without a data centre'},
	registered: {number: 300, level: 'info', message: 'registered with the relay'},
	relayLost: {number: 301, level: 'warn', message: 'relay lost'},
	relayStarted: {number: 302, level: 'info', message: 'this node is the relay'},
	relayStopped: {number: 303, level: 'info', message: 'another node is the relay'},
	memberLapsed: {number: 304, level: 'warn', message: 'node declared gone'},
	servingChanged: {number: 305, level: 'info', message: 'serving state changed'},
	pauseDetected: {number: 306, level: 'warn', message: 'this process was paused'},
	platformLost: {number: 400, level: 'warn', message: 'watch of the platform lost'},
	platformCurrent: {number: 401, level: 'info', message: 'watch of the platform current'},
	workerChanged: {number: 500, level: 'info', message: 'worker announced a change'},
	requestSuspected: {number: 501, level: 'warn', message: 'worker died with this request running'},
	requestCleared: {number: 503, level: 'info', message: 'suspected request ran well'},
	malformedRequest: {number: 502, level: 'debug', message: 'malformed request cut off'},
} as const;

export type LogEvent = (typeof logEvents)[keyof typeof logEvents];

import {type Version} from '../model/version.js';

/** Notices of the control plane for operators; each becomes a numbered log event. */
export type Notice =
	| {readonly type: 'version-staged'; readonly version: Version}
	| {
			readonly type: 'version-refused';
			readonly version: Version;
			readonly reasons: readonly string[];
	  }
	| {readonly type: 'version-activated'; readonly version: Version}
	| {
			readonly type: 'version-accepted';
			readonly version: Version;
			readonly absent: readonly string[];
	  }
	| {readonly type: 'registered'; readonly relay: string}
	| {readonly type: 'relay-lost'; readonly relay: string}
	| {readonly type: 'relay-started'; readonly term: number; readonly isNamed: boolean}
	| {readonly type: 'relay-stopped'; readonly successor: string}
	| {readonly type: 'member-lapsed'; readonly node: string}
	| {readonly type: 'serving-changed'; readonly from: string; readonly to: string}
	| {readonly type: 'pause-detected'; readonly durationMs: number}
	| {readonly type: 'platform-lost'}
	| {readonly type: 'platform-current'}
	| {readonly type: 'data-centre-absent'; readonly dataCentre: string};

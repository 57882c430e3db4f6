export {applyText, differenceOf, waitUntilInForce, type ApplyRequest} from './apply-text.js';
export {
	CommandError,
	ConflictError,
	InvalidTextError,
	NotInForceError,
	UnavailableError,
} from './errors.js';
export {progressOf, readMeshState, type MeshState, type Progress} from './mesh-state.js';

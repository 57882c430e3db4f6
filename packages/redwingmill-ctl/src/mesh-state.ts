import {
	isNewerVersion,
	isSameVersion,
	singletonName,
	type AcceptanceSpec,
	type ConfigurationTextSpec,
	type DataCentreSpec,
	type ObjectKind,
	type PlatformObject,
	type Version,
} from 'redwingmill-core';
import {type PlatformClient} from 'redwingmill-platform';
import {UnavailableError} from './errors.js';

/** What the platform says of the mesh. */
export type MeshState = {
	readonly text?: ConfigurationTextSpec;
	readonly acceptance?: AcceptanceSpec;
	readonly dataCentres: ReadonlyMap<string, DataCentreSpec>;
};

/** What became of a version. */
export type Progress =
	| {readonly type: 'pending'; readonly waitingFor: readonly string[]}
	| {readonly type: 'rejected'; readonly dataCentre: string; readonly reasons: readonly string[]}
	| {readonly type: 'activating'; readonly waitingFor: readonly string[]}
	| {readonly type: 'in-force'; readonly absent: readonly string[]}
	| {readonly type: 'superseded'; readonly by: Version};

/** Reads the state of the mesh. Throws {@link UnavailableError}. */
export async function readMeshState(client: PlatformClient): Promise<MeshState> {
	const [text, acceptance, dataCentres] = await Promise.all([
		readObject(client, 'ConfigurationText'),
		readObject(client, 'Acceptance'),
		listDataCentres(client),
	]);
	return {
		text: text?.spec as ConfigurationTextSpec | undefined,
		acceptance: acceptance?.spec as AcceptanceSpec | undefined,
		dataCentres,
	};
}

/** Reads the only object of a kind; undefined when there is none yet. */
export async function readObject(
	client: PlatformClient,
	kind: ObjectKind,
): Promise<PlatformObject | undefined> {
	const outcome = await client.read(kind, singletonName);
	switch (outcome.type) {
		case 'found': {
			return outcome.object;
		}

		case 'missing': {
			return undefined;
		}

		case 'failed': {
			throw new UnavailableError('The platform did not answer; what is in force stays in force');
		}
	}
}

/** What became of `version`. */
export function progressOf(state: MeshState, version: Version): Progress {
	const {acceptance, dataCentres} = state;
	const accepted = acceptance?.version;
	if (accepted && !isNewerVersion(version, accepted)) {
		return activationOf(state, version, accepted);
	}

	for (const [dataCentre, {rejected}] of dataCentres) {
		if (rejected && isSameVersion(rejected.version, version)) {
			return {type: 'rejected', dataCentre, reasons: rejected.reasons};
		}
	}

	if (state.text && isNewerVersion(state.text.version, version)) {
		return {type: 'superseded', by: state.text.version};
	}

	const waitingFor = [...dataCentres]
		.filter(([, spec]) => !isSameVersion(spec.prepared, version))
		.map(([name, spec]) => describeUnprepared(name, spec));
	return {type: 'pending', waitingFor};
}

function activationOf(state: MeshState, version: Version, accepted: Version): Progress {
	if (accepted.number === version.number && accepted.digest !== version.digest) {
		return {type: 'superseded', by: accepted};
	}

	const absent = state.acceptance?.absent ?? [];
	const waitingFor = [...state.dataCentres]
		.filter(([name]) => !absent.includes(name))
		.filter(([, spec]) => isNewerVersion(version, spec.inForce))
		.map(([name]) => name);
	return waitingFor.length > 0 ? {type: 'activating', waitingFor} : {type: 'in-force', absent};
}

function describeUnprepared(name: string, {unprepared}: DataCentreSpec): string {
	return unprepared.length === 0 ? name : `${name} (${unprepared.join(', ')})`;
}

async function listDataCentres(client: PlatformClient): Promise<Map<string, DataCentreSpec>> {
	try {
		const {objects} = await client.list('DataCentre');
		return new Map(objects.map(({name, spec}) => [name, spec as DataCentreSpec]));
	} catch (error) {
		throw new UnavailableError('The platform did not answer; what is in force stays in force', {
			cause: error,
		});
	}
}

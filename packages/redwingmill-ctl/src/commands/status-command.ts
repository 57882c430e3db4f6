import {command} from 'cmd-ts';
import {type DataCentreSpec, type Version} from 'redwingmill-core';
import {progressOf, readMeshState, type MeshState, type Progress} from '../mesh-state.js';
import {formatTable} from '../table.js';
import {jsonFlag, platformOption, print, printJson, withPlatform} from './common.js';

export const statusCommand = command({
	name: 'status',
	description: 'Show what is in force, pending and rejected.',
	args: {json: jsonFlag, platform: platformOption},
	async handler({json, platform}) {
		const state = await withPlatform(platform, readMeshState);
		const progress = state.text && progressOf(state, state.text.version);
		if (json) {
			printJson(toJson(state, progress));
		} else {
			print(formatMeshState(state, progress));
		}
	},
});

function toJson(state: MeshState, progress: Progress | undefined) {
	const {text, acceptance, dataCentres} = state;
	return {
		newest: text && {version: text.version, author: text.author, progress},
		accepted: acceptance && {version: acceptance.version, absent: acceptance.absent},
		dataCentres: Object.fromEntries(dataCentres),
	};
}

function formatMeshState({text, acceptance, dataCentres}: MeshState, progress?: Progress): string {
	const lines = [
		`accepted: ${formatVersion(acceptance?.version)}`,
		`newest:   ${formatVersion(text?.version)}${text ? ` by ${text.author}` : ''}`,
	];
	if (progress) {
		lines.push(`progress: ${describeProgress(progress)}`);
	}

	const absent = acceptance?.absent ?? [];
	if (absent.length > 0) {
		lines.push(`absent:   ${absent.join(', ')}`);
	}

	const rows = [...dataCentres].map(([name, spec]) => dataCentreRow(name, spec));
	const heading = ['data centre', 'relay', 'nodes', 'prepared', 'in force', 'rejected'];
	return [...lines, '', formatTable(heading, rows)].join('\n');
}

function dataCentreRow(name: string, spec: DataCentreSpec): string[] {
	return [
		name,
		spec.relay,
		String(spec.members),
		formatVersion(spec.prepared),
		formatVersion(spec.inForce),
		formatVersion(spec.rejected?.version),
	];
}

function formatVersion(version: Version | undefined): string {
	return version ? `${version.number} (${version.digest})` : '-';
}

function describeProgress(progress: Progress): string {
	switch (progress.type) {
		case 'pending':
		case 'activating': {
			return `${progress.type}, waiting for ${progress.waitingFor.join(', ')}`;
		}

		case 'rejected': {
			return `rejected by ${progress.dataCentre}: ${progress.reasons.join('; ')}`;
		}

		case 'in-force': {
			return 'in force';
		}

		case 'superseded': {
			return `superseded by version ${progress.by.number}`;
		}
	}
}

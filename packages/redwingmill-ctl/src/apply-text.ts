import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {createTwoFilesPatch} from 'diff';
import {
	singletonName,
	type AcceptanceSpec,
	type ConfigurationTextSpec,
	type PlatformObject,
	type Version,
} from 'redwingmill-core';
import {type PlatformClient} from 'redwingmill-platform';
import {digestOf} from 'redwingmill-shared';
import {ConflictError, NotInForceError, UnavailableError} from './errors.js';
import {progressOf, readMeshState, readObject, type Progress} from './mesh-state.js';

/** What to apply. */
export type ApplyRequest = {
	readonly text: string;
	readonly author: string;
	/** Newest version that the operator has seen; absent to follow whatever is there. */
	readonly baseVersion?: number;
};

const rereadAttempts = 10;
const rereadDelayMs = 300;
const pollIntervalMs = 50;

/**
 * Writes a text as the next version, at most once. Throws {@link ConflictError} when another
 * operator was first.
 */
export async function applyText(
	client: PlatformClient,
	application: ApplyRequest,
): Promise<Version> {
	const stored = await readObject(client, 'ConfigurationText');
	const acceptance = await readObject(client, 'Acceptance');
	const current = specOf(stored);
	const newest = Math.max(
		current?.version.number ?? 0,
		(acceptance?.spec as AcceptanceSpec | undefined)?.version.number ?? 0,
	);
	if (application.baseVersion !== undefined && application.baseVersion !== newest) {
		throw newConflictError(current, application.text);
	}

	const spec: ConfigurationTextSpec = {
		version: {number: newest + 1, digest: digestOf(application.text)},
		text: application.text,
		author: application.author,
		applyId: randomUUID(),
	};
	await write(client, spec, stored?.resourceVersion ?? 0);
	return spec.version;
}

/** Waits until a version is in force; returns its last progress. Throws {@link NotInForceError}. */
export async function waitUntilInForce(
	client: PlatformClient,
	version: Version,
	timeoutMs: number,
): Promise<Progress> {
	const giveUpAt = performance.now() + timeoutMs;
	for (;;) {
		const progress = await readProgress(client, version);
		switch (progress?.type) {
			case 'in-force':
			case 'superseded': {
				return progress;
			}

			case 'rejected': {
				const reasons = progress.reasons.join('\n');
				throw new NotInForceError(`rejected by ${progress.dataCentre}:\n${reasons}`);
			}

			default: {
				if (performance.now() >= giveUpAt) {
					throw new NotInForceError(timeoutMessage(version, progress));
				}

				await delay(pollIntervalMs);
			}
		}
	}
}

/** Difference between two texts, for operators to read. */
export function differenceOf(before: string, after: string, names = ['stored', 'file']): string {
	return createTwoFilesPatch(names[0], names[1], before, after);
}

async function write(
	client: PlatformClient,
	spec: ConfigurationTextSpec,
	resourceVersion: number,
): Promise<void> {
	const object = {
		kind: 'ConfigurationText',
		name: singletonName,
		resourceVersion,
		spec,
	} as const;
	const outcome = await client.write(object);
	switch (outcome.type) {
		case 'written': {
			return;
		}

		case 'failed': {
			throw new UnavailableError('The platform did not take the text; nothing was written');
		}

		case 'conflict':
		case 'unknown': {
			await confirmWrite(client, spec);
		}
	}
}

/** Finds out by reading whether a write took effect; never writes again. */
async function confirmWrite(client: PlatformClient, spec: ConfigurationTextSpec): Promise<void> {
	for (let attempt = 0; attempt < rereadAttempts; attempt++) {
		const outcome = await client.read('ConfigurationText', singletonName);
		if (outcome.type === 'found') {
			const stored = specOf(outcome.object);
			if (stored?.applyId === spec.applyId) {
				return;
			}

			throw newConflictError(stored, spec.text);
		}

		if (outcome.type === 'missing') {
			throw new UnavailableError('The platform did not take the text; nothing was written');
		}

		await delay(rereadDelayMs);
	}

	throw new UnavailableError(
		`The platform did not say whether version ${spec.version.number} was written; look at its status before you apply again`,
	);
}

async function readProgress(
	client: PlatformClient,
	version: Version,
): Promise<Progress | undefined> {
	try {
		return progressOf(await readMeshState(client), version);
	} catch (error) {
		// An outage while waiting delays the answer; it doesn't change what was written.
		if (error instanceof UnavailableError) {
			return undefined;
		}

		throw error;
	}
}

function timeoutMessage({number}: Version, progress: Progress | undefined): string {
	const waiting =
		progress && 'waitingFor' in progress ? ` waiting for ${progress.waitingFor.join(', ')}` : '';
	return `version ${number} is not in force yet (${progress?.type ?? 'platform unavailable'}${waiting})`;
}

function newConflictError(stored: ConfigurationTextSpec | undefined, text: string) {
	const number = stored?.version.number ?? 0;
	const author = stored?.author ?? 'nobody';
	return new ConflictError(
		`the stored text is version ${number} by ${author}; nothing was written\n` +
			differenceOf(stored?.text ?? '', text),
	);
}

function specOf(object: PlatformObject | undefined): ConfigurationTextSpec | undefined {
	return object?.kind === 'ConfigurationText' ? object.spec : undefined;
}

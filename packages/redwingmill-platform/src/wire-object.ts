import {type ObjectKind, type PlatformObject} from 'redwingmill-core';
import {PlatformError} from './errors.js';
import {apiVersion} from './object-path.js';

/** JSON form of an object in the API. */
export type WireObject = {
	readonly apiVersion: string;
	readonly kind: ObjectKind;
	readonly metadata: {readonly name: string; readonly resourceVersion?: string};
	readonly spec: unknown;
};

/** Response to a list request. */
export type WireList = {
	readonly kind: string;
	readonly metadata: {readonly resourceVersion: string};
	readonly items: readonly WireObject[];
};

export const watchEventTypes = ['ADDED', 'MODIFIED', 'DELETED', 'BOOKMARK', 'ERROR'] as const;
export type WatchEventType = (typeof watchEventTypes)[number];

/** One event of a watch: a line of the response body. */
export type WatchEvent = {
	readonly type: WatchEventType;
	readonly object: WireObject;
};

/** Encodes an object. Omits a `resourceVersion` of 0, which means that the object is to be created. */
export function toWire({kind, name, resourceVersion, spec}: PlatformObject): WireObject {
	const metadata =
		resourceVersion === 0 ? {name} : {name, resourceVersion: String(resourceVersion)};
	return {apiVersion, kind, metadata, spec};
}

/** Decodes an object. Throws {@link PlatformError} on a missing or invalid name, version or spec. */
export function fromWire({kind, metadata, spec}: WireObject): PlatformObject {
	const resourceVersion = Number(metadata?.resourceVersion);
	if (!Number.isSafeInteger(resourceVersion) || typeof metadata.name !== 'string' || !spec) {
		throw new PlatformError(
			`malformed platform object of kind ${kind}: missing or invalid name, resourceVersion or spec`,
		);
	}

	const object: unknown = {kind, name: metadata.name, resourceVersion, spec};
	return object as PlatformObject;
}

/** A JSON value. */
export type Json =
	null | boolean | number | string | readonly Json[] | {readonly [key: string]: Json};

type JsonObject = Readonly<Record<string, Json>>;

/**
 * Returns the merge patch (RFC 7396) that turns one JSON document into another. Returns undefined when
 * no merge patch can express the change, which is the case when a field becomes null.
 */
export function mergePatchOf(from: Json, to: Json): Json | undefined {
	if (!isObject(from) || !isObject(to)) {
		return hasNull(to) ? undefined : to;
	}

	const patch: Record<string, Json> = {};
	for (const key of Object.keys(from)) {
		if (!Object.hasOwn(to, key)) {
			patch[key] = null;
		}
	}

	for (const [key, value] of Object.entries(to)) {
		const known = Object.hasOwn(from, key) ? from[key] : undefined;
		if (isEqual(known, value)) {
			continue;
		}

		const change = mergePatchOf(known ?? null, value);
		if (change === undefined || change === null) {
			return undefined;
		}

		patch[key] = change;
	}

	return patch;
}

/** Applies a merge patch without modifying the document. The result shares the unchanged parts. */
export function applyMergePatch(document: Json, patch: Json): Json {
	if (!isObject(patch)) {
		return patch;
	}

	const known = isObject(document) ? document : {};
	const merged: Record<string, Json> = {...known};
	for (const [key, change] of Object.entries(patch)) {
		if (change === null) {
			Reflect.deleteProperty(merged, key);
		} else {
			merged[key] = applyMergePatch(known[key] ?? null, change);
		}
	}

	return merged;
}

function isEqual(a: Json | undefined, b: Json): boolean {
	if (a === b) {
		return true;
	}

	if (Array.isArray(a) && Array.isArray(b)) {
		return (
			a.length === b.length && a.every((item, index) => isEqual(item as Json, b[index] as Json))
		);
	}

	if (!isObject(a) || !isObject(b)) {
		return false;
	}

	const keys = Object.keys(a);
	return (
		keys.length === Object.keys(b).length &&
		keys.every((key) => Object.hasOwn(b, key) && isEqual(a[key], b[key]))
	);
}

/** Returns whether the value is null or holds a null field, which a merge patch would remove. */
function hasNull(value: Json): boolean {
	if (!isObject(value)) {
		return value === null;
	}

	return Object.values(value).some((each) => hasNull(each));
}

function isObject(value: Json | undefined): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

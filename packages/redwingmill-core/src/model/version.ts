/** Identity of a configuration version. Numbers only increase; the digest identifies the contents. */
export type Version = {
	readonly number: number;
	/** Digest of the text, as `digestOf` returns it. */
	readonly digest: string;
};

/** Returns whether both are the same version with the same contents; false for two absent ones. */
export function isSameVersion(a: Version | undefined, b: Version | undefined): boolean {
	return a !== undefined && a.number === b?.number && a.digest === b.digest;
}

/** Returns whether `a` has a higher number than `b`. Any version is newer than an absent one. */
export function isNewerVersion(a: Version | undefined, b: Version | undefined): boolean {
	return (a?.number ?? 0) > (b?.number ?? 0);
}

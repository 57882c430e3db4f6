import {digestOf} from 'redwingmill-shared';
import {supersedes, type NodeRecord} from './node-record.js';

/** Known nodes of one data centre, by control address. */
export type Section = ReadonlyMap<string, NodeRecord>;

/** Known nodes of every data centre, by data centre. */
export type Roster = ReadonlyMap<string, Section>;

/** Digest of one data centre's section. */
export type SectionDigest = {
	readonly dataCentre: string;
	readonly digest: string;
};

/** Result of merging records: the new roster and those records that changed it. */
export type MergeResult = {
	readonly roster: Roster;
	readonly changed: readonly NodeRecord[];
};

const sectionDigestCache = new WeakMap<Section, string>();
const rosterDigestCache = new WeakMap<Roster, string>();

/** Merges records into a roster. Sections that do not change keep their identity. */
export function mergeRecords(roster: Roster, records: readonly NodeRecord[]): MergeResult {
	const changed: NodeRecord[] = [];
	const sections = new Map<string, Map<string, NodeRecord>>();
	for (const record of records) {
		const section = sections.get(record.dataCentre) ?? roster.get(record.dataCentre);
		if (!supersedes(record, section?.get(record.address))) {
			continue;
		}

		const copy = sections.get(record.dataCentre) ?? new Map(section);
		copy.set(record.address, record);
		sections.set(record.dataCentre, copy);
		changed.push(record);
	}

	return {roster: changed.length === 0 ? roster : new Map([...roster, ...sections]), changed};
}

/** Returns the digest of each section, by which two nodes cheaply find the sections that differ. */
export function rosterDigests(roster: Roster): SectionDigest[] {
	return [...roster].map(([dataCentre, section]) => ({dataCentre, digest: sectionDigest(section)}));
}

/** Returns one digest over all sections. */
export function rosterDigest(roster: Roster): string {
	const cached = rosterDigestCache.get(roster);
	if (cached !== undefined) {
		return cached;
	}

	const lines = rosterDigests(roster).map((entry) => `${entry.dataCentre} ${entry.digest}`);
	const digest = digestOf(lines.toSorted().join('\n'));
	rosterDigestCache.set(roster, digest);
	return digest;
}

/** Returns the records of those sections whose digest is not among `known`. */
export function recordsOfDifferingSections(
	roster: Roster,
	known: readonly SectionDigest[],
): NodeRecord[] {
	const byDataCentre = new Map(known.map((entry) => [entry.dataCentre, entry.digest]));
	return [...roster]
		.filter(([dataCentre, section]) => byDataCentre.get(dataCentre) !== sectionDigest(section))
		.flatMap(([, section]) => [...section.values()]);
}

/** Returns the records of the live nodes of a data centre. */
export function liveRecords(roster: Roster, dataCentre: string): NodeRecord[] {
	return [...(roster.get(dataCentre)?.values() ?? [])].filter((record) => record.status === 'live');
}

function sectionDigest(section: Section): string {
	const cached = sectionDigestCache.get(section);
	if (cached !== undefined) {
		return cached;
	}

	const lines = [...section.values()].map(
		(record) => `${record.address} ${record.incarnation} ${record.revision} ${record.status}`,
	);
	const digest = digestOf(lines.toSorted().join('\n'));
	sectionDigestCache.set(section, digest);
	return digest;
}

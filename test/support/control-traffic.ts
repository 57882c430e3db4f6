import {encodeDatagram} from 'redwingmill-protocol';
import {type Datagram} from 'redwingmill-core';
import {type FakeDirectoryMesh} from './fake-directory-mesh.js';

/** Size of the IPv4 and UDP headers. */
const headerBytes = 28;
const msPerSecond = 1000;

/** Control traffic of one node, sent and received. */
export type NodeTraffic = {datagrams: number; bytes: number};

/** Traffic of a mesh during a period. */
export type MeshTraffic = {
	/** Each node's traffic in a second, by control address. */
	readonly perSecond: ReadonlyMap<string, NodeTraffic>;
	/** Bytes in a second between data centres, of all nodes together. */
	readonly remoteBytesPerSecond: number;
};

/** Runs a mesh for a time and measures its datagrams. */
export function measureTraffic(mesh: FakeDirectoryMesh, durationMs: number): MeshTraffic {
	const totals = new Map<string, NodeTraffic>();
	let remoteBytes = 0;
	const add = (address: string, bytes: number) => {
		const total = totals.get(address) ?? {datagrams: 0, bytes: 0};
		totals.set(address, {datagrams: total.datagrams + 1, bytes: total.bytes + bytes});
	};

	const sizes = new WeakMap<Datagram, number>();
	mesh.onSent = (from, to, datagram) => {
		const bytes = sizes.get(datagram) ?? encodeDatagram(datagram).length + headerBytes;
		sizes.set(datagram, bytes);
		add(from, bytes);
		add(to, bytes);
		remoteBytes += dataCentreOf(from) === dataCentreOf(to) ? 0 : bytes;
	};

	mesh.run(durationMs);
	mesh.onSent = undefined;
	const seconds = durationMs / msPerSecond;
	const perSecond = [...totals].map(
		([address, {datagrams, bytes}]) =>
			[address, {datagrams: datagrams / seconds, bytes: bytes / seconds}] as const,
	);
	return {perSecond: new Map(perSecond), remoteBytesPerSecond: remoteBytes / seconds};
}

function dataCentreOf(address: string): string {
	return address.split('/')[0];
}

import {type DeliveryMode, type FakeMesh, type Transfer} from '../support/fake-mesh.js';
import {configurationTextWith} from '../support/fixtures.js';

/** Steps of changes, registration and endpoint updates, each identified by a network transfer. */
export const steps = {
	propose: ({type}: Transfer) => type === 'observe',
	watch: (transfer: Transfer) =>
		transfer.type === 'observe' && transfer.object.kind === 'ConfigurationText',
	'relay to node': isMessage('proposal'),
	stage: isMessage('report'),
	acknowledge: isMessage('report'),
	'prepared write': (transfer: Transfer) =>
		transfer.type === 'write' &&
		transfer.object.kind === 'DataCentre' &&
		(transfer.object.spec.prepared?.number ?? 0) >= 2,
	'acceptance write': (transfer: Transfer) =>
		transfer.type === 'write' && transfer.object.kind === 'Acceptance',
	activation: isMessage('acceptance'),
	'in-force report': (transfer: Transfer) =>
		transfer.type === 'message' &&
		transfer.message.type === 'report' &&
		(transfer.message.report.held?.number ?? 0) >= 2,
	register: isMessage('register'),
	delta: isMessage('records'),
	leave: (transfer: Transfer) =>
		transfer.type === 'message' &&
		transfer.message.type === 'records' &&
		transfer.message.records.some((record) => record.worker?.state === 'draining'),
} as const;
export type Step = keyof typeof steps;

/** A fault, injected when its step first occurs. */
export type Fault = {
	/** How the transfer that identifies the step is delivered; normally if absent. */
	readonly deliveryMode?: DeliveryMode;
	/** Starts the fault in the rest of the mesh and returns the function that ends it. */
	readonly begin?: (mesh: FakeMesh, transfer: Transfer) => (() => void) | undefined;
	/** Time from the step to the end of the fault. */
	readonly durationMs: number;
};

const restartMs = 2000;
const shortFaultMs = 4000;
const pauseMs = 6000;
const longFaultMs = 15_000;

export const faults: Readonly<Record<string, Fault>> = {
	'no fault': {durationMs: 0},
	'message lost': {deliveryMode: {type: 'drop'}, durationMs: 0},
	'message repeated': {deliveryMode: {type: 'repeat', delayMs: 500}, durationMs: 0},
	'message delayed': {deliveryMode: {type: 'deliver', delayMs: 2500}, durationMs: 0},
	'message reordered': {deliveryMode: {type: 'deliver', delayMs: 30}, durationMs: 0},
	'answer lost after effect': {deliveryMode: {type: 'lose-answer'}, durationMs: 0},
	'sender crashes': {
		begin: (mesh, transfer) => restart(mesh, senderOf(transfer)),
		durationMs: restartMs,
	},
	'receiver crashes': {
		begin: (mesh, transfer) => restart(mesh, receiverOf(transfer)),
		durationMs: restartMs,
	},
	'relay crashes': {
		begin: (mesh) => restart(mesh, mesh.relayOf('dc-a')?.settings.address),
		durationMs: restartMs,
	},
	'relay paused beyond its time-out': {
		begin: (mesh) => pause(mesh, mesh.relayOf('dc-a')?.settings.address),
		durationMs: pauseMs,
	},
	'two relays at once': {begin: replaceRelay, durationMs: shortFaultMs},
	'platform down': {begin: takePlatformDown, durationMs: shortFaultMs},
	'platform down for 15 s': {begin: takePlatformDown, durationMs: longFaultMs},
	'platform slow': {
		begin(mesh) {
			mesh.platformDelayMs = 800;
			return () => {
				mesh.platformDelayMs = 0;
			};
		},
		durationMs: longFaultMs,
	},
	'watch dropped': {
		begin(mesh) {
			mesh.dropWatches();
			return undefined;
		},
		durationMs: 0,
	},
	'data centre partitioned from the platform': {
		begin: (mesh) => partition(mesh, {platform: true, others: false}),
		durationMs: longFaultMs,
	},
	'data centre partitioned from the others': {
		begin: (mesh) => partition(mesh, {platform: false, others: true}),
		durationMs: longFaultMs,
	},
	'data centre partitioned from both': {
		begin: (mesh) => partition(mesh, {platform: true, others: true}),
		durationMs: longFaultMs,
	},
	'two of three nodes of a data centre crash': {
		begin(mesh) {
			const undo = ['dc-a-diary', 'dc-a-coding'].map((address) => restart(mesh, address));
			return () => {
				for (const each of undo) {
					each?.();
				}
			};
		},
		durationMs: restartMs,
	},
	'two operators apply concurrently': {
		begin(mesh) {
			mesh.apply(configurationTextWith(3001), 2);
			mesh.apply(configurationTextWith(3002), 2);
			return undefined;
		},
		durationMs: 0,
	},
	'second text during the change': {
		begin(mesh) {
			mesh.apply(configurationTextWith(3000));
			return undefined;
		},
		durationMs: 0,
	},
	'relay crashes during an outage': {
		begin(mesh, transfer) {
			const undoPlatform = takePlatformDown(mesh);
			const undoRelay = faults['relay crashes'].begin?.(mesh, transfer);
			return () => {
				undoPlatform();
				undoRelay?.();
			};
		},
		durationMs: shortFaultMs,
	},
	'all nodes of a data centre crash during an outage': {
		begin(mesh) {
			const undoPlatform = takePlatformDown(mesh);
			const addresses = ['dc-b-diary', 'dc-b-submission', 'dc-b-coding'];
			const undo = addresses.map((address) => restart(mesh, address));
			return () => {
				for (const each of undo) {
					each?.();
				}

				mesh.run(3000);
				undoPlatform();
			};
		},
		durationMs: restartMs,
	},
};

function isMessage(type: string): (transfer: Transfer) => boolean {
	return (transfer) => transfer.type === 'message' && transfer.message.type === type;
}

function senderOf(transfer: Transfer): string | undefined {
	return transfer.type === 'observe' ? undefined : transfer.from.settings.address;
}

function receiverOf(transfer: Transfer): string | undefined {
	return transfer.type === 'write' ? undefined : transfer.to.settings.address;
}

function restart(mesh: FakeMesh, address: string | undefined): (() => void) | undefined {
	const node = mesh.nodes.get(address ?? '');
	if (node === undefined) {
		return undefined;
	}

	mesh.kill(node);
	return () => {
		mesh.start(node.settings);
	};
}

function pause(mesh: FakeMesh, address: string | undefined): (() => void) | undefined {
	const node = mesh.nodes.get(address ?? '');
	if (node === undefined) {
		return undefined;
	}

	mesh.pause(node);
	return () => {
		mesh.resume(node);
	};
}

function takePlatformDown(mesh: FakeMesh): () => void {
	mesh.setPlatformDown(true);
	return () => {
		mesh.setPlatformDown(false);
	};
}

/** Names another node as relay in the platform's record, while the present relay still has its members. */
function replaceRelay(mesh: FakeMesh): () => void {
	const object = mesh.store.read('DataCentre', 'dc-a');
	const successor = mesh.nodes.get('dc-a-coding');
	if (object?.kind === 'DataCentre' && successor) {
		const {incarnation} = successor.blackboard.roster.self;
		const term = object.spec.term + 1;
		const spec = {...object.spec, relay: successor.settings.address, incarnation, term};
		mesh.store.write({...object, spec});
	}

	return () => undefined;
}

function partition(
	mesh: FakeMesh,
	from: {readonly platform: boolean; readonly others: boolean},
): () => void {
	const nodes = mesh.liveNodes().filter((node) => node.settings.dataCentre === 'dc-a');
	if (from.platform) {
		for (const node of nodes) {
			mesh.addressesWithoutPlatform.add(node.settings.address);
		}

		mesh.refreshWatches();
	}

	mesh.setIsolated('dc-a', from.others);
	return () => {
		mesh.addressesWithoutPlatform.clear();
		mesh.partitionedPairs.clear();
		mesh.refreshWatches();
	};
}

import {type Transfer, type FakeMesh, type DeliveryMode} from '../support/fake-mesh.js';
import {configurationTextWith} from '../support/fixtures.js';

/** Steps of a change, of registration and of endpoint news, by what crosses the network. */
export const steps = {
	propose: ({type}: Transfer) => type === 'observe',
	watch: (crossing: Transfer) =>
		crossing.type === 'observe' && crossing.object.kind === 'ConfigurationText',
	'relay to node': isMessage('proposal'),
	stage: isMessage('report'),
	acknowledge: isMessage('report'),
	'prepared write': (crossing: Transfer) =>
		crossing.type === 'write' &&
		crossing.object.kind === 'DataCentre' &&
		(crossing.object.spec.prepared?.number ?? 0) >= 2,
	'acceptance write': (crossing: Transfer) =>
		crossing.type === 'write' && crossing.object.kind === 'Acceptance',
	activation: isMessage('acceptance'),
	'in-force report': (crossing: Transfer) =>
		crossing.type === 'message' &&
		crossing.message.type === 'report' &&
		(crossing.message.report.held?.number ?? 0) >= 2,
	register: isMessage('register'),
	delta: isMessage('records'),
	leave: (crossing: Transfer) =>
		crossing.type === 'message' &&
		crossing.message.type === 'records' &&
		crossing.message.records.some((record) => record.worker?.state === 'draining'),
} as const;
export type Step = keyof typeof steps;

/** A fault, begun when its step is first seen. */
export type Fault = {
	/** What happens to the crossing itself. */
	readonly deliveryMode?: DeliveryMode;
	/** What happens around it. Returns how it is undone. */
	readonly begin?: (mesh: FakeMesh, crossing: Transfer) => (() => void) | undefined;
	/** How long it lasts. */
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
	'sender dies': {
		begin: (mesh, crossing) => restart(mesh, senderOf(crossing)),
		durationMs: restartMs,
	},
	'receiver dies': {
		begin: (mesh, crossing) => restart(mesh, receiverOf(crossing)),
		durationMs: restartMs,
	},
	'relay dies': {
		begin: (mesh) => restart(mesh, mesh.relayOf('dc-a')?.settings.address),
		durationMs: restartMs,
	},
	'relay paused past its lapse': {
		begin: (mesh) => pause(mesh, mesh.relayOf('dc-a')?.settings.address),
		durationMs: pauseMs,
	},
	'two relays at once': {begin: replaceRelay, durationMs: shortFaultMs},
	'platform down': {begin: takePlatformDown, durationMs: shortFaultMs},
	'platform down for long': {begin: takePlatformDown, durationMs: longFaultMs},
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
	'data centre cut from the platform': {
		begin: (mesh) => partition(mesh, {platform: true, others: false}),
		durationMs: longFaultMs,
	},
	'data centre cut from the others': {
		begin: (mesh) => partition(mesh, {platform: false, others: true}),
		durationMs: longFaultMs,
	},
	'data centre cut from both': {
		begin: (mesh) => partition(mesh, {platform: true, others: true}),
		durationMs: longFaultMs,
	},
	'half of a data centre dies': {
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
	'operators race': {
		begin(mesh) {
			mesh.apply(configurationTextWith(3001), 2);
			mesh.apply(configurationTextWith(3002), 2);
			return undefined;
		},
		durationMs: 0,
	},
	'second text midway': {
		begin(mesh) {
			mesh.apply(configurationTextWith(3000));
			return undefined;
		},
		durationMs: 0,
	},
	'relay dies during an outage': {
		begin(mesh, crossing) {
			const undoPlatform = takePlatformDown(mesh);
			const undoRelay = faults['relay dies'].begin?.(mesh, crossing);
			return () => {
				undoPlatform();
				undoRelay?.();
			};
		},
		durationMs: shortFaultMs,
	},
	'all nodes of a data centre die during an outage': {
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

function isMessage(type: string): (crossing: Transfer) => boolean {
	return (crossing) => crossing.type === 'message' && crossing.message.type === type;
}

function senderOf(crossing: Transfer): string | undefined {
	return crossing.type === 'observe' ? undefined : crossing.from.settings.address;
}

function receiverOf(crossing: Transfer): string | undefined {
	return crossing.type === 'write' ? undefined : crossing.to.settings.address;
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

/** The relay loses the platform and is replaced by hand, while it still has its members. */
function replaceRelay(mesh: FakeMesh): () => void {
	const object = mesh.store.read('DataCentre', 'dc-a');
	const usurper = mesh.nodes.get('dc-a-coding');
	if (object?.kind === 'DataCentre' && usurper) {
		const {incarnation} = usurper.blackboard.roster.self;
		const term = object.spec.term + 1;
		const spec = {...object.spec, relay: usurper.settings.address, incarnation, term};
		mesh.store.write({...object, spec});
	}

	return () => undefined;
}

function partition(
	mesh: FakeMesh,
	from: {readonly platform: boolean; readonly others: boolean},
): () => void {
	const own = mesh.liveNodes().filter((node) => node.settings.dataCentre === 'dc-a');
	if (from.platform) {
		for (const node of own) {
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

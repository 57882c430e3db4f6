import {type Blackboard} from 'redwingmill-core';

/** Status of a node as operators see it, in JSON. */
export function nodeStatusOf(board: Blackboard) {
	const {configuration, links, roster, routing, serving, platform} = board;
	const {uplink} = links;
	return {
		node: roster.self.address,
		dataCentre: roster.self.dataCentre,
		incarnation: roster.self.incarnation,
		serving: serving.state,
		relay: uplink.type === 'relay' ? roster.self.address : relayAddressOf(board),
		uplink: uplink.type,
		isPlatformCurrent: platform.isCurrent,
		versionInForce: configuration.held?.version,
		staged: configuration.staged.map((snapshot) => snapshot.version),
		refused: configuration.refused,
		worker: roster.self.worker,
		routes: routing.routes.map((state) => ({
			path: state.route.path,
			methods: state.route.methods,
			service: state.route.service,
			state: state.type,
			reason: state.type === 'inactive' ? state.reason : undefined,
			endpoints: (routing.endpoints.get(state.route.service) ?? []).map(({node, dataCentre}) => ({
				node,
				dataCentre,
			})),
		})),
		nodes: [...roster.roster.values()].flatMap((section) =>
			[...section.values()].map(({address, dataCentre, status, worker}) => ({
				address,
				dataCentre,
				status,
				service: worker?.service,
				worker: worker?.state,
				slots: worker?.slots,
			})),
		),
	};
}

function relayAddressOf({links}: Blackboard): string | undefined {
	const {uplink} = links;
	return uplink.type === 'registered' || uplink.type === 'connecting' ? uplink.address : undefined;
}

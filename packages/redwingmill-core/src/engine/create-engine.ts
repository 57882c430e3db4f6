import {AcceptanceController} from '../controllers/acceptance-controller.js';
import {AdmissionController} from '../controllers/admission-controller.js';
import {ConfigurationController} from '../controllers/configuration-controller.js';
import {LinkTableController} from '../controllers/link-table-controller.js';
import {MembershipController} from '../controllers/membership-controller.js';
import {PauseController} from '../controllers/pause-controller.js';
import {PeerRelayController} from '../controllers/peer-relay-controller.js';
import {PlatformController} from '../controllers/platform-controller.js';
import {DataCentreObjectController} from '../controllers/data-centre-object-controller.js';
import {RelayRoleController} from '../controllers/relay-role-controller.js';
import {RoutesController} from '../controllers/routes-controller.js';
import {ServingController} from '../controllers/serving-controller.js';
import {SuspectedRequestController} from '../controllers/suspected-request-controller.js';
import {UplinkController} from '../controllers/uplink-controller.js';
import {type Blackboard} from './blackboard.js';
import {controllerPriorities, Engine, type EngineOptions} from './engine.js';

/** Creates an engine with all controllers of a node. */
export function createEngine(initial: Blackboard, options: EngineOptions): Engine {
	const engine = new Engine(initial, options);
	engine.registerController(new PauseController(), controllerPriorities.pause);
	engine.registerController(new LinkTableController(), controllerPriorities.linkTable);
	engine.registerController(new UplinkController(), controllerPriorities.uplink);
	engine.registerController(new RelayRoleController(), controllerPriorities.relayRole);
	engine.registerController(new AdmissionController(), controllerPriorities.admission);
	engine.registerController(new ConfigurationController(), controllerPriorities.configuration);
	engine.registerController(new MembershipController(), controllerPriorities.membership);
	engine.registerController(new PlatformController(), controllerPriorities.platform);
	engine.registerController(
		new DataCentreObjectController(),
		controllerPriorities.dataCentreObject,
	);
	engine.registerController(new AcceptanceController(), controllerPriorities.acceptance);
	engine.registerController(new PeerRelayController(), controllerPriorities.peerRelay);
	engine.registerController(
		new SuspectedRequestController(),
		controllerPriorities.suspectedRequest,
	);
	engine.registerController(new ServingController(), controllerPriorities.serving);
	engine.registerController(new RoutesController(), controllerPriorities.routes);
	return engine;
}

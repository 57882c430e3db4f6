export {
	anyMethod,
	priorities,
	type Configuration,
	type Quota,
	type Workspace,
	type Destination,
	type Priority,
	type Route,
	type Service,
} from './configuration.js';
export {JsonReader, type Field} from './json-reader.js';
export {parseText, textLimitBytes, type ParsedText} from './parse-text.js';
export {describeFault, formatFault, type Position, type TextFault} from './text-fault.js';
export {checkConfiguration, routeName, type Finding} from './check/check-configuration.js';
export {configurationChanges, type ConfigurationChange} from './check/configuration-difference.js';
export {hiddenRoutes} from './check/hidden-routes.js';

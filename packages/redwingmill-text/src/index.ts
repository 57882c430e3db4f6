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

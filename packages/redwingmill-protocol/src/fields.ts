import {ProtocolError} from './errors.js';

/** Value of a wire enumeration, whose numbers start at 1. */
export function decodeEnum<Value extends string>(values: readonly Value[], number: number): Value {
	return requireField(values[number - 1]);
}

/** Throws {@link ProtocolError} on a field that is missing. */
export function requireField<Value>(value: Value | undefined): Value {
	if (value === undefined) {
		throw new ProtocolError('A field that the protocol requires is missing');
	}

	return value;
}

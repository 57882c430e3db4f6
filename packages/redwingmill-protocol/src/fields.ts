import {ProtocolError} from './errors.js';

/** Value of a wire enumeration, whose numbers start at 1. */
export function pick<Value extends string>(values: readonly Value[], number: number): Value {
	return required(values[number - 1]);
}

/** Throws {@link ProtocolError} on a field that is missing. */
export function required<Value>(value: Value | undefined): Value {
	if (value === undefined) {
		throw new ProtocolError('A field that the protocol requires is missing');
	}

	return value;
}

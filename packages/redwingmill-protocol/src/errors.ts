import {BaseError} from 'redwingmill-shared';

/** A message from another node violates the protocol. */
export const ProtocolError = BaseError.subclass('ProtocolError');

import {BaseError} from 'redwingmill-shared';

/** A failure whose message is shown to the operator without a stack trace. */
export const CommandError = BaseError.subclass('CommandError');

/** The text has faults; the message lists them with their positions. */
export const InvalidTextError = CommandError.subclass('InvalidTextError');

/** Another operator's text was written first. */
export const ConflictError = CommandError.subclass('ConflictError');

/** The platform or a node didn't respond, or the platform rejected a write. */
export const UnavailableError = CommandError.subclass('UnavailableError');

/** The version was rejected, or wasn't in force in time. */
export const NotInForceError = CommandError.subclass('NotInForceError');

import {BaseError} from 'redwingmill-shared';

/** The settings file can't be used; the message lists every fault with its place. */
export const SettingsError = BaseError.subclass('SettingsError');

/** A port can't be listened on. */
export const ListenError = BaseError.subclass('ListenError');

/** A link to another node broke the rules of the transport. */
export const LinkError = BaseError.subclass('LinkError');

/** An exchange that this node gave up itself. */
export const AbortedExchangeError = BaseError.subclass('AbortedExchangeError');

/** A connection failed while an answer that ends with it was read. */
export const TruncatedAnswerError = BaseError.subclass('BrokenAnswerError');

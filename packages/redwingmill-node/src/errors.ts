import {BaseError} from 'redwingmill-shared';

/** The settings file is invalid or unreadable; the message lists every fault with its position. */
export const SettingsError = BaseError.subclass('SettingsError');

/** Listening on an address failed. */
export const ListenError = BaseError.subclass('ListenError');

/** A link to another node violated the transport protocol. */
export const LinkError = BaseError.subclass('LinkError');

/** This node aborted an HTTP exchange. */
export const AbortedExchangeError = BaseError.subclass('AbortedExchangeError');

/** The connection failed while reading an answer whose end is marked by the connection's close. */
export const TruncatedAnswerError = BaseError.subclass('TruncatedAnswerError');

/** A connection was broken as its message had too many bytes besides its body. */
export const ExcessFramingError = BaseError.subclass('ExcessFramingError');

/** Bytes on a connection between nodes are no frame, or break the order of frames. */
export const FrameError = BaseError.subclass('FrameError');

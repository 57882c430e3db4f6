import {BaseError} from 'redwingmill-shared';

/** A request to the platform's object API failed, or its response is malformed. */
export const PlatformError = BaseError.subclass('PlatformError');

/** A list response is older than a resource version that this client has already read or written. */
export const StaleListError = PlatformError.subclass('StaleListError');

/** The watch can't be resumed: the platform no longer keeps the changes since the requested version. */
export const WatchExpiredError = PlatformError.subclass('WatchExpiredError');

/** The platform rejected a request because its rate limit is exceeded (HTTP 429). */
export const RateLimitError = PlatformError.subclass('RateLimitError');

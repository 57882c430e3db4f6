import {BaseError} from 'redwingmill-shared';

/** A measurement or the demo could not be completed. */
export const BenchError = BaseError.subclass('BenchError');

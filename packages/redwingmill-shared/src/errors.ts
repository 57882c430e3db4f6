import ModernError from 'modern-errors';

/** Base class of all errors that redwingmill throws. */
export const BaseError = ModernError.subclass('BaseError');

/** An internal invariant doesn't hold: a bug in redwingmill itself. */
export const InvariantError = BaseError.subclass('InvariantError');

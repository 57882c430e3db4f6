export {backoffDelay, type Backoff} from './backoff.js';
export {digestOf, rankByRendezvous} from './digest.js';
export {BaseError, InvariantError} from './errors.js';
export {hashOf} from './hash.js';
export {invariant, unreachable} from './invariant.js';
export {PersistentMap} from './persistent-map.js';
export {Random} from './random.js';
export {TokenBucket} from './token-bucket.js';
export {type Teardown} from './teardown.js';

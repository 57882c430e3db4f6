export {PlatformError, RateLimitError, StaleListError, WatchExpiredError} from './errors.js';
export {ObjectStore, type StoreChange, type StoreList} from './object-store.js';
export {PlatformClient, type ObjectChange, type ObjectList} from './platform-client.js';
export {type PlatformCounters} from './platform-counters.js';
export {noFault, type PlatformFault} from './platform-fault.js';
export {counterPath, faultPath, PlatformServer} from './platform-server.js';
export {PlatformWatcher, type WatchHandlers} from './platform-watcher.js';

export {FrameConnection, type FrameReceiver} from './frame-connection.js';
export {type OutgoingMessage} from './frame-queue.js';
export {frameTypes, maximumExchange} from './frame.js';
export {SilenceDetector} from './silence-detector.js';

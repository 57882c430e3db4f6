export * from './quota-bounds.js';
export {emptyQuotaIndex, QuotaIndex, type QuotaEntry} from './quota-index.js';
export {QuotaKeeper, type QuotaStatus, type QuotaTransition} from './quota-keeper.js';
export {QuotaLedger, type QuotaDecision, type QuotaLine} from './quota-ledger.js';
export * from './quota-message.js';
export {QuotaServer, type QuotaChange, type QuotaState} from './quota-server.js';
export {quotaViewOf, type QuotaPeer, type QuotaView} from './quota-view.js';

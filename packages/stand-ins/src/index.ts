/** Stand-ins of the systems around rhubarblever, and the harness that runs real processes. */
export * from './harness/local-fleet.js';
export type * from './harness/fleet-types.js';
export * from './harness/fleet-links.js';
export * from './proxy/fault-proxy.js';
export * from './proxy/proxy-flow.js';
export * from './harness/addresses.js';
export * from './harness/process-group.js';
export * from './harness/scripts.js';
export * from './load/arrivals.js';
export * from './load/load-report.js';
export * from './load/load-run.js';
export * from './target/answer.js';
export type {LedgerEntry, TargetLedgerReport} from './target/target-ledger.js';
export type {AnswerFault, TargetSettings, Work} from './target/work.js';
export type {PlatformLedgerEntry, PlatformEvent} from './platform/ledger.js';
export type {PlatformSettings} from './platform/settings.js';
export type {TaskReport, WorkerReport} from './platform/workers.js';

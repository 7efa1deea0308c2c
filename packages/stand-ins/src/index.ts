/** Stand-ins of the systems around rhubarblever, and the harness that runs real processes. */
export * from './harness/local-fleet.js';
export * from './harness/addresses.js';
export * from './harness/process-group.js';
export * from './harness/scripts.js';
export {computeAnswer, type LedgerEntry} from './target/target-server.js';

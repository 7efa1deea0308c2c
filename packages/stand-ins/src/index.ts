/** Stand-ins of the systems around rhubarblever, and the harness that runs real processes. */
export * from './harness/local-fleet.js';
export type * from './harness/fleet-types.js';
export * from './harness/fleet-links.js';
export * from './proxy/fault-proxy.js';
export * from './proxy/proxy-flow.js';
export * from './harness/addresses.js';
export * from './harness/process-group.js';
export * from './harness/scripts.js';
export {computeAnswer, type LedgerEntry} from './target/target-server.js';

/** HTTP servers that stay within the limits of their machine, whatever their clients send. */
export {
	BoundedServer, type BoundedServerOptions, type ReceivedRequest, type RequestRefusal,
} from './bounded-server.js';
export {ClientBudget} from './client-budget.js';
export {defaultBodyTimeoutMs, defaultClientLimits, defaultMaxRequestsAhead} from './client-limits.js';
export {
	selectFaults, type RefusalCountsByReason, type RefusalReason, type RefusalSink,
} from './refusal-counts.js';

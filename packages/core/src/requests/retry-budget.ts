/** Retry budgets per service, so that retries can't multiply an overload. */
import type {ServiceId} from '../types/ids.js';
import type {RequestsState, RetryBudget} from './state.js';

/** Retries that one first attempt adds to the budget. */
const earnedPerFirstAttempt = 0.1;
const maxTokens = 20;

/** Adds to the budget of a service for a first attempt. */
export function recordFirstAttempt(requests: RequestsState, service: ServiceId): void {
	const budget = getBudget(requests, service);
	budget.tokens = Math.min(maxTokens, budget.tokens + earnedPerFirstAttempt);
}

/** Takes one retry from the budget of a service; false if none is left. */
export function takeRetry(requests: RequestsState, service: ServiceId): boolean {
	const budget = getBudget(requests, service);
	if (budget.tokens < 1) {
		return false;
	}

	budget.tokens -= 1;
	return true;
}

function getBudget(requests: RequestsState, service: ServiceId): RetryBudget {
	const known = requests.retryBudgets.get(service);
	if (known) {
		return known;
	}

	const budget = {tokens: maxTokens};
	requests.retryBudgets.set(service, budget);
	return budget;
}

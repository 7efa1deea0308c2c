/** Burn rates: the share of bad answers divided by the share that the objective allows. */
import type {Instant} from '../types/time.js';

/** Good and bad answers of one minute. */
export type CountedMinute = {readonly startsAt: Instant; readonly good: number; readonly bad: number};

const minuteMs = 60_000;

/** Windows of each alarm, in minutes, and the burn rate that raises it. Both windows of an alarm must reach the rate. */
export const alarmRules = [
	{
		alarm: 'fast', longMinutes: 60, shortMinutes: 5, minimumRate: 14.4,
	},
	{
		alarm: 'slow', longMinutes: 360, shortMinutes: 30, minimumRate: 6,
	},
] as const;

/** Sums the good and bad answers of the last `minutes` before `now`. */
export function countAnswers(buckets: readonly CountedMinute[], now: Instant, minutes: number): {good: number; bad: number} {
	const from = now - (minutes * minuteMs);
	let good = 0;
	let bad = 0;
	for (const bucket of buckets) {
		if (bucket.startsAt + minuteMs > from) {
			good += bucket.good;
			bad += bucket.bad;
		}
	}

	return {good, bad};
}

/** The burn rate over the last `minutes`. A rate of 1 uses up the error budget exactly over the objective's window; without answers the rate is 0. */
export function computeBurnRate(buckets: readonly CountedMinute[], now: Instant, minutes: number, goodShare: number): number {
	const {good, bad} = countAnswers(buckets, now, minutes);
	const all = good + bad;
	return all === 0 ? 0 : (bad / all) / (1 - goodShare);
}

/** The share of the error budget that is left in the window: 1 if there were no bad answers, below 0 if the budget is exceeded. */
export function computeBudgetLeft(buckets: readonly CountedMinute[], now: Instant, windowMinutes: number, goodShare: number): number {
	return 1 - computeBurnRate(buckets, now, windowMinutes, goodShare);
}

/** The alarm that the counts raise; the fast alarm takes precedence. */
export function findAlarm(buckets: readonly CountedMinute[], now: Instant, goodShare: number): 'none' | 'slow' | 'fast' {
	const raised = alarmRules.find(rule =>
		computeBurnRate(buckets, now, rule.longMinutes, goodShare) >= rule.minimumRate
		&& computeBurnRate(buckets, now, rule.shortMinutes, goodShare) >= rule.minimumRate);
	return raised?.alarm ?? 'none';
}

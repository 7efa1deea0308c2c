/** Burn rates: the share of bad answers over the share that the objective allows. */
import type {Instant} from '../types/time.js';

/** Counts of one minute, as far as a rate needs them. */
export type CountedMinute = {readonly startsAt: Instant; readonly good: number; readonly bad: number};

const minuteMs = 60_000;

/** Windows of the alarms, in minutes, and the rate that raises each; both windows of an alarm must burn. */
export const alarmRules = [
	{
		alarm: 'fast', longMinutes: 60, shortMinutes: 5, leastRate: 14.4,
	},
	{
		alarm: 'slow', longMinutes: 360, shortMinutes: 30, leastRate: 6,
	},
] as const;

/** Good and bad answers since `minutes` before `now`. */
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

/** The burn rate over the last `minutes`: 1 spends the budget exactly over the objective's window; 0 without answers. */
export function computeBurnRate(buckets: readonly CountedMinute[], now: Instant, minutes: number, goodShare: number): number {
	const {good, bad} = countAnswers(buckets, now, minutes);
	const all = good + bad;
	return all === 0 ? 0 : (bad / all) / (1 - goodShare);
}

/** The share of the error budget that is left over the window: 1 untouched, below 0 overspent. */
export function computeBudgetLeft(buckets: readonly CountedMinute[], now: Instant, windowMinutes: number, goodShare: number): number {
	return 1 - computeBurnRate(buckets, now, windowMinutes, goodShare);
}

/** The alarm that the counts raise, the fast one first. */
export function judgeAlarm(buckets: readonly CountedMinute[], now: Instant, goodShare: number): 'none' | 'slow' | 'fast' {
	const raised = alarmRules.find(rule =>
		computeBurnRate(buckets, now, rule.longMinutes, goodShare) >= rule.leastRate
		&& computeBurnRate(buckets, now, rule.shortMinutes, goodShare) >= rule.leastRate);
	return raised?.alarm ?? 'none';
}

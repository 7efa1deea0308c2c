/** Verdicts on requests, from the callers' outcomes and the targets' ledgers. */
import type {LoadOutcome} from '@rhubarblever/stand-ins';
import {formatTime, isOverlapping} from './journal.js';
import {judgeLeaving} from './leaving-verdict.js';
import {listStarts, type Start} from './starts.js';
import {groupBy} from './groups.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

/** How long after its deadline a call may be answered. */
const answerMarginMs = 2000;
/** Requests sent sooner than this after healing are not judged. */
const unjudgedAfterHealingMs = 10_000;
const minGoodShare = 0.95;
const shortestJudgedTailMs = 20_000;

/** All verdicts on requests. */
export function judgeRequests(evidence: Evidence): Verdict[] {
	const starts = listStarts(evidence);
	return [
		judgeRefusals(evidence, starts),
		judgeStarts(evidence, starts),
		judgeAnswers(evidence, starts),
		judgeDeadlines(evidence),
		judgeLeaving(evidence, starts),
		judgePlannedStops(evidence),
		...judgeGoodput(evidence),
	];
}

function describeOutcome({planned, result, reason, entryHost, sentAt, endedAt}: LoadOutcome): string {
	return `${planned.requestId} ${planned.service} ${planned.workClass} ${result} (${reason}) at ${entryHost}, sent ${formatTime(sentAt)}, ended ${formatTime(endedAt)}`;
}

/** Groups outcomes by request id, so that repeats of an id are together. */
function groupById(outcomes: readonly LoadOutcome[]): Map<string, LoadOutcome[]> {
	return groupBy(outcomes, ({planned}) => planned.requestId);
}

function judgeRefusals({journal}: Evidence, starts: readonly Start[]): Verdict {
	const started = new Set(starts.map(start => start.requestId));
	const refused = [...groupById(journal.outcomes).values()].filter(group => group.every(({result}) => result === 'refused'));
	const cases = refused.filter(([first]) => first && started.has(first.planned.requestId));
	return createVerdict('no refused request ran', `${refused.length} ids were refused each time`, cases.map(([first]) => describeOutcome(first!)));
}

function judgeStarts({journal}: Evidence, starts: readonly Start[]): Verdict {
	const nonIdempotentIds = new Set(journal.outcomes.filter(({planned}) => !planned.isIdempotent).map(({planned}) => planned.requestId));
	const byId = groupBy(starts.filter(({requestId}) => nonIdempotentIds.has(requestId)), ({requestId}) => requestId);
	const cases = [...byId.values()].filter(group => group.length > 1);
	return createVerdict(
		'no non-idempotent request started twice',
		`${nonIdempotentIds.size} ids, ${byId.size} of them started`,
		cases.map(group => group.map(start => `${start.requestId} on ${start.hostId} at ${formatTime(start.startedAt)}`).join('; ')),
	);
}

function judgeAnswers({journal}: Evidence, starts: readonly Start[]): Verdict {
	const started = new Set(starts.map(start => start.requestId));
	const whole = journal.outcomes.filter(({result}) => result === 'good' || result === 'late');
	const wrong = journal.outcomes.filter(({result}) => result === 'wrong');
	const notStarted = whole.filter(({planned}) => !started.has(planned.requestId));
	return createVerdict('each answer is whole and the caller\'s own', `${whole.length} answers`, [...wrong, ...notStarted].map(outcome => describeOutcome(outcome)));
}

/** Whether the entry host was killed, frozen or not running during the call. */
function isHostUnavailable({journal}: Evidence, outcome: LoadOutcome): boolean {
	const window = {from: outcome.sentAt, to: outcome.endedAt};
	return journal.unavailabilities.some(other => other.address === outcome.entryHost && isOverlapping(window, other));
}

/** Whether the connection of a call was refused, so that the call was never accepted. */
function isConnectionRefused({result, reason}: LoadOutcome): boolean {
	return result === 'broken' && reason.includes('ECONNREFUSED');
}

function judgeDeadlines(evidence: Evidence): Verdict {
	const {outcomes} = evidence.journal;
	const judged = outcomes.filter(outcome => !isHostUnavailable(evidence, outcome) && !isConnectionRefused(outcome));
	const cases = judged.filter(({result, endedAt, deadline}) => result === 'broken' || endedAt > deadline + answerMarginMs);
	return createVerdict(
		`every call is answered by its deadline and ${answerMarginMs} ms`,
		`${judged.length} calls, ${outcomes.length - judged.length} more to hosts that were killed, frozen or gone`,
		cases.map(outcome => describeOutcome(outcome)),
	);
}

function judgePlannedStops(evidence: Evidence): Verdict {
	const {plannedStops, outcomes} = evidence.journal;
	const badCodes = plannedStops.filter(stop => stop.code !== 0 && !evidence.journal.unexpectedExits.some(end => end.hostId === stop.hostId && isOverlapping(stop, {from: end.at, to: end.at})));
	const cut = plannedStops.flatMap(stop => outcomes.filter(outcome => outcome.result === 'broken'
		&& outcome.entryHost === stop.address
		&& outcome.sentAt <= stop.to
		&& outcome.endedAt >= stop.from
		&& !isConnectionRefused(outcome)
		&& !isHostUnavailable(evidence, outcome)));
	return createVerdict('planned stops cut no accepted request and end with code 0', `${plannedStops.length} stops`, [
		...badCodes.map(stop => `${stop.hostId} ended with code ${stop.code} at ${formatTime(stop.to)}`),
		...cut.map(outcome => describeOutcome(outcome)),
	]);
}

/** Judges the share of good answers; empty if the calm tail was too short for that. */
function judgeGoodput({journal, calmTailMs}: Evidence): Verdict[] {
	const later = journal.outcomes.filter(({sentAt}) => sentAt > journal.healedAt + unjudgedAfterHealingMs);
	// Repeated ids are left out because they are answered as repeats.
	const firsts = [...groupById(later).values()].filter(group => group.length === 1).flat();
	const good = firsts.filter(({result}) => result === 'good').length;
	const isEnough = good >= minGoodShare * firsts.length && firsts.length > 0;
	const verdict = createVerdict(
		`after healing at least ${minGoodShare * 100}% of requests are answered in time`,
		`${good} of ${firsts.length} sent later than ${unjudgedAfterHealingMs} ms after healing`,
		isEnough ? [] : [`the rest: ${describeRest(firsts)}`],
	);
	return calmTailMs < shortestJudgedTailMs ? [] : [verdict];
}

function describeRest(outcomes: readonly LoadOutcome[]): string {
	const counts = new Map<string, number>();
	for (const {result, reason} of outcomes) {
		counts.set(`${result} ${reason}`, (counts.get(`${result} ${reason}`) ?? 0) + 1);
	}

	// Good outcomes have an empty reason.
	counts.delete('good ');
	return [...counts].map(([what, count]) => `${what}: ${count}`).join(', ');
}

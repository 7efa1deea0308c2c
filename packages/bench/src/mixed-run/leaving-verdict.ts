/** The verdict on leaving targets. */
import {formatTime, isOverlapping, type Leaving} from './journal.js';
import type {Start} from './starts.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

const leavingNoticeMs = 5000;

/** Checks that no request starts on a leaving target after the notice period. */
export function judgeLeaving(evidence: Evidence, starts: readonly Start[]): Verdict {
	const {journal: {leavings}} = evidence;
	const cases = leavings.flatMap(leaving => {
		const noticeBy = findNoticeTime(evidence, leaving) + leavingNoticeMs;
		const since = starts.filter(start => start.hostId === leaving.hostId && start.startedAt > leaving.from && start.startedAt < leaving.to);
		const isLate = since.some(start => start.startedAt > noticeBy);
		const listed = since.map(({requestId, attemptId, startedAt}) => `${requestId} (attempt ${attemptId}) at ${formatTime(startedAt)}`);
		return isLate ? [`${leaving.hostId} (${leaving.how}) since ${formatTime(leaving.from)}, news by ${formatTime(noticeBy)}; all starts since: ${listed.join(', ')}`] : [];
	});
	const note = 'from the first time that the platform or an answer of the target could tell it';
	return createVerdict(`a leaving target gets no start later than ${leavingNoticeMs} ms`, `${leavings.length} leavings, ${note}`, cases);
}

/** When the first entry host could know that a target leaves: from the target's first answer, or from the platform once it is available. */
function findNoticeTime({journal, targetLedgers}: Evidence, {from, to, hostId, how}: Leaving): number {
	if (how === 'listed') {
		const noticePeriod = {from, to: from + leavingNoticeMs};
		const unavailable = journal.platformUnavailabilities.filter(window => isOverlapping(window, noticePeriod));
		return Math.max(from, ...unavailable.map(window => window.to));
	}

	const answers = targetLedgers.find(ledger => ledger.hostId === hostId)?.entries.flatMap(({endedAt}) => endedAt !== undefined && endedAt > from ? [endedAt] : []) ?? [];
	return Math.min(to, ...answers);
}

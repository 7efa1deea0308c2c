/** The verdict on leaving targets. */
import {formatTime, isOverlapping, type Leaving} from './journal.js';
import type {Start} from './starts.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

const leavingNewsMs = 5000;

/** Whether leaving targets got starts later than they may. */
export function judgeLeaving(evidence: Evidence, starts: readonly Start[]): Verdict {
	const {journal: {leavings}} = evidence;
	const cases = leavings.flatMap(leaving => {
		const newsBy = findNews(evidence, leaving) + leavingNewsMs;
		const since = starts.filter(start => start.hostId === leaving.hostId && start.startedAt > leaving.from && start.startedAt < leaving.to);
		const isLate = since.some(start => start.startedAt > newsBy);
		const listed = since.map(({requestId, attemptId, startedAt}) => `${requestId} (attempt ${attemptId}) at ${formatTime(startedAt)}`);
		return isLate ? [`${leaving.hostId} (${leaving.how}) since ${formatTime(leaving.from)}, news by ${formatTime(newsBy)}; all starts since: ${listed.join(', ')}`] : [];
	});
	const note = 'from the first time that the platform or an answer of the target could tell it';
	return createVerdict(`a leaving target gets no start later than ${leavingNewsMs} ms`, `${leavings.length} leavings, ${note}`, cases);
}

/** When the first entry host could know: at the target's first answer, or from the platform, unless it was away just then. */
function findNews({journal, targetLedgers}: Evidence, {from, to, hostId, how}: Leaving): number {
	if (how === 'listed') {
		const young = {from, to: from + leavingNewsMs};
		const away = journal.platformAway.filter(window => isOverlapping(window, young));
		return Math.max(from, ...away.map(window => window.to));
	}

	const answers = targetLedgers.find(ledger => ledger.hostId === hostId)?.entries.flatMap(({endedAt}) => endedAt !== undefined && endedAt > from ? [endedAt] : []) ?? [];
	return Math.min(to, ...answers);
}

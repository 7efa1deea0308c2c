/** Verdicts on the fleet state of the entry hosts: equal digests, monotonic offsets, accepted configuration in force. */
import {groupBy} from './groups.js';
import {createVerdict, type Evidence, type Verdict} from './verdict.js';

export const inForceBoundMs = 10_000;

/** All verdicts on fleet state. */
export function judgeStates(evidence: Evidence): Verdict[] {
	return [judgeDigests(evidence), judgeOffsets(evidence), judgeRaces(evidence), judgeInForce(evidence), judgeEnds(evidence)];
}

function judgeDigests({states, digestMismatches: differences, samples}: Evidence): Verdict {
	const unanswered = states.filter(({state}) => !state).map(({hostId}) => `${hostId} tells no fleet state after the run`);
	return createVerdict('all entry hosts have the same digest at the same offset', `${samples} samples of ${states.length} hosts`, [...unanswered, ...differences]);
}

function judgeOffsets({offsetRegressions: falls, samples}: Evidence): Verdict {
	return createVerdict('no host\'s applied offset falls', `${samples} samples`, falls);
}

function judgeRaces({journal: {changes}}: Evidence): Verdict {
	const bases = groupBy(changes, ({pool, basedOn}) => `${pool} based on ${basedOn}`);
	const cases = [...bases].filter(([, accepted]) => accepted.length > 1);
	return createVerdict(
		'of operators who race at most one is accepted',
		`${bases.size} versions won`,
		cases.map(([base, accepted]) => `${base}: accepted at ${accepted.map(({offset}) => offset).join(' and ')}`),
	);
}

function judgeInForce({journal: {changes}, inForceAfterMs}: Evidence): Verdict {
	return createVerdict(
		`after healing every accepted change is in force on all hosts within ${inForceBoundMs} ms`,
		`${changes.length} changes, ${inForceAfterMs === undefined ? 'not in that time' : `${inForceAfterMs} ms`}`,
		inForceAfterMs === undefined ? ['some host does not have the latest accepted version of each pool'] : [],
	);
}

function judgeEnds({journal}: Evidence): Verdict {
	return createVerdict(
		'no entry host ends by itself: no invariant is broken',
		'invariants are fatal',
		journal.unexpectedExits.map(({hostId, code, output}) => `${hostId} ended with code ${code}: ${output}`),
	);
}

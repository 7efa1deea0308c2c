/** Verdicts on synthetic evidence: a clean run keeps every promise, and one violation breaks exactly the promise concerned. */
import {describe, it} from 'node:test';
import type {HostLedger, LoadOutcome, PlatformLedgerEntry} from '@rhubarblever/stand-ins';
import {expect} from 'earl';
import {contestedPools, guardedPool, workers} from './fleet-shape.js';
import {judgeJobs} from './job-verdicts.js';
import {Journal} from './journal.js';
import type {FleetAnswer} from './operator.js';
import {judgePlatform} from './platform-verdicts.js';
import {judgeRequests} from './request-verdicts.js';
import {judgeStates} from './state-verdicts.js';
import type {Evidence} from './verdict.js';

const healedAt = 100_000;
const address = '127.0.0.1:1';
const target = 'runner-1';
type PlatformEvent = PlatformLedgerEntry['event'];

function createOutcome(requestId: string, changes: Partial<LoadOutcome> = {}): LoadOutcome {
	const planned: LoadOutcome['planned'] = {
		requestId, service: 'replans', team: 'team-1', workClass: 'heavy', isIdempotent: false, runMs: 10, arrivalAt: 0, deadlineAt: 5000, phase: 'calm', draw: 0,
	};
	return {
		planned, result: 'good', reason: '', latencyMs: 10, entryHost: address, deadline: 5000, sentAt: 1000, endedAt: 1010, ...changes,
	};
}

function createLedger(starts: ReadonlyArray<readonly [string, number]>): HostLedger {
	const entries = starts.map(([requestId, startedAt], index) => ({
		requestId, attemptId: `attempt-${index}`, startedAt, endedAt: startedAt + 10,
	}));
	return {hostId: target, entries} as unknown as HostLedger;
}

function createEntry(at: number, event: PlatformEvent, index: number, changes: Partial<PlatformLedgerEntry> = {}): PlatformLedgerEntry {
	return {
		at, event, hostId: workers[index]!.hostId, pool: guardedPool, operationId: `wave-1.${index}.drain.1`, ...changes,
	};
}

function createState(changes: Partial<FleetAnswer> = {}): FleetAnswer {
	return {
		nextOffset: 1, digest: '', pools: [], jobs: [], waves: [], poolHosts: workers.map(({hostId}) => ({hostId, pool: guardedPool})), ...changes,
	};
}

/** A run with one good answer before healing and one long after it. */
function createEvidence(changes: Partial<Evidence> = {}): Evidence {
	const journal = Journal.create();
	journal.healedAt = healedAt;
	journal.outcomes.push(createOutcome('request-1'), createOutcome('request-2', {sentAt: 120_000, endedAt: 120_010, deadline: 125_000}));
	return {
		journal,
		calmTailMs: 40_000,
		targetLedgers: [createLedger([['request-1', 1001], ['request-2', 120_001]])],
		platformLedger: [],
		releasedAt: new Map(),
		states: [{hostId: 'entry-1', state: createState()}],
		samples: 1,
		offsetRegressions: [],
		digestMismatches: [],
		inForceAfterMs: 10,
		...changes,
	};
}

function listBroken(evidence: Evidence): string[] {
	return [...judgeRequests(evidence), ...judgeStates(evidence), ...judgePlatform(evidence), ...judgeJobs(evidence)]
		.filter(({isKept}) => !isKept)
		.map(({promise}) => promise);
}

/** Changes to the evidence of a clean run, by a part of the text of the promise that each breaks. */
const breaks: Readonly<Record<string, (evidence: Evidence) => Partial<Evidence> | void>> = {
	'no refused request ran'({journal}) {
		journal.outcomes[0] = createOutcome('request-1', {result: 'refused'});
	},
	'started twice': () => ({targetLedgers: [createLedger([['request-1', 1001], ['request-1', 1002], ['request-2', 120_001]])]}),
	'whole and the caller'({journal}) {
		journal.outcomes.push(createOutcome('request-3', {result: 'wrong'}));
	},
	'answered by its deadline'({journal}) {
		journal.outcomes.push(createOutcome('request-3', {result: 'unknown', endedAt: 7100}));
	},
	'leaving target'({journal}) {
		journal.leavings.push({
			hostId: target, how: 'listed', from: 100_000, to: 130_000,
		});
	},
	'planned stops'({journal}) {
		journal.plannedStops.push({
			hostId: 'entry-1', address, from: 0, to: 500, code: 1,
		});
	},
	'after healing at least'({journal}) {
		journal.outcomes[1] = createOutcome('request-2', {
			result: 'late', sentAt: 120_000, endedAt: 126_000, deadline: 125_000,
		});
	},
	'same digest': () => ({digestMismatches: ['at offset 1']}),
	'offset falls': () => ({offsetRegressions: ['from 2 to 1']}),
	'operators who race'({journal}) {
		for (const offset of [8, 9]) {
			journal.changes.push({
				pool: contestedPools[0]!, offset, basedOn: 7, value: offset,
			});
		}
	},
	'every accepted change': () => ({inForceAfterMs: undefined}),
	'ends by itself'({journal}) {
		journal.unexpectedExits.push({
			hostId: 'entry-1', at: 1, code: 70, output: '',
		});
	},
	'most hosts out': () => ({platformLedger: [createEntry(1, 'drain-started', 0), createEntry(2, 'drain-started', 1)]}),
	'fewer healthy': () => ({
		platformLedger: [...[4, 5, 6, 7, 8, 9].map(index => createEntry(1, 'worker-failed', index)), createEntry(60_000, 'drain-started', 0)],
	}),
	'in one pool': () => ({states: [{hostId: 'entry-1', state: createState({poolHosts: []})}]}),
	'cuts a running task': () => ({platformLedger: [createEntry(1, 'task-cut', 0)]}),
	'waves finish': () => ({states: [{hostId: 'entry-1', state: createState({waves: [{waveId: 'wave-1', status: 'active', hosts: []}]})}]}),
	'accepted job ends'({journal}) {
		journal.acceptedJobs.add('job-1');
	},
	'starts more often'({journal}) {
		journal.allowedRuns.set('job-1', 1);
		return {platformLedger: [1, 2].map(at => createEntry(at, 'task-started', 0, {taskId: 'job-1'}))};
	},
};

describe('the verdicts', () => {
	it('keep all promises in a clean run', () => {
		expect(listBroken(createEvidence())).toEqual([]);
	});

	for (const [word, change] of Object.entries(breaks)) {
		it(`one case breaks: ${word}`, () => {
			const evidence = createEvidence();
			const broken = listBroken({...evidence, ...change(evidence)});
			expect(broken.length).toEqual(1);
			expect(broken[0]!).toInclude(word);
		});
	}
});

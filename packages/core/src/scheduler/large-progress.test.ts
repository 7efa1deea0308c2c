/** Jobs whose progress does not fit into one record of the store. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createProgress, createRow, HandDrivenHost, listLogEvents, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {
	createJob, createStep, ModelFleet, noFaults,
} from './testing/model-fleet.js';
import {modelSettings} from './testing/model-settings.js';
import type {SchedulerEffect} from './effects.js';
import type {LedgerEntry} from './events.js';
import type {EndedRow, LedgerRecord, StepDefinition} from './types.js';

const {maxRecordBytes} = modelSettings;
const smallNeed = {cpu: 5, memoryMb: 1, gpu: 0};
const largeCount = 7500;
/** A job with far more tasks than one record of the store has room for. */
const createLargeJob = (changes: Partial<StepDefinition> = {}) => createJob(1, [createStep({
	count: largeCount, need: smallNeed, isLongRunning: true, estimateMs: 500_000, ...changes,
})]);

function listCommits(effects: readonly SchedulerEffect[]): Array<EffectOf<'ledger/commit'>> {
	return effects.filter(effect => effect.type === 'ledger/commit');
}

/** The records of all commits of a host so far. */
function listRecords(effects: readonly SchedulerEffect[]): LedgerRecord[] {
	return listCommits(effects).flatMap(({records}) => records);
}

/** Answers each start, and those that follow, until all tasks have started. */
function answerStarts(host: HandDrivenHost, effects: readonly SchedulerEffect[]): void {
	const starts = listStarts(effects);
	for (const start of starts) {
		answerStarts(host, host.answerStart(start));
	}
}

/** The rows of a worker's answer that reports all its runs as done. */
function listAllDone(host: HandDrivenHost, workerId: string): EndedRow[] {
	return [...host.state.workers.get(workerId)!.tasks.values()].map((task, index) => ({
		number: index + 1, task: task.name, run: task.run, how: 'done', checkpoint: '',
	}));
}

function getKey(record: LedgerRecord): string {
	const kind = record.type.replace('-removed', '');
	return `${kind}:${'jobId' in record ? record.jobId : ''}/${'part' in record ? record.part : ''}`;
}

/** What the ledger holds after these records: the newest of each key. */
function createLedger(records: readonly LedgerRecord[]): LedgerEntry[] {
	const newest = new Map<string, LedgerRecord>();
	for (const record of records) {
		newest.delete(getKey(record));
		if (!record.type.endsWith('-removed')) {
			newest.set(getKey(record), record);
		}
	}

	return [...newest.values()].filter(({type}) => type !== 'lease').map((record, offset) => ({offset, record}));
}

describe('a job with more started tasks than one record holds', () => {
	/** Guards against appends that the store refuses for the size of a record, again and again. */
	it('is stored in records that the store takes', () => {
		const host = HandDrivenHost.create();
		host.submit(createLargeJob());
		host.takeLeadership();
		host.addWorkers('w1', 'w2');
		host.tick(200);
		const records = listRecords(host.effects);
		expect(listStarts(host.effects).length > 0).toEqual(true);
		expect(records.filter(record => JSON.stringify(record).length > maxRecordBytes).map(({type}) => type)).toEqual([]);
	});

	/** Guards against a leader that stores nothing more, so that no other job starts and the lead changes hands without end. */
	it('does not keep other jobs from being done', () => {
		const fleet = ModelFleet.create({
			seed: 3, hosts: 3, workers: 6, faults: noFaults,
		});
		fleet.store.maxRecordBytes = maxRecordBytes;
		fleet.run(3000);
		fleet.submit(createLargeJob());
		fleet.run(3000);
		const others = [2, 3, 4, 5, 6];
		for (const number of others) {
			fleet.submit(createJob(number, [createStep({count: 2, estimateMs: 300, need: {cpu: 50, memoryMb: 100, gpu: 0}})]));
			fleet.run(300);
		}

		fleet.run(4000);
		const phases = others.map(number => fleet.getPhase(number.toString(16).padStart(16, '0')));
		expect({phases, oversized: fleet.store.oversized, violations: fleet.violations}).toEqual({phases: others.map(() => 'completed'), oversized: 0, violations: []});
	});

	it('goes on after each change of the leader, with nothing run twice', () => {
		const fleet = ModelFleet.create({
			seed: 5, hosts: 3, workers: 6, faults: {lostPercent: 3, delayedPercent: 1, crashEveryMs: Number.POSITIVE_INFINITY},
		});
		fleet.store.maxRecordBytes = maxRecordBytes;
		fleet.run(3000);
		fleet.submit(createLargeJob({
			count: 1200, isLongRunning: false, estimateMs: 1500, need: {cpu: 20, memoryMb: 1, gpu: 0},
		}));
		for (let round = 0; round < 4; round++) {
			fleet.run(1200);
			fleet.stopLeader(600);
		}

		fleet.run(25_000);
		expect({phase: fleet.getPhase('0000000000000001'), oversized: fleet.store.oversized, violations: fleet.violations}).toEqual({phase: 'completed', oversized: 0, violations: []});
	});

	it('has only the parts stored again that have changed', () => {
		const host = HandDrivenHost.create();
		host.submit(createLargeJob());
		host.takeLeadership();
		host.addWorkers('w1', 'w2');
		host.tick(200);
		const [start] = listStarts(host.effects);
		host.now++;
		const effects = [...host.answerPoll(start!.worker.id, {
			ended: [{
				number: 1, task: start!.task, run: start!.run, how: 'lapsed', checkpoint: '',
			}],
		}), ...host.tick(50)];
		const changed = listRecords(effects).filter(({type}) => type.startsWith('progress'));
		expect(changed.map(({type}) => type).toSorted()).toEqual(['progress', 'progress-part']);
	});

	it('leaves no part in the store once it is over', () => {
		const job = createJob(1, [createStep({count: 1200, need: smallNeed})]);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership();
		host.addWorkers('w1', 'w2');
		answerStarts(host, host.tick(200));
		host.now++;
		for (const workerId of ['w1', 'w2']) {
			host.answerPoll(workerId, {ended: listAllDone(host, workerId)});
		}

		host.tick(200);
		const left = createLedger(listRecords(host.effects)).map(({record}) => record);
		expect(left.filter(({type}) => type === 'progress-part')).toEqual([]);
		expect(left.flatMap(record => record.type === 'progress' ? [record.progress.phase] : [])).toEqual(['completed']);
	});
});

describe('the rows of a job in parts', () => {
	const job = createJob(1, [createStep({count: 3, isLongRunning: true})]);
	const part = (rows: Array<Parameters<typeof createRow>[0]>, offset: number): LedgerEntry => ({
		offset, record: {
			type: 'progress-part', jobId: job.jobId, part: `0.0.${offset}`, rows: rows.map(row => createRow(row)),
		},
	});

	it('are restored by a new leader, together with those of the job\'s own record', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({index: 0, run: 1})]), part([{index: 1, run: 4}, {index: 2, run: 5}], 1)]);
		const runs = [...host.state.workers.get('w1')!.tasks.values()].map(({index, run}) => [index, run]);
		expect(runs).toEqual([[0, 1], [1, 4], [2, 5]]);
	});

	/** Guards against a leader that falls back to an earlier state of a task, as an append has stored the parts but not yet the job\'s own record. */
	it('go before those of the job\'s own record', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({index: 0, run: 1})]), part([{index: 0, run: 3, workerId: 'w2'}], 1)]);
		expect([...host.state.workers.values()].map(({id, tasks}) => [id, [...tasks.values()].map(({run}) => run)])).toEqual([['w2', [3]]]);
	});

	it('that cannot be read keep their own job from being resumed, and no other', () => {
		const other = createJob(2, [createStep({count: 1})]);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.submit(other);
		const broken: LedgerEntry = {
			offset: 1, record: {
				type: 'progress-part', jobId: job.jobId, part: '0.0.0', get rows(): never {
					throw new Error('unusable field');
				},
			},
		};
		const effects = host.takeLeadership([createProgress(0, job, []), broken]);
		host.addWorkers('w1');
		host.tick(200);
		expect(listLogEvents([...effects, ...host.effects]).includes('job-not-resumed')).toEqual(true);
		expect(listStarts(host.effects).map(({task}) => task)).toEqual([`${other.jobId}.0.0.0`]);
	});
});

describe('a commit that the store takes in several appends', () => {
	/** Every state in which the first of the records are stored, and the others not. */
	function listStates(before: readonly LedgerRecord[], records: readonly LedgerRecord[]): LedgerEntry[][] {
		return records.map((_, index) => createLedger([...before, ...records.slice(0, index + 1)]));
	}

	function takeOver(job: ReturnType<typeof createJob>, entries: readonly LedgerEntry[]): HandDrivenHost {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership(entries);
		return host;
	}

	/** Guards against tasks that are done and start again after a change of the leader between two of its appends. */
	it('starts no finished task again if the leader changes between them', () => {
		const job = createJob(1, [createStep({count: 700, need: smallNeed})]);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership();
		host.addWorkers('w1');
		answerStarts(host, host.tick(200));
		const before = listRecords(host.effects);
		host.now++;
		host.isConfirmingAppends = false;
		const [commit] = listCommits([...host.answerPoll('w1', {ended: listAllDone(host, 'w1')}), ...host.tick(50)]);
		const states = listStates(before, commit!.records);
		expect(states.length > 1).toEqual(true);
		for (const entries of states) {
			const next = takeOver(job, entries);
			next.addWorkers('w1');
			next.tick(100);
			expect(listStarts(next.effects)).toEqual([]);
		}
	});

	it('counts a gang as done of which some members are stored as done', () => {
		const gang = createJob(1, [createStep({count: 3, isGang: true})]);
		const next = takeOver(gang, [createProgress(0, gang, [createRow({status: 'done', workerId: '', workerBornAt: 0}), createRow({index: 1}), createRow({index: 2})])]);
		next.tick(50);
		expect(next.state.jobs.get(gang.jobId)?.phase).toEqual('completed');
	});

	it('goes on with the sequence number after that of the last append', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		host.isConfirmingAppends = false;
		const [first] = listCommits(host.tick(500));
		host.dispatch({
			type: 'commit/ended', outcome: 'stored', sequence: first!.sequence, token: host.token, appends: 4,
		});
		const [second] = listCommits(host.tick(500));
		expect(second!.sequence).toEqual(first!.sequence + 4);
	});
});

describe('a commit without changes of jobs', () => {
	/** Guards against an append that is left without any record, as those that it should hold are too large for the store: it confirms nothing, and may not count. */
	it('has a record that any store takes', () => {
		const host = HandDrivenHost.create();
		host.takeLeadership();
		const [first] = listCommits(host.effects);
		expect(first!.records.map(({type}) => type)).toEqual(['config', 'lease']);
	});
});

describe('checkpoints too long for a record', () => {
	/** Guards against a record that the store refuses for ever because of what workers report. */
	it('are left out of it, the longest first', () => {
		const job = createJob(1, [createStep({count: 3, isLongRunning: true})]);
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow({index: 0, checkpoint: 'a'}), createRow({index: 1, checkpoint: 'b'.repeat(maxRecordBytes)}), createRow({index: 2, checkpoint: 'c'})])]);
		host.addWorkers('w1');
		host.now++;
		const effects = [...host.answerPoll('w1'), ...host.tick(50)];
		const records = listRecords(effects);
		expect(records.filter(record => JSON.stringify(record).length > maxRecordBytes)).toEqual([]);
		expect(listLogEvents(effects).includes('checkpoints-not-stored')).toEqual(true);
		const rows = records.flatMap(record => record.type === 'progress-part' ? record.rows : []);
		expect(rows.map(({checkpoint}) => checkpoint)).toEqual(['a', '', 'c']);
	});
});

describe('a store that takes small records only', () => {
	it('gets small parts', () => {
		const host = HandDrivenHost.create({maxRecordBytes: 8192});
		host.submit(createLargeJob({count: 300}));
		host.takeLeadership();
		host.addWorkers('w1');
		host.tick(200);
		expect(listRecords(host.effects).filter(record => JSON.stringify(record).length > 8192)).toEqual([]);
	});
});

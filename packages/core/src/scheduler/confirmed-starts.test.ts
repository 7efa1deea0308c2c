/** LOST: a new leader knows which starts were confirmed, so it waits no longer than leases were requested for the runs of a worker that is gone. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createLease, createProgress, createRow, createWorker, HandDrivenHost, type EventBody,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-jobs.js';
import type {LedgerEntry} from './events.js';
import type {LeaseRecord, RunningRow} from './types.js';

/** A long-running task must run again within this time of the end of its run. */
const limitMs = 9000;
const lasting = createJob(1, [createStep({count: 2, isLongRunning: true})]);
const lastingTask = `${lasting.jobId}.0.0.0`;
const short = createJob(2, [createStep({count: 1, estimateMs: 60_000})]);
const shortTask = `${short.jobId}.0.0.0`;

function createLeaseRead(offset: number, lease: LeaseRecord): EventBody {
	return {type: 'ledger/read', entries: [{offset, record: {type: 'lease', lease}}], nextOffset: offset + 1};
}

/** A host that has followed a leader for 2 s. */
function createFollower(entries: readonly LedgerEntry[]): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.dispatch({type: 'config/read', config: createConfig()});
	host.submit(lasting);
	host.submit(short);
	host.dispatch({type: 'ledger/loaded', entries, nextOffset: 5});
	for (let offset = 5; offset < 10; offset++) {
		host.tick(400);
		host.dispatch(createLeaseRead(offset, createLease('former', 1)));
	}

	return host;
}

function createRunning(task: string, run = 1): RunningRow {
	return {
		task, run, percent: 100, checkpoint: '', reading: 0,
	};
}

function takeLead(host: HandDrivenHost): void {
	for (const end = host.now + 5000; host.now < end;) {
		const found = host.tick().find(effect => effect.type === 'ledger/claim');
		if (found?.type === 'ledger/claim') {
			host.tick(25);
			host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: found.at});
			return;
		}
	}

	throw new Error('the host did not claim the lead');
}

/** Ticks, fails polls to the silent, answers those of the others; returns when the task starts. */
function waitForStart(host: HandDrivenHost, task: string, silent: ReadonlySet<string>, lists: Readonly<Record<string, readonly RunningRow[]>> = {}): {at: number; on: string} | undefined {
	let handled = host.effects.findLastIndex(effect => effect.type === 'ledger/claim') + 1;
	const from = host.effects.length;
	for (const end = host.now + 30_000; host.now < end;) {
		host.tick();
		for (const stop = host.effects.length; handled < stop; handled++) {
			const effect = host.effects[handled]!;
			if (effect.type === 'worker/start' && effect.task === task && handled >= from) {
				return {at: host.now, on: effect.worker.id};
			}

			if (effect.type === 'worker/poll') {
				const {id, bornAt} = effect.worker;
				if (silent.has(id)) {
					host.dispatch({
						type: 'poll/ended', workerId: id, bornAt, outcome: 'unknown', sentAt: host.now, isExtra: effect.isExtra, clockMs: undefined, answerBornAt: undefined, running: [], ended: [], token: host.token,
					});
				} else {
					host.answerPoll(id, {
						bornAt, answerBornAt: bornAt, running: lists[id] ?? [], sentAt: host.now - 1, isExtra: effect.isExtra,
					});
				}
			}
		}
	}

	return undefined;
}

describe('a long-running task of a worker that is gone for good, under a new leader', () => {
	for (const isChanged of [false, true]) {
		/** Guards against a change of one task of a job that puts the starts of all its others in doubt. */
		it(`starts elsewhere in time${isChanged ? ', though another task of its job was stored after the latest lease record' : ''}`, () => {
			const rows = [createRow(), createRow({index: 1, workerId: 'w3'})];
			const host = createFollower([createProgress(1, lasting, rows)]);
			const goneAt = host.now + 100;
			if (isChanged) {
				host.tick(100);
				host.dispatch({type: 'ledger/read', entries: [createProgress(10, lasting, [rows[0]!, createRow({index: 1, workerId: 'w3', run: 2})])], nextOffset: 11});
			}

			takeLead(host);
			host.dispatch({type: 'workers/listed', workers: [createWorker('w2'), createWorker('w3')], isReloaded: true});
			const start = waitForStart(host, lastingTask, new Set(['w1']), {w3: [createRunning(`${lasting.jobId}.0.0.1`, isChanged ? 2 : 1)]});
			expect(start!.at - goneAt).toBeLessThan(limitMs);
		});
	}

	for (const isUnconfirmed of [false, true]) {
		/** Guards against one start in doubt that makes the leases of all runs at its worker count as the longest. */
		it(`starts elsewhere in time after its worker has answered once${isUnconfirmed ? ', though another start there is in doubt' : ''}`, () => {
			const rows = [createRow(), createRow({index: 1, workerId: 'w3'})];
			const host = createFollower([createProgress(1, lasting, rows), createProgress(2, short, [createRow()])]);
			host.tick(100);
			host.dispatch(createLeaseRead(10, {
				holder: 'former', token: 1, isReleased: false, openLeases: {workers: [], unconfirmedTasks: isUnconfirmed ? [shortTask] : []},
			}));
			takeLead(host);
			host.dispatch({type: 'workers/listed', workers: [createWorker('w1'), createWorker('w2'), createWorker('w3')], isReloaded: true});
			host.tick(25);
			host.answerPoll('w1', {running: [createRunning(lastingTask), createRunning(shortTask)]});
			host.answerPoll('w2');
			host.answerPoll('w3', {running: [createRunning(`${lasting.jobId}.0.0.1`)]});
			const goneAt = host.now;
			const start = waitForStart(host, lastingTask, new Set(['w1']), {w3: [createRunning(`${lasting.jobId}.0.0.1`)]});
			expect(start!.at - goneAt).toBeLessThan(limitMs);
		});
	}
});

/** A host that leads a second time does not take answers to its former lead's questions for those to its own. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, createProgress, createRow, createWorker, HandDrivenHost, listLogEvents, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {LedgerEntry} from './events.js';

const job = createJob(1, [createStep({count: 1})]);
const task = `${job.jobId}.0.0.0`;
const dropped = 'answer-of-earlier-lead';

/** A host that led with token 1, was fenced, and now claims behind the entries that another leader wrote. */
function createFormerLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	host.tick(100);
	host.dispatch({
		type: 'commit/ended', outcome: 'fenced', sequence: 0, token: 1,
	});
	expect(host.state.leadership.role).toEqual('follower');
	return host;
}

function readEntries(entries: readonly LedgerEntry[]): LedgerEntry[] {
	return [{offset: 5, record: {type: 'lease', lease: {holder: 'other', token: 6, isReleased: false}}}, ...entries];
}

/** Lets time pass until the host claims the lead, at this instant. */
function claim(host: HandDrivenHost): EffectOf<'ledger/claim'> {
	host.dispatch({type: 'config/read', config: createConfig()});
	host.dispatch({type: 'ledger/loaded', entries: [], nextOffset: 3});
	for (;;) {
		const sent = host.tick().find(effect => effect.type === 'ledger/claim');
		if (sent) {
			return sent;
		}
	}
}

describe('answers to an earlier lead of the same host', () => {
	it('a look: it does not tell that a run is gone which another leader has placed since', () => {
		const host = createFormerLeader();
		const sentAt = host.now;
		host.submit(job);
		host.takeLeadership(readEntries([createProgress(6, job, [createRow({run: 3})])]));
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		const effects = host.answerPoll('w1', {sentAt, token: 1});
		expect(listLogEvents(effects)).toEqual([dropped]);
		const worker = host.state.workers.get('w1')!;
		expect({isFenced: worker.isFenced, tasks: [...worker.tasks.keys()]}).toEqual({isFenced: false, tasks: [task]});
	});

	it('an append: it does not confirm one with the same number, and no start leaves before it is stored', () => {
		const host = createFormerLeader();
		host.takeLeadership(readEntries([]));
		host.addWorkers('w1');
		host.isConfirmingAppends = false;
		host.submit(job);
		const sequence = host.state.leadership.commit?.sequence;
		expect(sequence !== undefined).toEqual(true);
		const effects = host.dispatch({
			type: 'commit/ended', outcome: 'stored', sequence: sequence!, token: 1,
		});
		expect(listStarts(effects)).toEqual([]);
		expect(listLogEvents(effects)).toEqual([dropped]);
		expect(host.state.leadership.commit?.sequence).toEqual(sequence);
	});

	it('a refusal by a higher token: it does not end the present lead, whose token is higher', () => {
		const host = createFormerLeader();
		host.takeLeadership(readEntries([]));
		host.addWorkers('w1');
		host.dispatch({
			type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run: 1, outcome: 'fenced', token: 1,
		});
		expect(host.state.leadership.role).toEqual('leader');
	});

	it('a start: that it did not leave says nothing of the same run under another leader', () => {
		const host = createFormerLeader();
		host.submit(job);
		host.takeLeadership(readEntries([createProgress(6, job, [createRow()])]));
		host.dispatch({
			type: 'start/ended', workerId: 'w1', bornAt: 1, task, run: 1, outcome: 'not-sent', clockMs: undefined, token: 1,
		});
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([task]);
	});

	it('a claim that was given up: its answer grants no other one', () => {
		const host = HandDrivenHost.create();
		const {at} = claim(host);
		host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: at - 1});
		expect(host.state.leadership.role).toEqual('claiming');
	});
});

describe('what a lead is dated by', () => {
	it('a run that is stored as placed is not judged by a look from before the lead', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow()])]);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		host.answerPoll('w1', {sentAt: host.now - 100});
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([task]);
		host.tick();
		expect(listLogEvents(host.answerPoll('w1')).includes('run-absent')).toEqual(true);
	});

	it('an append confirms the lead as of its sending, however late its answer', () => {
		const host = HandDrivenHost.create();
		const {at} = claim(host);
		const claimedAt = host.now;
		host.isConfirmingAppends = false;
		host.now += 900;
		const commit = host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: at}).find(effect => effect.type === 'ledger/commit');
		expect(host.state.leadership.confirmedAt).toEqual(claimedAt);
		const sentAt = host.now;
		host.now += 900;
		host.store(commit!);
		expect(host.state.leadership.confirmedAt).toEqual(sentAt);
	});

	it('an own claim that is found by reading counts only if no other follows it in the same batch', () => {
		const host = HandDrivenHost.create();
		const {at, token, holder} = claim(host);
		host.dispatch({type: 'claim/ended', outcome: 'unknown', claimedAt: at});
		const entries: LedgerEntry[] = [
			{offset: at, record: {type: 'lease', lease: {holder, token, isReleased: false}}},
			{offset: at + 1, record: {type: 'lease', lease: {holder: 'other', token: at + 2, isReleased: false}}},
		];
		host.dispatch({type: 'ledger/read', entries, nextOffset: at + 2});
		expect(host.state.leadership.role === 'leader').toEqual(false);
	});

	it('an own claim that is found by reading, with no other behind it, is the lead', () => {
		const host = HandDrivenHost.create();
		const {at, token, holder} = claim(host);
		host.dispatch({type: 'claim/ended', outcome: 'unknown', claimedAt: at});
		host.dispatch({type: 'ledger/read', entries: [{offset: at, record: {type: 'lease', lease: {holder, token, isReleased: false}}}], nextOffset: at + 1});
		expect(host.state.leadership.role).toEqual('leader');
	});
});

/** A host that becomes the leader again must ignore answers to requests of its earlier term. */
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

/** A host that led with token 1 and was fenced. */
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

/** Ledger entries of another leader, whose term lies between the two terms of the host. */
function listOtherLeaderEntries(entries: readonly LedgerEntry[]): LedgerEntry[] {
	return [{offset: 5, record: {type: 'lease', lease: {holder: 'other', token: 6, isReleased: false}}}, ...entries];
}

/** Lets time pass until the host claims leadership. */
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

describe('answers to requests of an earlier term of the same host', () => {
	it('poll: it does not show that a run which another leader has placed since is gone', () => {
		const host = createFormerLeader();
		const sentAt = host.now;
		host.submit(job);
		host.takeLeadership(listOtherLeaderEntries([createProgress(6, job, [createRow({run: 3})])]));
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		const effects = host.answerPoll('w1', {sentAt, token: 1});
		expect(listLogEvents(effects)).toEqual([dropped]);
		const worker = host.state.workers.get('w1')!;
		expect({isPolledByLeader: worker.isPolledByLeader, tasks: [...worker.tasks.keys()]}).toEqual({isPolledByLeader: false, tasks: [task]});
	});

	it('append: it does not confirm a later append with the same number, and no start is sent before that one is stored', () => {
		const host = createFormerLeader();
		host.takeLeadership(listOtherLeaderEntries([]));
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

	it('rejection by a higher token: it does not end the present term, whose token is higher still', () => {
		const host = createFormerLeader();
		host.takeLeadership(listOtherLeaderEntries([]));
		host.addWorkers('w1');
		host.dispatch({
			type: 'stop/ended', workerId: 'w1', bornAt: 1, task, run: 1, outcome: 'fenced', token: 1,
		});
		expect(host.state.leadership.role).toEqual('leader');
	});

	it('start that was not sent: it does not affect the same run placed by another leader', () => {
		const host = createFormerLeader();
		host.submit(job);
		host.takeLeadership(listOtherLeaderEntries([createProgress(6, job, [createRow()])]));
		host.dispatch({
			type: 'start/ended', workerId: 'w1', bornAt: 1, task, run: 1, outcome: 'not-sent', clockMs: undefined, token: 1,
		});
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([task]);
	});

	it('abandoned claim: its answer does not grant a later one', () => {
		const host = HandDrivenHost.create();
		const {at} = claim(host);
		host.dispatch({type: 'claim/ended', outcome: 'granted', claimedAt: at - 1});
		expect(host.state.leadership.role).toEqual('claiming');
	});
});

describe('the start of a term and its confirmation', () => {
	it('a poll sent before the term does not show that a run stored as placed is gone', () => {
		const host = HandDrivenHost.create();
		host.submit(job);
		host.takeLeadership([createProgress(0, job, [createRow()])]);
		host.dispatch({type: 'workers/listed', workers: [createWorker('w1')], isReloaded: true});
		host.answerPoll('w1', {sentAt: host.now - 100});
		expect([...host.state.workers.get('w1')!.tasks.keys()]).toEqual([task]);
		host.tick();
		expect(listLogEvents(host.answerPoll('w1')).includes('run-absent')).toEqual(true);
	});

	it('a stored append confirms leadership as of the time it was sent, however late its answer', () => {
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

	it('an own claim found by reading the ledger is void if another claim follows it in the same batch', () => {
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

	it('an own claim found by reading the ledger makes the host the leader if no other claim follows it', () => {
		const host = HandDrivenHost.create();
		const {at, token, holder} = claim(host);
		host.dispatch({type: 'claim/ended', outcome: 'unknown', claimedAt: at});
		host.dispatch({type: 'ledger/read', entries: [{offset: at, record: {type: 'lease', lease: {holder, token, isReleased: false}}}], nextOffset: at + 1});
		expect(host.state.leadership.role).toEqual('leader');
	});
});

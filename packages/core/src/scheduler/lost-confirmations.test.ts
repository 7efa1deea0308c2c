/** Load on a store that loses a part of its answers, or answers slowly: no pool waits for the time limit of a call. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HandDrivenHost, listStarts, type EffectOf} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {SchedulerEffect} from './effects.js';

const slowAnswerMs = 240;

function createLeader(): HandDrivenHost {
	const host = HandDrivenHost.create();
	host.takeLeadership();
	host.addWorkers('w1');
	host.tick(1000);
	host.isConfirmingAppends = false;
	return host;
}

function listCommits(effects: readonly SchedulerEffect[]): Array<EffectOf<'ledger/commit'>> {
	return effects.filter(effect => effect.type === 'ledger/commit');
}

/** Submits a job, and returns the append that must be confirmed before its start. */
function submit(host: HandDrivenHost, number: number): EffectOf<'ledger/commit'> {
	const effects = [...host.submit(createJob(number, [createStep({count: 1})])), ...host.tick(50)];
	return listCommits(effects)[0]!;
}

describe('an append whose answer is lost', () => {
	/** Guards against a leader that starts nothing for a second, in all pools, for each answer that is lost. */
	it('is repeated long before its call times out, and counts once', () => {
		const host = createLeader();
		const first = submit(host, 1);
		const repeats = listCommits(host.tick(300));
		expect(repeats).toEqual([first]);
		expect(listStarts(host.store(first)).length).toEqual(1);
		expect(listStarts(host.store(first))).toEqual([]);
	});

	it('is repeated ever more slowly while none is answered', () => {
		const host = createLeader();
		submit(host, 1);
		expect(listCommits(host.tick(2000)).length <= 3).toEqual(true);
	});
});

describe('a slow store', () => {
	/** Guards against repeats that double the load of a store that is slow already. */
	it('is not asked again within the time that it needs', () => {
		const host = createLeader();
		let commit: EffectOf<'ledger/commit'> | undefined = submit(host, 1);
		for (let round = 0; round < 10; round++) {
			const repeats = listCommits(host.tick(slowAnswerMs));
			expect(round < 3 || repeats.length === 0).toEqual(true);
			host.store(commit);
			commit = submit(host, round + 2);
		}
	});
});

/** ALONE: members of a gang run only together, also when one of them cannot be started or the bound on starts is reached. */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfig, HandDrivenHost, listStarts, type EffectOf,
} from './testing/hand-driven.js';
import {createJob, createStep} from './testing/model-fleet.js';
import type {StartOutcome} from './events.js';
import type {SchedulerEffect} from './effects.js';

const refusals: readonly StartOutcome[] = ['no-room', 'no-ticket', 'invalid', 'late', 'stale-run', 'unhealthy', 'not-sent', 'other-life'];
/** Only one such task fits on a worker. */
const need = {cpu: 40_000, memoryMb: 100, gpu: 0};

/** A leader that has sent the starts of a gang, each on a worker of its own. */
function startGang(...workers: readonly string[]): {readonly host: HandDrivenHost; readonly starts: ReadonlyArray<EffectOf<'worker/start'>>} {
	const host = HandDrivenHost.create();
	host.takeLeadership([], createConfig());
	host.addWorkers(...workers);
	const starts = listStarts(host.submit(createJob(1, [createStep({count: workers.length, isGang: true, need})])));
	expect(starts.length).toEqual(workers.length);
	return {host, starts};
}

function listStops(effects: readonly SchedulerEffect[]): string[] {
	return effects.filter(effect => effect.type === 'worker/stop').map(({worker}) => worker.id);
}

describe('a gang one of whose members cannot run', () => {
	for (const outcome of refusals) {
		/** Guards against members that run on without a refused one until their worker ends them as `alone`. */
		it(`has its other members stopped after the answer ${outcome}`, () => {
			const {host, starts} = startGang('w1', 'w2');
			host.answerStart(starts[0]!);
			expect(listStops(host.answerStart(starts[1]!, outcome))).toEqual([starts[0]!.worker.id]);
		});
	}

	/** Guards against the same where a poll shows that the run of one member is gone. */
	it('has its other members stopped once a report lacks one', () => {
		const {host, starts} = startGang('w1', 'w2');
		for (const start of starts) {
			host.answerStart(start);
		}

		host.now += 10;
		expect(listStops(host.answerPoll(starts[1]!.worker.id))).toEqual([starts[0]!.worker.id]);
	});

	/** Guards against stops that undo each other's confirmation, so that the gang's capacity is held for longer with each refused member. */
	it('has each of the others stopped once, however many are refused', () => {
		const {host, starts} = startGang('w1', 'w2', 'w3');
		host.answerStart(starts[0]!);
		const stops = [...host.answerStart(starts[1]!, 'no-room'), ...host.answerStart(starts[2]!, 'no-room')];
		expect(listStops(stops)).toEqual([starts[0]!.worker.id, starts[2]!.worker.id]);
	});

	/** Guards against a gang that is stopped and then never started again. */
	it('is started again as a whole once the stopped members are gone', () => {
		const {host, starts} = startGang('w1', 'w2');
		host.answerStart(starts[0]!);
		host.answerStart(starts[1]!, 'no-room');
		const {worker, task, run} = starts[0]!;
		host.now += 10;
		host.dispatch({
			type: 'stop/ended', workerId: worker.id, bornAt: worker.bornAt, task, run, outcome: 'stopped',
		});
		host.now += 10;
		const again = [...host.answerPoll(worker.id), ...host.tick(1000)];
		expect(listStarts(again).map(start => start.run)).toEqual([run + 1, run + 1]);
	});
});
